package ingress

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/retry"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
)

const (
	// latencySamples is the number of latencies per service that are retained for the
	// hedging delay.
	latencySamples = 128
	// minHedgeSamples is the number of samples needed before requests are hedged.
	minHedgeSamples = 32
	// hedgePercent is the percentile of recent latencies used as hedging delay.
	hedgePercent = 95
	// minHedgeDelay prevents hedges caused by latency noise of very fast services.
	minHedgeDelay = time.Millisecond
	// delayRefreshSamples is the number of samples between computations of the delay.
	delayRefreshSamples = 16
)

// latencies holds the recent latencies of each service. It is safe for concurrent use.
type latencies struct {
	mu       sync.Mutex
	services map[string]*latencyRing
}

type latencyRing struct {
	samples [latencySamples]time.Duration
	// total is the number of samples ever added.
	total int
	// delay is the hedging delay, or 0 if there are too few samples.
	delay time.Duration
}

func newLatencies() *latencies { return &latencies{services: map[string]*latencyRing{}} }

func (l *latencies) add(service string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.services[service]
	if r == nil {
		r = &latencyRing{}
		l.services[service] = r
	}
	r.samples[r.total%latencySamples] = d
	r.total++
	if r.total >= minHedgeSamples && r.total%delayRefreshSamples == 0 {
		sorted := slices.Sorted(slices.Values(r.samples[:min(r.total, latencySamples)]))
		r.delay = max(minHedgeDelay, sorted[len(sorted)*hedgePercent/100])
	}
}

// hedgeDelay returns the delay before a second copy is sent, or false if there are too
// few samples.
func (l *latencies) hedgeDelay(service string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.services[service]
	if r == nil || r.delay == 0 {
		return 0, false
	}
	return r.delay, true
}

// hedgeable reports whether a second copy of the request may run concurrently.
func (x *exchange) hedgeable() bool {
	return x.rank.Urgent && idempotent(x.r.Method) && retry.MayRetry(x.call.earlierRetries) &&
		x.retries == 0 && x.body.complete && len(x.r.Trailer) == 0
}

// attemptHedged sends the request to the upstream of the attempt. If the request is urgent
// and gets no response within the hedging delay, it sends a second copy to another
// upstream. It uses the first response without a problem and cancels the other copy.
func (g *Ingress) attemptHedged(ctx context.Context, x *exchange, rt *routeState, attempt *routing.Attempt, b io.ReadCloser, queue string) *attemptResult {
	delay, known := g.latencies.hedgeDelay(x.service.Name)
	if !known || !x.hedgeable() {
		return g.timedAttempt(ctx, x, attempt, b, queue, x.attemptNumber())
	}
	began := time.Now()
	defer func() { x.externalTime += time.Since(began) }()
	race := newRace(ctx, g, x)
	race.start(attempt, b, queue, x.attemptNumber())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-race.results:
		race.running--
		return race.finish(a)
	case <-timer.C:
	}
	if second, secondQueue, ok := g.pickHedge(x, rt, attempt); ok {
		x.retries++
		g.metrics.hedges.Inc(1)
		race.start(second, x.body.newConcurrentReader(), secondQueue, x.attemptNumber())
	}
	return race.waitFirst(rt)
}

// pickHedge selects the upstream for the second copy. It returns false if the
// copy would have to queue, no upstream is left or the retry budget is spent.
func (g *Ingress) pickHedge(x *exchange, rt *routeState, first *routing.Attempt) (*routing.Attempt, string, bool) {
	attempt, queue, ok := g.pickUpstream(x, rt, first.Candidate.NodeID)
	if !ok {
		return nil, "", false
	}
	if queue != outcome.QueueNoWait || !g.budget.TryRetry() {
		attempt.Done(routing.Rejected, nil)
		g.record(x, "no-hedge", attempt.Candidate.NodeID, "no free upstream or the retry budget is spent")
		return nil, "", false
	}
	return attempt, queue, true
}

// race runs copies of a request concurrently.
type race struct {
	g       *Ingress
	x       *exchange
	ctx     context.Context
	cancels map[*routing.Attempt]context.CancelFunc
	results chan *attemptResult
	running int
}

// maxCopies is the number of copies of a request that may run concurrently.
const maxCopies = 2

func newRace(ctx context.Context, g *Ingress, x *exchange) *race {
	return &race{
		g: g, x: x, ctx: ctx, results: make(chan *attemptResult, maxCopies),
		cancels: map[*routing.Attempt]context.CancelFunc{},
	}
}

func (r *race) start(attempt *routing.Attempt, b io.ReadCloser, queue string, number int) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[attempt] = cancel
	r.running++
	go func() { r.results <- r.g.sendAttempt(ctx, r.x, attempt, b, queue, number) }()
}

// waitFirst returns the first result without a problem. If all copies fail, it returns
// the last problem whose outcome is unknown, or else the first problem.
func (r *race) waitFirst(rt *routeState) *attemptResult {
	var failure *attemptResult
	for r.running > 0 {
		a := <-r.results
		r.running--
		if a.problem == nil {
			return r.finish(a)
		}
		rt.excluded[a.attempt.Candidate.NodeID] = true
		// If one copy may have run, the outcome of the request is unknown.
		if failure == nil || a.problem.Outcome == outcome.Unknown {
			failure = a
		}
	}
	return r.finish(failure)
}

// finish cancels the other copies and discards their results in the background.
func (r *race) finish(a *attemptResult) *attemptResult {
	for attempt, cancel := range r.cancels {
		if attempt != a.attempt {
			cancel()
		}
	}
	if cancel, cancelAttempt := r.cancels[a.attempt], a.cancel; cancel != nil {
		a.cancel = func() { cancelAttempt(); cancel() }
	}
	if remaining := r.running; remaining > 0 {
		go func() {
			for range remaining {
				(<-r.results).discard()
			}
		}()
	}
	if a.problem == nil {
		r.g.latencies.add(r.x.service.Name, time.Since(r.x.start))
	} else {
		a.cancel()
	}
	return a
}

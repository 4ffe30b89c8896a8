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
	// latencySamples of a service are kept for the hedging delay.
	latencySamples = 128
	// minSamples are needed before anything is hedged.
	minSamples = 32
	// hedgePercent of recent answers came faster than the hedging delay.
	hedgePercent = 95
	// minHedgeDelay keeps noise of very fast services from causing hedges.
	minHedgeDelay = time.Millisecond
	// refreshEvery is the number of samples between computations of the delay.
	refreshEvery = 16
)

// latencies keeps the recent latencies of each service. It is safe for concurrent use.
type latencies struct {
	mu       sync.Mutex
	services map[string]*latencyRing
}

type latencyRing struct {
	samples [latencySamples]time.Duration
	total   int
	delay   time.Duration
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
	if r.total >= minSamples && r.total%refreshEvery == 0 {
		sorted := slices.Sorted(slices.Values(r.samples[:min(r.total, latencySamples)]))
		r.delay = max(minHedgeDelay, sorted[len(sorted)*hedgePercent/100])
	}
}

// hedgeDelay returns the delay before a second copy, or false if too little is known.
func (l *latencies) hedgeDelay(service string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.services[service]
	if r == nil || r.delay == 0 {
		return 0, false
	}
	return r.delay, true
}

// hedgeable reports whether a second copy of the request may run beside the first.
func (x *exchange) hedgeable() bool {
	return x.rank.Urgent && idempotent(x.r.Method) && retry.MayRetry(x.call.attempt) &&
		x.retries == 0 && x.body.whole && len(x.r.Trailer) == 0
}

// sendHedged sends the request and, if it is urgent and late, a second copy to
// another upstream. The first answer wins; the other copy is cancelled.
func (g *Ingress) sendHedged(ctx context.Context, x *exchange, rt *route, s *routing.Send, b io.ReadCloser, queue string) *answer {
	delay, known := g.latencies.hedgeDelay(x.service.Name)
	if !known || !x.hedgeable() {
		return g.send(ctx, x, s, b, queue, x.number())
	}
	began := time.Now()
	defer func() { x.outside += time.Since(began) }()
	race := newRace(ctx, g, x)
	race.start(s, b, queue, x.number())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-race.results:
		race.running--
		return race.won(a)
	case <-timer.C:
	}
	if second, q, ok := g.pickHedge(x, rt, s); ok {
		x.retries++
		g.metrics.hedges.Inc(1)
		race.start(second, x.body.shared(), q, x.number())
	}
	return race.first(rt)
}

func (g *Ingress) pickHedge(x *exchange, rt *route, first *routing.Send) (*routing.Send, string, bool) {
	s, queue, ok := g.pick(x, rt, first.Candidate.NodeID)
	if !ok {
		return nil, "", false
	}
	if queue != outcome.QueueNoWait || !g.budget.Retry() {
		s.Done(routing.Refused, nil)
		g.note(x, "no-hedge", s.Candidate.NodeID, "no free upstream or the retry budget is spent")
		return nil, "", false
	}
	return s, queue, true
}

// race runs copies of a request side by side.
type race struct {
	g       *Ingress
	x       *exchange
	ctx     context.Context
	cancels map[*routing.Send]context.CancelFunc
	results chan *answer
	running int
}

// maxCopies of a request run side by side.
const maxCopies = 2

func newRace(ctx context.Context, g *Ingress, x *exchange) *race {
	return &race{
		g: g, x: x, ctx: ctx, results: make(chan *answer, maxCopies),
		cancels: map[*routing.Send]context.CancelFunc{},
	}
}

func (r *race) start(s *routing.Send, b io.ReadCloser, queue string, number int) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[s] = cancel
	r.running++
	go func() { r.results <- r.g.attempt(ctx, r.x, s, b, queue, number) }()
}

// first returns the first answer without a problem, or the last problem.
func (r *race) first(rt *route) *answer {
	var worst *answer
	for r.running > 0 {
		a := <-r.results
		r.running--
		if a.problem == nil {
			return r.won(a)
		}
		rt.tried[a.send.Candidate.NodeID] = true
		// A copy that may have run decides what is said of the request.
		if worst == nil || a.problem.Outcome == outcome.Unknown {
			worst = a
		}
	}
	return r.won(worst)
}

// won cancels the other copies and lets them finish on their own.
func (r *race) won(a *answer) *answer {
	for s, cancel := range r.cancels {
		if s != a.send {
			cancel()
		}
	}
	if cancel, own := r.cancels[a.send], a.cancel; cancel != nil {
		a.cancel = func() { own(); cancel() }
	}
	if left := r.running; left > 0 {
		go func() {
			for range left {
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

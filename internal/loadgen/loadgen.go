// Package loadgen sends requests in an open loop: arrivals don't wait for
// answers, and latency counts from when a request was due.
package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Class is one kind of request with its own arrival rate.
type Class struct {
	Name    string
	Service string
	Rank    string
	Method  string
	Path    string
	// Body is the number of body bytes.
	Body int
	// Caller is the caller's name; empty means the address.
	Caller string
	// Rate is the mean number of arrivals per second (Poisson).
	Rate float64
	// Timeout given to the system and enforced by the tool.
	Timeout time.Duration
	// Target separates goodput from late answers.
	Target time.Duration
	// Worth of one answer within the target.
	Worth float64
	// From and To bound the arrivals within the run; zero To means the whole run.
	From, To time.Duration
}

// Reply is what became of one request.
type Reply struct {
	Status   int
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	ServedBy string
	Err      error
}

// OK reports whether the request got a whole successful answer.
func (r Reply) OK() bool { return r.Err == nil && r.Status >= 200 && r.Status < 300 }

// Target sends one request. Implementations are safe for concurrent use.
type Target interface {
	Send(ctx context.Context, c *Class) Reply
}

// Result of one class.
type Result struct {
	Class Class
	// Sent counts the requests; OK the whole answers; Good those within the target.
	Sent, OK, Good int64
	// Refused counts outcomes "not run", Unknown those that can't be known.
	Refused, Unknown int64
	// Dropped counts arrivals that the tool itself could not send.
	Dropped int64
	// Latency of whole answers, in microseconds.
	Latency *hdrhistogram.Histogram
	// Reasons and ServedBy count replies.
	Reasons  map[string]int64
	ServedBy map[string]int64
}

// Quantile returns a latency quantile in milliseconds; q is 0 to 100.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(q)) / 1000
}

// GoodRate returns the answers within the target per second of the class's window.
func (r *Result) GoodRate(run time.Duration) float64 {
	window := r.Class.window(run)
	return float64(r.Good) / window.Seconds()
}

func (c *Class) window(run time.Duration) time.Duration {
	if c.To == 0 {
		return run - c.From
	}
	return c.To - c.From
}

const (
	// maxLatencyUs is the largest latency that the histograms keep.
	maxLatencyUs = int64(60 * time.Second / time.Microsecond)
	// significantFigures of the histograms.
	significantFigures = 3
	// maxOutstanding bounds the requests that the tool has open.
	maxOutstanding = 20000
)

// Run sends the arrivals of all classes for the duration and waits for the answers.
// The same seed gives the same arrival times.
func Run(ctx context.Context, seed uint64, duration time.Duration, classes []Class, target Target) []*Result {
	slots := make(chan struct{}, maxOutstanding)
	results := make([]*Result, len(classes))
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range classes {
		g := &generator{
			rng:    rand.New(rand.NewPCG(seed, uint64(i))),
			class:  &classes[i],
			target: target,
			slots:  slots,
			result: &Result{
				Class: classes[i], Latency: hdrhistogram.New(1, maxLatencyUs, significantFigures),
				Reasons: map[string]int64{}, ServedBy: map[string]int64{},
			},
		}
		results[i] = g.result
		wg.Go(func() { g.run(ctx, begin, duration) })
	}
	wg.Wait()
	return results
}

// generator sends the arrivals of one class.
type generator struct {
	rng    *rand.Rand
	class  *Class
	target Target
	slots  chan struct{}

	mu     sync.Mutex
	result *Result
}

func (g *generator) run(ctx context.Context, begin time.Time, duration time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := begin.Add(g.class.From + g.class.window(duration))
	due := begin.Add(g.class.From)
	for {
		due = due.Add(time.Duration(g.rng.ExpFloat64() / g.class.Rate * float64(time.Second)))
		if due.After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		select {
		case g.slots <- struct{}{}:
		default:
			g.drop()
			continue
		}
		at := due
		wg.Go(func() {
			defer func() { <-g.slots }()
			g.send(ctx, at)
		})
	}
}

func (g *generator) send(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(g.class.Timeout))
	defer cancel()
	reply := g.target.Send(ctx, g.class)
	g.record(reply, time.Since(due))
}

func (g *generator) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Sent++
	g.result.Dropped++
}

func (g *generator) record(reply Reply, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.Sent++
	if reply.ServedBy != "" {
		r.ServedBy[reply.ServedBy]++
	}
	if reply.OK() {
		r.OK++
		_ = r.Latency.RecordValue(min(latency.Microseconds(), maxLatencyUs))
		if latency <= g.class.Target {
			r.Good++
		}
		return
	}
	switch {
	case reply.Outcome == outcome.NotRun:
		r.Refused++
	case reply.Outcome != outcome.Run:
		r.Unknown++
	}
	r.Reasons[reason(reply)]++
}

func reason(reply Reply) string {
	switch {
	case reply.Reason != "":
		return string(reply.Reason)
	case errors.Is(reply.Err, context.DeadlineExceeded):
		return "tool-timeout"
	case reply.Err != nil:
		return "transport"
	}
	return "status-" + httpClass(reply.Status)
}

func httpClass(status int) string {
	return string('0'+rune(status/100)) + "xx"
}

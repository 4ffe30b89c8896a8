// Package loadgen generates open-loop load: arrivals don't wait for responses,
// and latency is measured from the scheduled arrival time of a request.
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

// Class describes one kind of request with its own arrival rate.
type Class struct {
	Name    string
	Service string
	Rank    string
	Method  string
	Path    string
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// Caller is the caller's name. If it is empty, nodes identify the caller by its
	// address.
	Caller string
	// Rate is the mean number of arrivals per second (Poisson).
	Rate float64
	// Timeout is the time limit of a request. It is sent to the target and enforced by
	// the load generator.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response counts as goodput.
	TargetLatency time.Duration
	// Worth is the worth of one response within TargetLatency.
	Worth float64
	// From and To bound the arrivals, as times since the start of the run. If To is
	// zero, arrivals continue until the end of the run.
	From, To time.Duration
}

// Reply is the result of one request.
type Reply struct {
	Status   int
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	ServedBy string
	Err      error
}

// OK reports whether a complete response with a 2xx status was received.
func (r Reply) OK() bool { return r.Err == nil && r.Status >= 200 && r.Status < 300 }

// Target is a system under load. Implementations are safe for concurrent use.
type Target interface {
	// Send sends one request of class c and returns its result.
	Send(ctx context.Context, c *Class) Reply
}

// Result holds the counts and latencies of one class.
type Result struct {
	Class Class
	// Sent counts all arrivals, dropped ones included. OK counts complete successful
	// responses; Good counts those within the target latency.
	Sent, OK, Good int64
	// Rejected counts requests that failed with the outcome "not run". Unknown counts
	// failed requests that may or may not have run.
	Rejected, Unknown int64
	// Dropped counts arrivals that were not sent because maxOutstanding requests
	// were open.
	Dropped int64
	// Latency of complete successful responses, in microseconds.
	Latency *hdrhistogram.Histogram
	// Reasons counts unsuccessful replies by reason, ServedBy all replies by the
	// upstream that they name.
	Reasons  map[string]int64
	ServedBy map[string]int64
}

// PercentileMs returns a latency percentile in milliseconds; percent is 0 to 100.
func (r *Result) PercentileMs(percent float64) float64 {
	return float64(r.Latency.ValueAtQuantile(percent)) / 1000
}

// GoodRate returns the goodput: responses within the target latency, per second of
// the class's window.
func (r *Result) GoodRate(run time.Duration) float64 {
	window := r.Class.window(run)
	return float64(r.Good) / window.Seconds()
}

// window returns the length of the interval in which requests of the class arrive.
func (c *Class) window(run time.Duration) time.Duration {
	if c.To == 0 {
		return run - c.From
	}
	return c.To - c.From
}

const (
	// maxLatencyUs is the largest latency that the histograms can record.
	maxLatencyUs = int64(60 * time.Second / time.Microsecond)
	// significantFigures is the number of decimal digits of precision of the histograms.
	significantFigures = 3
	// maxOutstanding limits the number of open requests.
	maxOutstanding = 20000
)

// Run generates the arrivals of all classes for the duration and waits for the
// responses. The same seed gives the same arrival times.
func Run(ctx context.Context, seed uint64, duration time.Duration, classes []Class, target Target) []*Result {
	outstanding := make(chan struct{}, maxOutstanding)
	results := make([]*Result, len(classes))
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range classes {
		g := &generator{
			rng:         rand.New(rand.NewPCG(seed, uint64(i))),
			class:       &classes[i],
			target:      target,
			outstanding: outstanding,
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

// generator generates the arrivals of one class.
type generator struct {
	rng         *rand.Rand
	class       *Class
	target      Target
	outstanding chan struct{}

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
		case g.outstanding <- struct{}{}:
		default:
			g.recordDropped()
			continue
		}
		scheduled := due
		wg.Go(func() {
			defer func() { <-g.outstanding }()
			g.send(ctx, scheduled)
		})
	}
}

func (g *generator) send(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(g.class.Timeout))
	defer cancel()
	reply := g.target.Send(ctx, g.class)
	g.record(reply, time.Since(due))
}

func (g *generator) recordDropped() {
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
		if latency <= g.class.TargetLatency {
			r.Good++
		}
		return
	}
	switch {
	case reply.Outcome == outcome.NotRun:
		r.Rejected++
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
	return "status-" + statusClass(reply.Status)
}

func statusClass(status int) string {
	return string('0'+rune(status/100)) + "xx"
}

// Package gate is the admission control of an upstream: it decides which requests
// run at the upstream beside a node, which wait and which are rejected.
//
// It is built for six load patterns.
//
// Bursts: one or several kinds of requests arrive at about twice the capacity of the
// upstream for some seconds. If the queue holds more requests than can still meet
// their targets, all responses of the burst are late. The gate predicts when each
// request would start and end, and rejects it at once if it would miss its target in
// the queue. Urgent requests go first. A lower-ranked request that they displace for
// good is rejected at that moment, not at its deadline.
//
// Nested calls: upstreams send each other short requests while their own requests
// hold a slot. Rejecting such a call wastes the processing already done for the outer
// request, and running it costs little. Requests that are much shorter than the
// longest kind at the upstream therefore go first and may wait until their deadline.
//
// Stalls: noisy neighbours stall the VM for some hundred milliseconds. A request that
// starts in a stall holds its slot several times as long. It is deferred until the end
// of the stall if it ends sooner that way (package slowdown).
//
// Mixed ranks: lower-ranked requests with a distant target burst on a service that
// urgent requests with a tight target need. The queue is never empty, so an urgent
// request that is rejected because a stall may come leaves its slot to lower-ranked
// requests. Only requests that cannot meet their target at the baseline slowdown are
// rejected.
//
// Uneven organisations: one organisation sends several times its usual load. Without
// shares it would fill the queue of its rank, and the others would be rejected. Within a
// rank, the organisations therefore take turns (fairness.go).
//
// Cold upstreams: an upstream that has just started is slow and crashes if it gets many
// requests, which all return to it at once. While it is cold, the gate limits the starts in
// any second and predicts the wait that follows (cold.go).
//
// The package uses no clock, socket or log: times are offsets passed in by the
// calling code. A Gate is not safe for concurrent use.
package gate

import (
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/slowdown"
)

const (
	// usableRatio is the fraction of the slots that the gate uses. The users' upstreams
	// slow down when more than four fifths of their slots are busy.
	usableRatio = 0.8
	// defaultServiceTime is assumed for a route without history and target, and as the
	// remaining time of untracked requests.
	defaultServiceTime = 20 * time.Millisecond
	// assumedServiceTimeRatio is the ratio of service time to target latency assumed for
	// a route without history: the users' targets are 2.3 to 6.4 times the service time.
	assumedServiceTimeRatio = 0.3
	// serviceTimeWeight is the weight of a new service time in the moving average of
	// its route.
	serviceTimeWeight = 0.1
	// minRemainingRatio of its expected run time is the minimum remaining time assumed
	// for a running request, since requests may exceed their expected run time.
	minRemainingRatio = 0.3
	// shortRatio of the longest service time is the limit below which a request is short.
	shortRatio = 0.5
	// A request that will miss its target may wait at most its target latency divided by
	// lateWaitDivisor.
	lateWaitDivisor = 8
	// minSlowdown is the lowest slowdown by which a measured service time is divided, so
	// that a wrong report cannot inflate service times without limit.
	minSlowdown = 0.1
	// pruneThreshold is the number of classes (about 60 KB) above which the service times
	// of removed routes are deleted.
	pruneThreshold = 1024
	// minRetryAfter is the shortest delay after which the caller of a rejected request
	// is asked to retry.
	minRetryAfter = 50 * time.Millisecond
)

// Reason is the cause of a rejection.
type Reason string

// Reasons of rejections. A rejected request has not run.
const (
	ReasonNone      Reason = ""
	ReasonBusy      Reason = "busy"
	ReasonDisplaced Reason = "displaced"
	ReasonDeadline  Reason = "deadline"
	ReasonClosed    Reason = "upstream-not-ready"
	ReasonCanceled  Reason = "canceled"
)

// Request is a request to be run at the upstream.
type Request struct {
	// Class is the name of the route. Service times are estimated by class.
	Class string
	// Organisation is the name of the caller's organisation, or empty.
	Organisation string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// TargetLatency is the latency target of the route.
	TargetLatency time.Duration
	// TargetTime is the time until which a response has its full worth.
	TargetTime time.Duration
	// Deadline is the time after which a response is useless.
	Deadline time.Duration

	arrived, started time.Duration
	// group is the place in the order of the queue that comes before the rank.
	group int
	// turn is the number of requests of the same organisation that run or go first.
	turn int
	// slowdown is the factor by which the run was expected to take longer when the request
	// started. It includes coldSlowdown, which is 0 if the upstream was not cold.
	slowdown, coldSlowdown float64
	// rateDelayed is set if the request waits or waited because of the cold rate.
	rateDelayed bool
}

// Waited returns how long the request waited for its slot.
func (r *Request) Waited() time.Duration { return r.started - r.arrived }

// Rejection is a rejected request with the reason.
type Rejection struct {
	Request *Request
	Reason  Reason
	// RetryAfter is the delay after which a slot is likely to be free.
	RetryAfter time.Duration
}

// Decisions lists the queued requests that an event started or rejected.
type Decisions struct {
	Started  []*Request
	Rejected []Rejection
}

// Gate tracks the running and queued requests of one upstream.
type Gate struct {
	slots, untracked int
	open             bool
	running          []*Request
	queue            []*Request
	serviceTimes     map[string]time.Duration
	// assumedTimes holds the service times of routes without history.
	assumedTimes map[string]time.Duration
	// longest is the longest of serviceTimes when the queue was last processed.
	longest    time.Duration
	slowdown   slowdown.Estimator
	slotFreeAt []time.Duration
	cold       coldLimit
}

// New returns a closed gate.
func New() *Gate {
	return &Gate{serviceTimes: map[string]time.Duration{}, assumedTimes: map[string]time.Duration{}}
}

// Open sets the number of slots of the upstream and allows requests to run.
func (g *Gate) Open(now time.Duration, slots int) Decisions {
	g.slots, g.open = slots, true
	return g.advance(now)
}

// Close rejects all queued requests. Running requests continue.
func (g *Gate) Close(now time.Duration) Decisions {
	g.open = false
	var d Decisions
	for _, r := range g.queue {
		d.Rejected = append(d.Rejected, Rejection{r, ReasonClosed, minRetryAfter})
	}
	g.queue = nil
	return d
}

// SetUntracked sets the number of slots that are busy with requests that the gate
// did not start, such as those of an earlier process of the node.
func (g *Gate) SetUntracked(slots int) { g.untracked = max(0, slots) }

// Untracked returns the number of slots set by SetUntracked.
func (g *Gate) Untracked() int { return g.untracked }

// RecordSlowdown records a measured slowdown of the VM.
func (g *Gate) RecordSlowdown(now time.Duration, slowdown float64) Decisions {
	g.slowdown.Record(now, slowdown)
	return g.advance(now)
}

// SlowdownAge returns the time since the last measured slowdown of the VM.
func (g *Gate) SlowdownAge(now time.Duration) time.Duration { return g.slowdown.Age(now) }

// State summarizes the gate for the placement decisions of other nodes.
type State struct {
	Open                   bool
	Limit, Running, Queued int
	// Slowdown is the last measured slowdown of the VM.
	Slowdown float64
	// Wait is the predicted wait of one more request of the least urgent rank.
	Wait time.Duration
}

// State returns a summary of the gate.
func (g *Gate) State(now time.Duration) State {
	s := State{Open: g.open, Limit: g.limit(), Running: len(g.running) + g.untracked, Queued: len(g.queue), Slowdown: g.slowdown.Last()}
	if !g.canStart(now) {
		g.predictFreeSlots(now)
		for _, r := range g.queue {
			g.assignSlot(now, r)
		}
		s.Wait = g.nextFree() - now
	}
	return s
}

// Load returns the number of running and queued requests.
func (g *Gate) Load() int { return len(g.running) + g.untracked + len(g.queue) }

// Running returns the number of running requests that the gate started.
func (g *Gate) Running() int { return len(g.running) }

// hasFreeSlot reports whether a usable slot is free.
func (g *Gate) hasFreeSlot() bool { return len(g.running)+g.untracked < g.limit() }

// canStart reports whether a slot is free and the cold rate allows a start.
func (g *Gate) canStart(now time.Duration) bool { return g.hasFreeSlot() && g.cold.allows(now) }

// limit returns the number of usable slots. While the upstream is cold, it is at most the number of
// concurrent requests that the cold rate sustains.
func (g *Gate) limit() int {
	usable := max(1, int(float64(g.slots)*usableRatio))
	if g.cold.rate > 0 {
		return min(usable, g.cold.concurrency())
	}
	return usable
}

// shouldDefer reports whether the request should wait for the end of a stall although
// a slot is free: it would then end sooner, or only then meet its target.
func (g *Gate) shouldDefer(now time.Duration, r *Request) bool {
	serviceTime := g.expectedTime(r.Class)
	deferral, run := g.slowdown.Plan(now, serviceTime)
	if deferral > 0 {
		return now+deferral+run < r.Deadline
	}
	stallLeft, runAfter := g.slowdown.AfterStall(now, serviceTime)
	return stallLeft > 0 && now+run > r.TargetTime && now+stallLeft+runAfter <= r.TargetTime
}

// start adds the request to the running ones.
func (g *Gate) start(now time.Duration, r *Request) {
	r.started, r.slowdown = now, g.slowdown.At(now)
	if g.cold.rate > 0 {
		r.coldSlowdown = g.cold.factor()
		r.slowdown *= r.coldSlowdown
	}
	if r.rateDelayed {
		g.cold.delayed++
	}
	g.cold.record(now, g.ServiceTime(r.Class))
	g.running = append(g.running, r)
}

// QueuedInStall reports whether the VM is in a stall while requests are queued.
func (g *Gate) QueuedInStall(now time.Duration) bool {
	return len(g.queue) > 0 && g.slowdown.Stalled(now)
}

// Offer requests a slot. The request starts at once, is queued, or is rejected.
// The decisions list the other requests that are started or rejected.
func (g *Gate) Offer(now time.Duration, r *Request) (started bool, rejection *Rejection, d Decisions) {
	r.arrived, r.started = now, now
	g.assumeServiceTime(r)
	if !g.open {
		return false, &Rejection{r, ReasonClosed, minRetryAfter}, d
	}
	if now >= r.Deadline {
		return false, &Rejection{r, ReasonDeadline, 0}, d
	}
	if len(g.queue) == 0 && g.canStart(now) && !g.shouldDefer(now, r) {
		g.start(now, r)
		return true, nil, d
	}
	g.queue = append(g.queue, r)
	d = g.advance(now)
	if i := slices.IndexFunc(d.Rejected, func(x Rejection) bool { return x.Request == r }); i >= 0 {
		rejection := d.Rejected[i]
		rejection.Reason = ReasonBusy
		d.Rejected = slices.Delete(d.Rejected, i, i+1)
		return false, &rejection, d
	}
	if i := slices.Index(d.Started, r); i >= 0 {
		d.Started = slices.Delete(d.Started, i, i+1)
		return true, nil, d
	}
	return false, nil, d
}

// Done frees the slot of a request. The service time is recorded only if the upstream
// completed the request.
func (g *Gate) Done(now time.Duration, r *Request, completed bool) Decisions {
	if i := slices.Index(g.running, r); i >= 0 {
		g.running = slices.Delete(g.running, i, i+1)
	}
	if completed {
		g.recordServiceTime(now, r)
	}
	return g.advance(now)
}

// Withdraw removes a queued request. It reports whether the request was queued.
func (g *Gate) Withdraw(r *Request) bool {
	i := slices.Index(g.queue, r)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Advance starts and rejects queued requests as required by the time that has passed
// since the last event.
func (g *Gate) Advance(now time.Duration) Decisions { return g.advance(now) }

// advance starts queued requests while slots are free, and rejects those past their
// deadline or predicted to start too late.
func (g *Gate) advance(now time.Duration) Decisions {
	var d Decisions
	if len(g.queue) == 0 {
		return d
	}
	g.longest = g.longestServiceTime()
	g.sortQueue(now)
	remaining := g.queue[:0]
	for _, r := range g.queue {
		switch {
		case now >= r.Deadline:
			d.Rejected = append(d.Rejected, Rejection{r, ReasonDeadline, 0})
		case g.canStart(now) && !g.shouldDefer(now, r):
			g.start(now, r)
			d.Started = append(d.Started, r)
		default:
			r.rateDelayed = r.rateDelayed || g.hasFreeSlot() && !g.cold.allows(now)
			remaining = append(remaining, r)
		}
	}
	g.queue = remaining
	d.Rejected = append(d.Rejected, g.rejectLate(now)...)
	return d
}

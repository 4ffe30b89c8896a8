// Package gate decides which requests run at the upstream beside a node, which
// wait and which are refused.
//
// Load pattern: a burst of one or several kinds of work, about twice what the
// upstream can run, for some seconds. Queues that hold more than what still meets
// its target turn the whole burst into late answers. The gate therefore predicts
// for each request when it would start and end, and refuses at once what would
// miss its target in the queue; urgent work goes first, and lesser work that it
// displaces for good is refused at that moment, not when its deadline passes.
//
// Second load pattern: upstreams call each other for short pieces of work while
// their own requests hold a slot. A call that is refused wastes what its request has
// done, and costs little to run. Work that is much shorter than the longest kind at
// the upstream therefore goes first and may wait until its deadline.
//
// Third load pattern: neighbours stall the VM for some hundred milliseconds. Work
// that starts then holds its slot several times as long, so it waits for the end of
// the stall where that is sooner (package pace).
//
// Fourth load pattern: lesser work with a target far away bursts on a service that
// urgent work with a tight target needs. In a queue that is never empty, urgent work
// that is refused for a stall that may come leaves its slots to the lesser work. Only
// what cannot meet its target at the calm pace is refused.
//
// The package has no clock, socket or log: times are offsets that the caller
// passes in. A Gate is not safe for concurrent use.
package gate

import (
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/pace"
)

const (
	// usableShare of the slots is used. The users' upstreams slow down when more
	// than four fifths of their slots are busy.
	usableShare = 0.8
	// firstService is the service time assumed for a route without history and
	// target, and for the rest of requests that the gate does not know.
	firstService = 20 * time.Millisecond
	// firstShare of the target is the service time assumed for a route without
	// history: the users' targets are 2.3 to 6.4 times their work.
	firstShare = 0.3
	// serviceWeight is the part of a new service time in the mean of its route.
	serviceWeight = 0.1
	// overrun is the part of the expected service time that a request which is
	// already past it is expected to need still.
	overrun = 0.3
	// shortShare of the longest service time makes work short.
	shortShare = 0.5
	// lateWaitShare of the target is how long a request that can only be late may wait.
	lateWaitShare = 8
	// leastPace bounds what a report of the pace may do to service times.
	leastPace = 0.1
	// spareClasses are kept although their routes are gone; some 60 KB.
	spareClasses = 1024
	// minRetry is the least time after which a refused request is asked to return.
	minRetry = 50 * time.Millisecond
)

// Reason tells why a request was refused.
type Reason string

// Reasons. A refused request has not run.
const (
	ReasonNone      Reason = ""
	ReasonBusy      Reason = "busy"
	ReasonDisplaced Reason = "displaced"
	ReasonDeadline  Reason = "deadline"
	ReasonClosed    Reason = "upstream-not-ready"
	ReasonCanceled  Reason = "canceled"
)

// Request is a request that wants to run at the upstream.
type Request struct {
	// Class names the route, for the estimate of the service time.
	Class string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Length is the route's target latency.
	Length time.Duration
	// Target is the moment by which an answer has its full worth.
	Target time.Duration
	// Deadline is the moment after which an answer has no use.
	Deadline time.Duration

	arrived, started time.Duration
	// pace is that of the VM when the request started.
	pace float64
}

// Waited returns how long the request waited for its slot.
func (r *Request) Waited() time.Duration { return r.started - r.arrived }

// Refusal is a request that won't run, with the reason.
type Refusal struct {
	Request *Request
	Reason  Reason
	// RetryAfter is when there is likely to be room.
	RetryAfter time.Duration
}

// Outcome lists what changes for requests that waited.
type Outcome struct {
	Started []*Request
	Refused []Refusal
}

// Gate holds the requests at one upstream.
type Gate struct {
	slots, foreign int
	open           bool
	running        []*Request
	queue          []*Request
	service        map[string]time.Duration
	// assumed holds service times of routes without history.
	assumed map[string]time.Duration
	pace    pace.Gauge
	free    []time.Duration
}

// New returns a closed gate.
func New() *Gate {
	return &Gate{service: map[string]time.Duration{}, assumed: map[string]time.Duration{}}
}

// Open sets the number of slots of the upstream and lets requests run.
func (g *Gate) Open(now time.Duration, slots int) Outcome {
	g.slots, g.open = slots, true
	return g.advance(now)
}

// Close refuses all that wait; requests that run go on.
func (g *Gate) Close(now time.Duration) Outcome {
	g.open = false
	var o Outcome
	for _, r := range g.queue {
		o.Refused = append(o.Refused, Refusal{r, ReasonClosed, minRetry})
	}
	g.queue = nil
	return o
}

// Occupied sets the number of slots that are busy with requests that the gate
// does not know, such as those of an earlier process of the node.
func (g *Gate) Occupied(slots int) { g.foreign = max(0, slots) }

// Foreign returns the number of slots set by Occupied.
func (g *Gate) Foreign() int { return g.foreign }

// Pace takes a report of the VM's speed.
func (g *Gate) Pace(now time.Duration, p float64) Outcome {
	g.pace.Report(now, p)
	return g.advance(now)
}

// PaceAge is the time since the last report of the VM's speed.
func (g *Gate) PaceAge(now time.Duration) time.Duration { return g.pace.Age(now) }

// State is what other nodes need to know to place requests.
type State struct {
	Open                   bool
	Limit, Running, Queued int
	// Pace is the last report of the VM's speed.
	Pace float64
	// Wait is the predicted wait of one more request of the least urgent rank.
	Wait time.Duration
}

// State returns a summary of the gate.
func (g *Gate) State(now time.Duration) State {
	s := State{Open: g.open, Limit: g.limit(), Running: len(g.running) + g.foreign, Queued: len(g.queue), Pace: g.pace.Last()}
	if s.Running >= s.Limit {
		g.predict(now)
		for _, r := range g.queue {
			g.take(now, r)
		}
		s.Wait = slices.Min(g.free) - now
	}
	return s
}

// Load returns the number of requests that run or wait.
func (g *Gate) Load() int { return len(g.running) + g.foreign + len(g.queue) }

// Running returns the number of requests that the gate let run.
func (g *Gate) Running() int { return len(g.running) }

// room reports whether a usable slot is free.
func (g *Gate) room() bool { return len(g.running)+g.foreign < g.limit() }

func (g *Gate) limit() int { return max(1, int(float64(g.slots)*usableShare)) }

// heldBack reports whether the request should wait for the end of a stall although
// there is a free slot: if it would end sooner then, or in time only then.
func (g *Gate) heldBack(now time.Duration, r *Request) bool {
	work := g.Service(r.Class)
	hold, run := g.pace.Plan(now, work)
	if hold > 0 {
		return now+hold+run < r.Deadline
	}
	rest, after := g.pace.AfterStall(now, work)
	return rest > 0 && now+run > r.Target && now+rest+after <= r.Target
}

// start lets the request run.
func (g *Gate) start(now time.Duration, r *Request) {
	r.started, r.pace = now, g.pace.At(now)
	g.running = append(g.running, r)
}

// Stalled reports whether requests wait for the end of a stall.
func (g *Gate) Stalled(now time.Duration) bool { return len(g.queue) > 0 && g.pace.Stalled(now) }

// Offer asks for a slot. The request runs at once, waits, or is refused.
// Requests that it displaces are in the outcome.
func (g *Gate) Offer(now time.Duration, r *Request) (started bool, refusal *Refusal, o Outcome) {
	r.arrived, r.started = now, now
	g.assume(r)
	if !g.open {
		return false, &Refusal{r, ReasonClosed, minRetry}, o
	}
	if now >= r.Deadline {
		return false, &Refusal{r, ReasonDeadline, 0}, o
	}
	if len(g.queue) == 0 && g.room() && !g.heldBack(now, r) {
		g.start(now, r)
		return true, nil, o
	}
	g.queue = append(g.queue, r)
	o = g.advance(now)
	if i := slices.IndexFunc(o.Refused, func(x Refusal) bool { return x.Request == r }); i >= 0 {
		refusal := o.Refused[i]
		refusal.Reason = ReasonBusy
		o.Refused = slices.Delete(o.Refused, i, i+1)
		return false, &refusal, o
	}
	if i := slices.Index(o.Started, r); i >= 0 {
		o.Started = slices.Delete(o.Started, i, i+1)
		return true, nil, o
	}
	return false, nil, o
}

// Done frees the slot of a request. A service time is learnt only from requests
// that the upstream ran to their end.
func (g *Gate) Done(now time.Duration, r *Request, ranToEnd bool) Outcome {
	if i := slices.Index(g.running, r); i >= 0 {
		g.running = slices.Delete(g.running, i, i+1)
	}
	if ranToEnd {
		g.learn(now, r)
	}
	return g.advance(now)
}

// Withdraw removes a request that waits. It reports whether it was there.
func (g *Gate) Withdraw(r *Request) bool {
	i := slices.Index(g.queue, r)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Advance refuses requests whose time has run out since the last event.
func (g *Gate) Advance(now time.Duration) Outcome { return g.advance(now) }

// advance starts what has room and refuses what the prediction gives up.
func (g *Gate) advance(now time.Duration) Outcome {
	var o Outcome
	if len(g.queue) == 0 {
		return o
	}
	g.sort(now)
	kept := g.queue[:0]
	for _, r := range g.queue {
		switch {
		case now >= r.Deadline:
			o.Refused = append(o.Refused, Refusal{r, ReasonDeadline, 0})
		case g.room() && !g.heldBack(now, r):
			g.start(now, r)
			o.Started = append(o.Started, r)
		default:
			kept = append(kept, r)
		}
	}
	g.queue = kept
	o.Refused = append(o.Refused, g.giveUp(now)...)
	return o
}

package gate

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	stallServiceTime = 220 * time.Millisecond
	stallTarget      = 600 * time.Millisecond
	stallDeadline    = 1200 * time.Millisecond
	stallPeriod      = 300 * time.Millisecond
	stallSlowdown    = 4.0
	stallRatio       = 0.35
	reportPeriod     = 50 * time.Millisecond
	stallReplayTime  = 20 * time.Second
)

// drawSlowdowns returns the slowdown of a VM for each period. Neighbours stall the VM in a
// random fraction stallRatio of the periods.
func drawSlowdowns(r *rand.Rand) []float64 {
	slowdowns := make([]float64, stallReplayTime/stallPeriod+20)
	for i := range slowdowns {
		slowdowns[i] = 1
		if r.Float64() < stallRatio {
			slowdowns[i] = stallSlowdown
		}
	}
	return slowdowns
}

// replayStalls offers requests to a gate beside a VM with noisy neighbours and returns
// the number of responses within the target. The slowdown at the start of a request
// applies to all of it. Without reports the gate does not know the slowdown and starts
// requests whenever a slot is free.
func replayStalls(seed uint64, reports bool) (inTarget int) {
	r := rand.New(rand.NewPCG(seed, 0))
	slowdowns := drawSlowdowns(r)
	slowdownAt := func(at time.Duration) float64 { return slowdowns[at/stallPeriod] }
	g := New()
	g.Open(0, testSlots)
	var queue eventQueue
	for at := time.Duration(0); at < stallReplayTime; at += time.Duration(r.ExpFloat64() * float64(stallServiceTime) / 8) {
		heap.Push(&queue, replayEvent{at: at, req: request("a", 0, at, stallTarget, stallDeadline)})
	}
	for at := time.Duration(0); at < stallReplayTime; at += reportPeriod {
		heap.Push(&queue, replayEvent{at: at})
	}
	apply := func(now time.Duration, d Decisions) {
		for _, q := range d.Started {
			run := time.Duration(float64(stallServiceTime) * slowdownAt(now) * (0.7 + 0.6*r.Float64()))
			heap.Push(&queue, replayEvent{now + run, q, true})
		}
	}
	for queue.Len() > 0 {
		ev := heap.Pop(&queue).(replayEvent)
		switch {
		case ev.req == nil && reports:
			apply(ev.at, g.RecordSlowdown(ev.at, slowdownAt(ev.at)))
		case ev.req == nil:
			apply(ev.at, g.Advance(ev.at))
		case ev.ends:
			if ev.at <= ev.req.TargetTime {
				inTarget++
			}
			apply(ev.at, g.Done(ev.at, ev.req, ev.at <= ev.req.Deadline))
		default:
			started, _, d := g.Offer(ev.at, ev.req)
			if started {
				d.Started = append(d.Started, ev.req)
			}
			apply(ev.at, d)
		}
	}
	return inTarget
}

// Neighbours stall the VM for a third of the time. Deferring requests until the end of a
// stall must serve clearly more in time than starting them in the stall.
func TestDeferringRequestsInStallsServesMoreInTime(t *testing.T) {
	deferred, immediate := 0, 0
	for seed := uint64(1); seed <= 20; seed++ {
		deferred += replayStalls(seed, true)
		immediate += replayStalls(seed, false)
	}
	if float64(deferred) < 1.2*float64(immediate) {
		t.Errorf("%d responses in time, want at least 1.2 times the %d without deferral", deferred, immediate)
	}
	t.Logf("%d responses in time, %d without deferral", deferred, immediate)
}

// A request with a service time of 60 ms takes 240 ms in a stall. It must be deferred if
// it meets its target only after the stall. Otherwise it must start at once: a late
// response is better than none.
func TestShortRequestIsDeferredOnlyIfItThenMeetsItsTarget(t *testing.T) {
	const stallAt, serviceTime = time.Second, 60 * time.Millisecond
	for _, c := range []struct {
		desc               string
		sinceStall, target time.Duration
		deferred           bool
	}{
		{"end of the stall meets the target", 200 * time.Millisecond, serviceTime * 10 / 3, true},
		{"the target is met in the stall", 200 * time.Millisecond, 300 * time.Millisecond, false},
		{"the end of the stall is too late", 50 * time.Millisecond, serviceTime * 10 / 3, false},
	} {
		g := New()
		g.Open(0, testSlots)
		g.serviceTimes["a"] = serviceTime
		g.RecordSlowdown(0, 1)
		g.RecordSlowdown(stallAt, stallSlowdown)
		now := stallAt + c.sinceStall
		g.RecordSlowdown(now, stallSlowdown)
		started, rejection, _ := g.Offer(now, request("a", 0, now, c.target, time.Second))
		if rejection != nil || started == c.deferred {
			t.Errorf("%s: started %v, rejection %v", c.desc, started, rejection)
		}
	}
}

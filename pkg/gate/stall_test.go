package gate

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	stallWork     = 220 * time.Millisecond
	stallTarget   = 600 * time.Millisecond
	stallDeadline = 1200 * time.Millisecond
	stallPeriod   = 300 * time.Millisecond
	stallPace     = 4.0
	stallShare    = 0.35
	reportPeriod  = 50 * time.Millisecond
	stallRun      = 20 * time.Second
)

// stalls returns the pace of a VM by period: its neighbours stall it for a share of
// the periods, drawn anew for each.
func stalls(r *rand.Rand) []float64 {
	paces := make([]float64, stallRun/stallPeriod+20)
	for i := range paces {
		paces[i] = 1
		if r.Float64() < stallShare {
			paces[i] = stallPace
		}
	}
	return paces
}

// replayStalls offers the work to a gate beside a VM whose neighbours stall it and
// returns the number of answers within the target. Work takes what the pace says when
// it starts. Without reports the gate knows nothing of the pace, and starts at once
// whenever a slot is free.
func replayStalls(seed uint64, reports bool) (inTarget int) {
	r := rand.New(rand.NewPCG(seed, 0))
	paces := stalls(r)
	paceAt := func(at time.Duration) float64 { return paces[at/stallPeriod] }
	g := New()
	g.Open(0, testSlots)
	var queue steps
	for at := time.Duration(0); at < stallRun; at += time.Duration(r.ExpFloat64() * float64(stallWork) / 8) {
		heap.Push(&queue, step{at: at, req: request("a", 0, at, stallTarget, stallDeadline)})
	}
	for at := time.Duration(0); at < stallRun; at += reportPeriod {
		heap.Push(&queue, step{at: at})
	}
	apply := func(now time.Duration, o Outcome) {
		for _, q := range o.Started {
			run := time.Duration(float64(stallWork) * paceAt(now) * (0.7 + 0.6*r.Float64()))
			heap.Push(&queue, step{now + run, q, true})
		}
	}
	for queue.Len() > 0 {
		s := heap.Pop(&queue).(step)
		switch {
		case s.req == nil && reports:
			apply(s.at, g.Pace(s.at, paceAt(s.at)))
		case s.req == nil:
			apply(s.at, g.Advance(s.at))
		case s.ends:
			if s.at <= s.req.Target {
				inTarget++
			}
			apply(s.at, g.Done(s.at, s.req, s.at <= s.req.Deadline))
		default:
			started, _, o := g.Offer(s.at, s.req)
			if started {
				o.Started = append(o.Started, s.req)
			}
			apply(s.at, o)
		}
	}
	return inTarget
}

// A VM that its neighbours stall for a third of the time: work that waits for the end
// of a stall must serve clearly more than work that starts in it.
func TestWorkWaitsForTheEndOfAStall(t *testing.T) {
	held, started := 0, 0
	for seed := uint64(1); seed <= 20; seed++ {
		held += replayStalls(seed, true)
		started += replayStalls(seed, false)
	}
	if float64(held) < 1.2*float64(started) {
		t.Errorf("%d answers in time, %d when work starts in stalls", held, started)
	}
	t.Logf("%d answers in time, %d when work starts in stalls", held, started)
}

// Short work of 60 ms in a stall would take 240 ms. It waits for the end of the stall
// if only then it meets its target, and starts at once otherwise: late is better than
// not at all.
func TestShortWorkWaitsIfItMeetsItsTargetThen(t *testing.T) {
	const stallAt, work = time.Second, 60 * time.Millisecond
	for _, c := range []struct {
		name         string
		into, target time.Duration
		waits        bool
	}{
		{"end of the stall meets the target", 200 * time.Millisecond, work * 10 / 3, true},
		{"the target is met in the stall", 200 * time.Millisecond, 300 * time.Millisecond, false},
		{"the end of the stall is too late", 50 * time.Millisecond, work * 10 / 3, false},
	} {
		g := New()
		g.Open(0, testSlots)
		g.service["a"] = work
		g.Pace(0, 1)
		g.Pace(stallAt, stallPace)
		now := stallAt + c.into
		g.Pace(now, stallPace)
		started, refusal, _ := g.Offer(now, request("a", 0, now, c.target, time.Second))
		if refusal != nil || started == c.waits {
			t.Errorf("%s: started %v, refusal %v", c.name, started, refusal)
		}
	}
}

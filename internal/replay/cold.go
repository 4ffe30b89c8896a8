package replay

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/gate"
)

// Outage takes all upstreams of one failure domain down for a time, after which they are cold. The
// nodes beside them keep sending the requests of their callers to other upstreams.
type Outage struct {
	Domain     int
	Start, End time.Duration
	// ColdRate is the number of starts per second that the gate allows at a cold upstream.
	ColdRate float64
	// ColdTime is how long upstreams are cold, and ColdSlowdown how much longer requests take
	// meanwhile.
	ColdTime     time.Duration
	ColdSlowdown float64
}

// scheduleOutage schedules the outage of the scenario, if it has one.
func (f *fleet) scheduleOutage() {
	o := f.scenario.Outage
	if o == nil {
		return
	}
	f.result.ColdStarts = make([][]time.Duration, len(f.upstreams))
	for i, u := range f.upstreams {
		if f.domain(i) != o.Domain {
			continue
		}
		change := func(at time.Duration, to func(now time.Duration) gate.Decisions) {
			f.addEvent(at, func(now time.Duration) {
				f.applyDecisions(now, i, to(now))
				f.publishState(now, u)
			})
		}
		change(o.Start, u.gate.Close)
		change(o.End, func(now time.Duration) gate.Decisions {
			u.coldUntil = now + o.ColdTime
			u.gate.SetColdRate(now, o.ColdRate)
			return u.gate.Open(now, f.scenario.Slots)
		})
		// The node learns of the end by its next health check.
		change(o.End+o.ColdTime+time.Duration(f.rng.Int64N(int64(gate.ColdProbeInterval))), func(now time.Duration) gate.Decisions {
			return u.gate.SetColdRate(now, 0)
		})
	}
}

// coldSlowdown returns the factor by which a request takes longer that starts now, and records its
// start if the upstream is cold.
func (f *fleet) coldSlowdown(now time.Duration, i int) float64 {
	if now >= f.upstreams[i].coldUntil {
		return 1
	}
	f.result.ColdStarts[i] = append(f.result.ColdStarts[i], now)
	return f.scenario.Outage.ColdSlowdown
}

// closedInView reports whether the node knows that the upstream is down.
func (f *fleet) closedInView(i, node int) bool {
	return f.scenario.Outage != nil && f.view(i, node).at > 0 && !f.view(i, node).state.Open
}

// hasWarmRoom reports whether any upstream that is not cold has a free slot now.
func (f *fleet) hasWarmRoom(now time.Duration) bool {
	for _, u := range f.upstreams {
		if s := u.gate.State(now); s.Open && now >= u.coldUntil && s.Running+s.Queued < s.Limit {
			return true
		}
	}
	return false
}

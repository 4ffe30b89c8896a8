// Package pace predicts how long work takes on a VM whose speed its neighbours
// change several times a second. A pace of 1 means the usual speed, 4 means that
// work takes four times as long.
//
// Load pattern: neighbours stall a VM for one or more periods of some hundred
// milliseconds, and work that starts in a stall takes as long as the pace says,
// even when the stall ends before it. It is then often better to let work wait for
// the end of the stall than to start it: a run in a stall holds its slot several
// times as long and ends later. A stall that does not end is the VM's new usual pace.
//
// The package has no clock.
package pace

import "time"

const (
	// period is how often neighbours change the pace of a VM, as the users state.
	period = 300 * time.Millisecond
	// stalledFrom is the pace, in multiples of the calm one, from which a VM is stalled.
	stalledFrom = 1.5
	// steadyPeriods is how long a stall lasts until it counts as the usual pace.
	steadyPeriods = 3
	// sameLevel is the ratio of two reports of the same pace.
	sameLevel = 1.25
	// repeatShare of the stalls are followed by another one: neighbours stall a VM for
	// about a third of the time.
	repeatShare = 1.0 / 3
	// usual is assumed until reports tell more.
	usual = 1.0
	// meanWeight is the part of a new report in the mean, per period.
	meanWeight = 0.05
	// calmWeight is the part of a new report in the calm pace.
	calmWeight = 0.2
)

// Gauge follows the pace of one VM from reports. The zero Gauge knows nothing and
// expects the usual pace. It is not safe for concurrent use.
type Gauge struct {
	last, mean, calm float64
	// at is the time of the newest report, since that of the first one with its pace.
	at, since time.Duration
	known     bool
}

// Report takes a pace that was measured at the given time. Reports may be old;
// those from before the newest one change nothing.
func (g *Gauge) Report(now time.Duration, p float64) {
	if p <= 0 || (g.known && now < g.at) {
		return
	}
	if !g.known {
		// An upstream that has just started is slow for seconds. That is no stall, which
		// would end soon; if it is one, the next report is lower.
		*g = Gauge{last: p, mean: (usual + p) / 2, calm: p, at: now, since: now, known: true}
		return
	}
	elapsed := min(1, float64(now-g.at)/float64(period))
	g.mean += meanWeight * elapsed * (g.last - g.mean)
	if p > g.last*sameLevel || p < g.last/sameLevel {
		g.since = now
	}
	g.last, g.at = p, now
	g.settle(now)
}

// settle adjusts the calm pace to the newest report.
func (g *Gauge) settle(now time.Duration) {
	switch {
	case g.last < g.calm || now-g.since >= steadyPeriods*period:
		g.calm = g.last
	case g.last <= stalledFrom*g.calm:
		g.calm += calmWeight * (g.last - g.calm)
	}
}

// Known reports whether there ever was a report.
func (g *Gauge) Known() bool { return g.known }

// Age is the time since the newest report.
func (g *Gauge) Age(now time.Duration) time.Duration { return now - g.at }

// Last returns the newest report.
func (g *Gauge) Last() float64 {
	if !g.known {
		return usual
	}
	return g.last
}

// At returns the expected pace of work that starts now. A report counts less the
// older it is, down to the mean after a period.
func (g *Gauge) At(now time.Duration) float64 {
	if !g.known {
		return usual
	}
	fade := min(1, float64(max(0, now-g.at))/float64(period))
	return g.last + fade*(g.mean-g.last)
}

// Stalled reports whether the VM is in a stall that should end soon.
func (g *Gauge) Stalled(now time.Duration) bool {
	return g.known && g.last > stalledFrom*g.calm && now-g.since < steadyPeriods*period
}

// Plan returns how long work of the given usual length should be held back before
// it starts, and how long it takes then.
func (g *Gauge) Plan(now, work time.Duration) (hold, run time.Duration) {
	run = scale(work, g.At(now))
	if !g.Stalled(now) {
		return 0, run
	}
	rest, calm := g.AfterStall(now, work)
	if rest+scale(period, repeatShare)+calm < run {
		return rest, calm
	}
	return 0, run
}

// Later returns how long work takes that starts at an unknown later time, with the
// time that it is held back then.
func (g *Gauge) Later(work time.Duration) time.Duration {
	if !g.known {
		return scale(work, usual)
	}
	return min(scale(work, g.mean), scale(work, g.calm)+scale(period, repeatShare))
}

// AfterStall returns how long the present stall is expected to last and how long the
// work takes after it. Without a stall, that is no time and the expected one.
func (g *Gauge) AfterStall(now, work time.Duration) (rest, run time.Duration) {
	if !g.Stalled(now) {
		return 0, scale(work, g.At(now))
	}
	return period - (now-g.since)%period, scale(work, g.calm)
}

// Calm returns how long work takes if no stall meets it.
func (g *Gauge) Calm(work time.Duration) time.Duration {
	if !g.known {
		return scale(work, usual)
	}
	return scale(work, g.calm)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

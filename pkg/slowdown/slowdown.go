// Package slowdown estimates the slowdown of a VM whose speed noisy neighbours change
// several times a second, and predicts how long requests take on it. The slowdown is
// the factor by which requests take longer than normal: 1 is normal, 4 means four
// times as long.
//
// Load pattern: neighbours stall a VM for one or more periods of some hundred
// milliseconds. A request takes as long as the slowdown at its start implies, even if
// the stall ends before it. Deferring a request until the end of the stall is then
// often better: a request that runs in a stall holds its slot several times as long
// and ends later. A stall that does not end becomes the baseline slowdown of the VM.
//
// The package uses no clock.
package slowdown

import "time"

const (
	// period is the interval at which neighbours change the slowdown of a VM, as stated
	// by the users.
	period = 300 * time.Millisecond
	// stallRatio is the ratio of slowdown to baseline above which a VM is stalled.
	stallRatio = 1.5
	// maxStallPeriods is the number of periods after which a stall becomes the baseline.
	maxStallPeriods = 3
	// sameLevelRatio is the largest ratio between two reports of the same level.
	sameLevelRatio = 1.25
	// repeatRatio is the fraction of stalls that are followed by another one:
	// neighbours stall a VM for about a third of the time.
	repeatRatio = 1.0 / 3
	// defaultSlowdown is assumed before the first report.
	defaultSlowdown = 1.0
	// meanWeight is the weight of a new report in the long-term mean, per period.
	meanWeight = 0.05
	// baselineWeight is the weight of a new report in the baseline.
	baselineWeight = 0.2
)

// Estimator estimates the slowdown of one VM from reports. Without reports, as in its
// zero value, it assumes a slowdown of 1. It is not safe for concurrent use.
type Estimator struct {
	last, mean, baseline float64
	// lastAt is the time of the newest report, levelSince that of the first report of
	// the same level.
	lastAt, levelSince time.Duration
	known              bool
}

// Record records a slowdown measured at the given time. Reports may arrive late;
// a report older than the newest one is ignored, and so is a slowdown of 0 or less.
func (e *Estimator) Record(now time.Duration, slowdown float64) {
	if slowdown <= 0 || (e.known && now < e.lastAt) {
		return
	}
	if !e.known {
		// An upstream is slow for seconds after its start, while a stall ends soon. The
		// first report therefore sets the baseline. If it does come from a stall, a later
		// report is lower and corrects the baseline.
		*e = Estimator{last: slowdown, mean: (defaultSlowdown + slowdown) / 2, baseline: slowdown, lastAt: now, levelSince: now, known: true}
		return
	}
	elapsedPeriods := min(1, float64(now-e.lastAt)/float64(period))
	e.mean += meanWeight * elapsedPeriods * (e.last - e.mean)
	if slowdown > e.last*sameLevelRatio || slowdown < e.last/sameLevelRatio {
		e.levelSince = now
	}
	e.last, e.lastAt = slowdown, now
	e.updateBaseline(now)
}

// updateBaseline adjusts the baseline to the newest report.
func (e *Estimator) updateBaseline(now time.Duration) {
	switch {
	case e.last < e.baseline || now-e.levelSince >= maxStallPeriods*period:
		e.baseline = e.last
	case e.last <= stallRatio*e.baseline:
		e.baseline += baselineWeight * (e.last - e.baseline)
	}
}

// Known reports whether there was any report.
func (e *Estimator) Known() bool { return e.known }

// Age returns the time since the newest report.
func (e *Estimator) Age(now time.Duration) time.Duration { return now - e.lastAt }

// Last returns the newest reported slowdown.
func (e *Estimator) Last() float64 {
	if !e.known {
		return defaultSlowdown
	}
	return e.last
}

// At returns the expected slowdown of a request that starts now. The weight of the
// newest report falls with its age; after one period only the long-term mean counts.
func (e *Estimator) At(now time.Duration) float64 {
	if !e.known {
		return defaultSlowdown
	}
	meanRatio := min(1, float64(max(0, now-e.lastAt))/float64(period))
	return e.last + meanRatio*(e.mean-e.last)
}

// Stalled reports whether the VM is in a stall that should end soon.
func (e *Estimator) Stalled(now time.Duration) bool {
	return e.known && e.last > stallRatio*e.baseline && now-e.levelSince < maxStallPeriods*period
}

// Plan returns how long a request with the given normal service time should be deferred
// before it starts, and how long it then runs.
func (e *Estimator) Plan(now, serviceTime time.Duration) (deferral, run time.Duration) {
	run = scale(serviceTime, e.At(now))
	if !e.Stalled(now) {
		return 0, run
	}
	stallLeft, runAfter := e.AfterStall(now, serviceTime)
	if stallLeft+scale(period, repeatRatio)+runAfter < run {
		return stallLeft, runAfter
	}
	return 0, run
}

// LaterExecutionTime returns how long a request takes if it gets its slot at an unknown
// later time, including its expected deferral.
func (e *Estimator) LaterExecutionTime(serviceTime time.Duration) time.Duration {
	if !e.known {
		return scale(serviceTime, defaultSlowdown)
	}
	return min(scale(serviceTime, e.mean), scale(serviceTime, e.baseline)+scale(period, repeatRatio))
}

// AfterStall returns the expected remaining time of the current stall and how long the
// request runs after it. Without a stall it returns 0 and the run time expected now.
func (e *Estimator) AfterStall(now, serviceTime time.Duration) (stallLeft, run time.Duration) {
	if !e.Stalled(now) {
		return 0, scale(serviceTime, e.At(now))
	}
	return period - (now-e.levelSince)%period, scale(serviceTime, e.baseline)
}

// BaselineRunTime returns how long a request runs if no stall affects it.
func (e *Estimator) BaselineRunTime(serviceTime time.Duration) time.Duration {
	if !e.known {
		return scale(serviceTime, defaultSlowdown)
	}
	return scale(serviceTime, e.baseline)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

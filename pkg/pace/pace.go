// Package pace predicts how long work takes on a VM whose speed its neighbours
// change many times a second. A pace of 1 means the usual speed, 4 means that
// work takes four times as long.
//
// Load pattern: neighbours stall a VM several times over for some hundred
// milliseconds. A report of the pace is right when it is made and worth less
// with each millisecond; the mean is what is left once it is old.
package pace

import (
	"math"
	"time"
)

const (
	// relaxation is the time after which 63% of a deviation from the mean has
	// ended. The users state that neighbours change within 300 ms.
	relaxation = 300 * time.Millisecond
	// usual is assumed until reports tell more.
	usual = 1.0
	// meanWeight is the part of a new report in the mean, per relaxation time.
	meanWeight = 0.05
)

// Gauge follows the pace of one VM from reports. The zero Gauge knows nothing and
// expects the usual pace. It is not safe for concurrent use.
type Gauge struct {
	last, mean float64
	at         time.Duration
	known      bool
}

// Report takes a pace that was measured at the given time. Reports may be old;
// those from before the newest one change nothing.
func (g *Gauge) Report(now time.Duration, p float64) {
	if p <= 0 || (g.known && now < g.at) {
		return
	}
	if !g.known {
		g.mean, g.known = (usual+p)/2, true
	} else {
		elapsed := min(1, float64(now-g.at)/float64(relaxation))
		g.mean += meanWeight * elapsed * (g.last - g.mean)
	}
	g.last, g.at = p, now
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

// Expect returns the mean pace over work of the given length that starts now.
func (g *Gauge) Expect(now, work time.Duration) float64 {
	if !g.known {
		return usual
	}
	deviation := (g.last - g.mean) * math.Exp(-float64(max(0, now-g.at))/float64(relaxation))
	// The deviation goes on fading while the work runs.
	length := float64(work) / float64(relaxation)
	if length > 0.01 {
		deviation *= (1 - math.Exp(-length)) / length
	}
	return g.mean + deviation
}

package gate

import (
	"math"
	"time"
)

const (
	// rateWindow is the sliding window in which the starts at a cold upstream are counted.
	rateWindow = time.Second
	// maxRateWindow bounds the time between two starts at rates below one per second, so that it can't
	// overflow.
	maxRateWindow = 24 * time.Hour
	// defaultColdSlowdown is the factor by which a cold upstream takes longer, before it was
	// measured. The users' upstreams take about twice as long.
	defaultColdSlowdown = 2.0
	// maxColdSlowdown bounds the measured factor, so that single long runs don't stop the use of
	// the upstream.
	maxColdSlowdown = 4.0
	// coldSlowdownWeight is the weight of a new run in the moving average of the factor, and
	// of a new start in that of the service time.
	coldSlowdownWeight = 0.1
)

// coldLimit limits the starts at an upstream while it is cold.
//
// Load pattern: a failure domain comes back with cold upstreams, and the requests of its callers
// return at once. A cold upstream is slow and crashes if it gets many requests.
type coldLimit struct {
	// rate is the highest number of starts in any second, or 0 while the upstream is not cold.
	rate float64
	// starts holds the times of the starts within the window in their order, also while the
	// upstream is not cold, because the window may begin before the upstream becomes cold.
	starts []time.Duration
	// planned holds starts, and those that are predicted for queued requests.
	planned []time.Duration
	// slowdown is the moving average of the factor by which runs take longer while the upstream
	// is cold. It is 0 before the first one.
	slowdown float64
	// meanServiceTime is the moving average of the expected service times of the starts.
	meanServiceTime float64
	// delayed is the number of starts that waited for the rate.
	delayed int64
}

// SetColdRate sets the highest number of starts in any second while the upstream is cold. Zero
// means that the upstream is not cold. Starts before the call count.
func (g *Gate) SetColdRate(now time.Duration, rate float64) Decisions {
	g.cold.rate = max(0, rate)
	return g.advance(now)
}

// CountEarlierStarts counts n starts at the given time that the gate did not make, such as those of
// an earlier process of the node. They must precede all other starts.
func (g *Gate) CountEarlierStarts(at time.Duration, n int) {
	earlier := make([]time.Duration, 0, n+len(g.cold.starts))
	for range n {
		earlier = append(earlier, at)
	}
	g.cold.starts = append(earlier, g.cold.starts...)
}

// DelayedByRate returns the number of starts that waited because of the cold rate.
func (g *Gate) DelayedByRate() int64 { return g.cold.delayed }

// window returns the length of the sliding window and the number of starts allowed in it. A rate
// below one per second allows one start in a longer window.
func (c *coldLimit) window() (time.Duration, int) {
	if c.rate < 1 {
		return time.Duration(min(float64(rateWindow)/c.rate, float64(maxRateWindow))), 1
	}
	return rateWindow, int(c.rate)
}

// next returns the earliest time of a start that follows the given ones.
func (c *coldLimit) next(starts []time.Duration) time.Duration {
	if c.rate == 0 {
		return 0
	}
	window, n := c.window()
	if len(starts) < n {
		return 0
	}
	return starts[len(starts)-n] + window
}

// allows reports whether a request may start now.
func (c *coldLimit) allows(now time.Duration) bool { return now >= c.next(c.starts) }

// record counts a start. The newest start is kept in any case, for rates below one per second.
func (c *coldLimit) record(now, serviceTime time.Duration) {
	old := 0
	for old < len(c.starts) && c.starts[old] <= now-rateWindow {
		old++
	}
	c.starts = append(c.starts[:copy(c.starts, c.starts[old:])], now)
	if c.meanServiceTime == 0 {
		c.meanServiceTime = float64(serviceTime)
	}
	c.meanServiceTime += coldSlowdownWeight * (float64(serviceTime) - c.meanServiceTime)
}

// beginPlan forgets the predicted starts.
func (c *coldLimit) beginPlan() {
	c.planned = c.planned[:0]
	if c.rate > 0 {
		c.planned = append(c.planned, c.starts...)
	}
}

// plan records a predicted start.
func (c *coldLimit) plan(start time.Duration) {
	if c.rate == 0 {
		return
	}
	if n := len(c.planned); n > 0 {
		start = max(start, c.planned[n-1])
	}
	c.planned = append(c.planned, start)
}

// factor returns the factor by which runs take longer than on a warm upstream.
func (c *coldLimit) factor() float64 {
	switch {
	case c.rate == 0:
		return 1
	case c.slowdown == 0:
		return defaultColdSlowdown
	}
	return c.slowdown
}

// observe records the factor by which a run took longer than on a warm upstream.
func (c *coldLimit) observe(factor float64) {
	old := c.factor()
	c.slowdown = old + coldSlowdownWeight*(min(max(1, factor), maxColdSlowdown)-old)
}

// concurrency returns the number of concurrent requests that the rate sustains, by the mean time
// for which a request runs (Little's law).
func (c *coldLimit) concurrency() int {
	mean := c.meanServiceTime
	if mean == 0 {
		mean = float64(defaultServiceTime)
	}
	return max(1, int(math.Ceil(c.rate*c.factor()*mean/float64(time.Second))))
}

package relay

import (
	"math"
	"time"
)

const (
	// failureSampleWeight is the weight of one result in the failure ratio.
	failureSampleWeight = 0.1
	// failureDecayTime is the time in which the ratio falls to 1/e without results.
	// It is a few service times, so that an upstream that is no longer chosen soon
	// gets requests again.
	failureDecayTime = 2 * time.Second
)

// failureRatio is the moving average of the fraction of requests that failed. It
// also decays with time: an upstream with a high ratio gets no requests, so results
// alone would never lower it.
type failureRatio struct {
	ratio float64
	at    time.Duration
	// resetAt is when the upstream last started anew.
	resetAt time.Duration
}

// reset forgets the results of the upstream's earlier starts, also those that are observed later: a
// crash fails all requests in flight, which says nothing about the next start.
func (f *failureRatio) reset(now time.Duration) { f.ratio, f.at, f.resetAt = 0, now, now }

// observe adds the result of a request that began to run at the given time. The values of now must
// not decrease.
func (f *failureRatio) observe(now, began time.Duration, ok bool) {
	if began < f.resetAt {
		return
	}
	sample := 1.0
	if ok {
		sample = 0
	}
	f.ratio = f.value(now) + failureSampleWeight*(sample-f.value(now))
	f.at = now
}

// value returns the ratio at the given time, 0 to 1.
func (f *failureRatio) value(now time.Duration) float64 {
	return f.ratio * math.Exp(-float64(now-f.at)/float64(failureDecayTime))
}

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
}

// observe adds a result. The values of now must not decrease.
func (f *failureRatio) observe(now time.Duration, ok bool) {
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

package relay

import (
	"math"
	"time"
)

const (
	// failureWeight is the part of one result in the share of failures.
	failureWeight = 0.1
	// failureFade is the time in which the share falls to 1/e without results: some
	// service times, so that an upstream that nobody chooses is soon tried again.
	failureFade = 2 * time.Second
)

// failureShare is the part of the recent requests that failed. It fades with time,
// not with results alone: an upstream with a high share gets no requests, so results
// would never correct it.
type failureShare struct {
	share float64
	at    time.Duration
}

// observe adds a result. Now never falls.
func (f *failureShare) observe(now time.Duration, ok bool) {
	sample := 1.0
	if ok {
		sample = 0
	}
	f.share = f.value(now) + failureWeight*(sample-f.value(now))
	f.at = now
}

// value returns the share at the time, 0 to 1.
func (f *failureShare) value(now time.Duration) float64 {
	return f.share * math.Exp(-float64(now-f.at)/float64(failureFade))
}

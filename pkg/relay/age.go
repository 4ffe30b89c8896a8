package relay

import (
	"slices"
	"time"
)

const (
	// maxTimeoutSamples is the number of recent time limits that are stored for a route:
	// a few seconds of traffic at one node.
	maxTimeoutSamples = 64
	// longestQuantile is the quantile of the time limits that counts as the longest. A
	// single caller with a far longer limit must not make all other requests look old.
	longestQuantile = 0.95
	// minFirstAttemptRatio is the lowest ratio of the time limit of a first attempt to
	// the longest one: the users' callers draw it from 0.85 to 1.
	minFirstAttemptRatio = 0.85
)

// ageEstimator estimates from the caller's time limit how long ago the caller first
// sent a request. Callers reduce the limit over their own retries, and their first
// limits differ.
//
// Load pattern: in a burst most requests are new, and the others are retries after a
// rejection. A new request that is mistaken for a retry seems unable to meet its
// target and is rejected in favour of less urgent requests.
type ageEstimator struct {
	timeouts []time.Duration
	next     int
	// longest is recomputed for each sample until there are maxTimeoutSamples, then
	// once per maxTimeoutSamples/8 samples.
	longest time.Duration
}

// observe records the time limit of a request.
func (e *ageEstimator) observe(timeout time.Duration) {
	if len(e.timeouts) < maxTimeoutSamples {
		e.timeouts = append(e.timeouts, timeout)
	} else {
		e.timeouts[e.next] = timeout
	}
	e.next = (e.next + 1) % maxTimeoutSamples
	if len(e.timeouts) < maxTimeoutSamples || e.next%(maxTimeoutSamples/8) == 0 {
		sorted := slices.Clone(e.timeouts)
		slices.Sort(sorted)
		e.longest = sorted[int(longestQuantile*float64(len(sorted)-1))]
	}
}

// requestAge returns the expected time since the first attempt of a request with this
// time limit. It is zero if the request is likely to be a first attempt. Otherwise, the
// first attempt is assumed to have had the mean time limit of first attempts.
func (e *ageEstimator) requestAge(timeout time.Duration) time.Duration {
	minFirstTimeout := time.Duration(minFirstAttemptRatio * float64(e.longest))
	if timeout >= minFirstTimeout {
		return 0
	}
	return (minFirstTimeout+e.longest)/2 - timeout
}

package probing

import (
	"math"
	"time"
)

// capacity is the most tokens that a bucket holds. A larger one would let a node
// send a burst after a pause.
const capacity = 1

// bucket is a token bucket. Its times are monotonic, so that a step of the wall
// clock grants nothing. It is not safe for concurrent use.
type bucket struct {
	tokens float64
	rate   float64
	last   time.Duration
}

// refill credits the time since the last call. The rate may have changed at any
// moment since then, so the lower one counts.
func (b *bucket) refill(now time.Duration, rate float64) {
	elapsed := max(0, now-b.last)
	credit := max(0, min(b.rate, rate)) * elapsed.Seconds()
	b.tokens = min(capacity, b.tokens+credit)
	b.rate, b.last = rate, now
}

// wait returns the time until there is a token, at most the limit; 0 if there is one.
// Without a rate even a token that is left is not used.
func (b *bucket) wait(limit time.Duration) time.Duration {
	if b.rate <= 0 {
		return limit
	}
	if b.tokens >= 1 {
		return 0
	}
	missing := (1 - b.tokens) / b.rate
	if missing >= limit.Seconds() {
		return limit
	}
	return time.Duration(math.Ceil(missing * float64(time.Second)))
}

// spend takes a token. Nothing is credited for the time since the last refill: the
// process may have been frozen between the decision to send and the send.
func (b *bucket) spend(now time.Duration) {
	b.tokens--
	b.last = now
}

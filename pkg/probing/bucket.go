package probing

import (
	"math"
	"time"
)

// maxTokens is the capacity of a bucket. With a larger one, a node could send a
// burst after a pause.
const maxTokens = 1

// bucket is a token bucket. Its times are monotonic, so that a step of the wall
// clock adds no tokens. It is not safe for concurrent use.
type bucket struct {
	tokens float64
	// rate is in tokens per second.
	rate float64
	// last is the time of the last refill or spend.
	last time.Duration
}

// refill adds tokens for the time since the last call. The rate may have changed at
// any moment since then, so the lower of the old and the new rate applies.
func (b *bucket) refill(now time.Duration, rate float64) {
	elapsed := max(0, now-b.last)
	credit := max(0, min(b.rate, rate)) * elapsed.Seconds()
	b.tokens = min(maxTokens, b.tokens+credit)
	b.rate, b.last = rate, now
}

// wait returns the time until a token is available, at most limit; 0 if one is available.
// At a rate of zero or less it returns limit, even if a token is left.
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

// spend removes a token. It discards the tokens for the time since the last refill: the
// process may have been frozen between the decision to send and the send.
func (b *bucket) spend(now time.Duration) {
	b.tokens--
	b.last = now
}

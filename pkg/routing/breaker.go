package routing

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures that eject an upstream.
	ejectAfterFailures = 3
	// initialBackoff and maxBackoff bound the time between trial requests.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 30 * time.Second
)

// breaker is a circuit breaker. While it is open, it admits a single trial request
// after each backoff.
type breaker struct {
	consecutiveFailures int
	// backoff is 0 while the breaker is closed.
	backoff       time.Duration
	openUntil     time.Duration
	trialInFlight bool
}

func (b *breaker) open() bool { return b.backoff > 0 }

// allows reports whether a request may be sent now.
func (b *breaker) allows(now time.Duration) bool {
	return !b.open() || (!b.trialInFlight && now >= b.openUntil)
}

// begin registers a request and reports whether it is a trial.
func (b *breaker) begin(now time.Duration) bool {
	if !b.open() || !b.allows(now) {
		return false
	}
	b.trialInFlight = true
	return true
}

// success closes the breaker if the request was a trial. An open breaker ignores
// other requests: they were sent before the ejection.
func (b *breaker) success(trial bool) {
	if b.open() && !trial {
		return
	}
	*b = breaker{}
}

// failure counts a failure. mayEject is false if too many peers are already ejected.
func (b *breaker) failure(now time.Duration, trial, mayEject bool) {
	b.consecutiveFailures++
	switch {
	case trial:
		b.backoff = min(2*b.backoff, maxBackoff)
	case b.open() || b.consecutiveFailures < ejectAfterFailures || !mayEject:
		return
	default:
		b.backoff = initialBackoff
	}
	b.trialInFlight = false
	b.openUntil = now + b.backoff
}

// abandon ends a trial that neither succeeded nor failed.
func (b *breaker) abandon(trial bool) {
	if trial {
		b.trialInFlight = false
	}
}

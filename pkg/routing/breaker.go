package routing

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject an upstream.
	ejectAfter = 3
	// firstBackOff and maxBackOff bound the time between trial requests.
	firstBackOff = 500 * time.Millisecond
	maxBackOff   = 30 * time.Second
)

// breaker is a circuit breaker. While it is open, a single trial request goes
// through after each back-off.
type breaker struct {
	consecutive int
	backOff     time.Duration
	openUntil   time.Duration
	trial       bool
}

func (b *breaker) open() bool { return b.backOff > 0 }

// allows reports whether a request may be sent now.
func (b *breaker) allows(now time.Duration) bool {
	return !b.open() || (!b.trial && now >= b.openUntil)
}

// begin notes a send and reports whether it is a trial.
func (b *breaker) begin(now time.Duration) bool {
	if !b.open() || !b.allows(now) {
		return false
	}
	b.trial = true
	return true
}

// success closes the breaker if the request was a trial. Requests that were sent
// before the ejection prove nothing about the present.
func (b *breaker) success(trial bool) {
	if b.open() && !trial {
		return
	}
	*b = breaker{}
}

// failure counts a failure; mayEject is false if too many peers are out already.
func (b *breaker) failure(now time.Duration, trial, mayEject bool) {
	b.consecutive++
	switch {
	case trial:
		b.backOff = min(2*b.backOff, maxBackOff)
	case b.open() || b.consecutive < ejectAfter || !mayEject:
		return
	default:
		b.backOff = firstBackOff
	}
	b.trial = false
	b.openUntil = now + b.backOff
}

// abandon ends a trial without a verdict.
func (b *breaker) abandon(trial bool) {
	if trial {
		b.trial = false
	}
}

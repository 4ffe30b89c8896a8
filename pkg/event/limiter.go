package event

import (
	"sync"
	"time"
)

// Limiter limits how often one kind of event is emitted, for events that others can cause at
// any rate. It is safe for concurrent use.
type Limiter struct {
	// Interval is the minimum time between two events.
	Interval time.Duration

	mu         sync.Mutex
	last       time.Time
	suppressed int
}

// Allow reports whether an event may be emitted now, and how many were suppressed since the
// last one.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < l.Interval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.last, l.suppressed = now, 0
	return suppressed, true
}

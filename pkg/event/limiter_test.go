package event

import (
	"testing"
	"time"
)

func TestLimiterCountsSuppressedEvents(t *testing.T) {
	l := Limiter{Interval: 10 * time.Second}
	start := time.Now()
	for i, tt := range []struct {
		after      time.Duration
		ok         bool
		suppressed int
	}{{0, true, 0}, {time.Second, false, 0}, {9 * time.Second, false, 0}, {10 * time.Second, true, 2}, {21 * time.Second, true, 0}} {
		suppressed, ok := l.Allow(start.Add(tt.after))
		if ok != tt.ok || suppressed != tt.suppressed {
			t.Errorf("event %d: %d suppressed, %v, want %d, %v", i, suppressed, ok, tt.suppressed, tt.ok)
		}
	}
}

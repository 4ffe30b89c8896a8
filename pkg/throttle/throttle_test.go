package throttle

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sendAtRate sends requests at the given rate for some seconds to upstreams that accept at
// most limit per second. It returns the number of requests per second that the throttle
// admitted.
func sendAtRate(t *Throttle, k Key, clock *time.Time, rate, limit float64, seconds int) float64 {
	admitted := 0
	for range seconds {
		accepted := 0.0
		for range int(rate) {
			*clock = clock.Add(time.Duration(float64(time.Second) / rate))
			if !t.Allow(k) {
				continue
			}
			admitted++
			if accepted < limit {
				accepted++
				t.RecordAccepted(k)
			}
		}
	}
	return float64(admitted) / float64(seconds)
}

func newTestThrottle() (*Throttle, *time.Time) {
	clock := time.Unix(0, 0)
	th := New()
	th.now = func() time.Time { return clock }
	th.rand = rand.New(rand.NewPCG(1, 1)).Float64
	return th, &clock
}

// Guards against a flood that reaches the upstreams in full, and against a throttle that
// leaves their capacity unused.
func TestAdmittedRateInFlood(t *testing.T) {
	th, clock := newTestThrottle()
	got := sendAtRate(th, Key{Caller: "flood"}, clock, 10000, 500, 20)
	if got < 500 || got > 1500 {
		t.Errorf("%.0f of 10000 requests a second reach upstreams that accept 500, want 500 to 1500", got)
	}
}

// Guards against rejecting requests of one caller because of another caller's flood.
func TestOtherCallersAreNotThrottled(t *testing.T) {
	th, clock := newTestThrottle()
	sendAtRate(th, Key{Caller: "flood"}, clock, 10000, 100, 5)
	if got := sendAtRate(th, Key{Caller: "calm"}, clock, 100, 100, 5); got != 100 {
		t.Errorf("%.0f of 100 requests a second of another caller are admitted, want all", got)
	}
}

// Guards against a throttle that still rejects requests after a flood.
func TestAllRequestsAreAdmittedAfterFlood(t *testing.T) {
	th, clock := newTestThrottle()
	k := Key{Caller: "a"}
	sendAtRate(th, k, clock, 10000, 100, 5)
	*clock = clock.Add(staleAfter)
	if got := sendAtRate(th, k, clock, 100, 100, 2); got != 100 {
		t.Errorf("%.0f of 100 requests a second are admitted after the flood, want all", got)
	}
}

// Guards against memory use that grows without bound with the number of callers.
func TestStreamCountIsBounded(t *testing.T) {
	th, _ := newTestThrottle()
	for i := range 3 * maxKeys {
		th.Allow(Key{Caller: string(rune(i))})
	}
	if len(th.streams) > maxKeys+1 {
		t.Errorf("%d streams, more than the limit and one shared stream", len(th.streams))
	}
}

package throttle

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drive sends at a rate for a while against upstreams that accept a share of what
// reaches them, at most limit per second, and returns what was let through per second.
func drive(t *Throttle, k Key, clock *time.Time, rate, limit float64, seconds int) float64 {
	sent := 0
	for range seconds {
		accepted := 0.0
		for range int(rate) {
			*clock = clock.Add(time.Duration(float64(time.Second) / rate))
			if !t.Allow(k) {
				continue
			}
			sent++
			if accepted < limit {
				accepted++
				t.Accepted(k)
			}
		}
	}
	return float64(sent) / float64(seconds)
}

func newTest() (*Throttle, *time.Time) {
	clock := time.Unix(0, 0)
	th := New()
	th.now = func() time.Time { return clock }
	th.rand = rand.New(rand.NewPCG(1, 1)).Float64
	return th, &clock
}

// Guards against a flood whose refusals all reach the upstreams, and against a
// throttle that starves the capacity they have.
func TestFlood(t *testing.T) {
	th, clock := newTest()
	got := drive(th, Key{Caller: "flood"}, clock, 10000, 500, 20)
	if got < 500 || got > 1500 {
		t.Errorf("%.0f of 10000 requests a second reach upstreams that accept 500", got)
	}
}

// Guards against callers that pay for another caller's flood.
func TestOtherCallersPass(t *testing.T) {
	th, clock := newTest()
	drive(th, Key{Caller: "flood"}, clock, 10000, 100, 5)
	if got := drive(th, Key{Caller: "calm"}, clock, 100, 100, 5); got != 100 {
		t.Errorf("%.0f of 100 requests a second of a calm caller pass", got)
	}
}

// Guards against a throttle that stays closed after a flood.
func TestRecovers(t *testing.T) {
	th, clock := newTest()
	k := Key{Caller: "a"}
	drive(th, k, clock, 10000, 100, 5)
	*clock = clock.Add(staleAfter)
	if got := drive(th, k, clock, 100, 100, 2); got != 100 {
		t.Errorf("%.0f of 100 requests a second pass after the flood", got)
	}
}

// Guards against memory that grows with the number of callers.
func TestBounded(t *testing.T) {
	th, _ := newTest()
	for i := range 3 * maxKeys {
		th.Allow(Key{Caller: string(rune(i))})
	}
	if len(th.streams) > maxKeys+1 {
		t.Errorf("%d streams", len(th.streams))
	}
}

package admission_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
)

const demandPerSecond = 50

// offer makes calls like r at demandPerSecond for the duration d. Each holds its slot
// for 10 ms.
func offer(t *testing.T, c *admission.Controller, r admission.Request, d time.Duration) {
	t.Helper()
	for range int(d.Seconds() * demandPerSecond) {
		if release, err := c.Acquire(context.Background(), r); err == nil {
			time.AfterFunc(10*time.Millisecond, release)
		}
		time.Sleep(time.Second / demandPerSecond)
	}
}

// Guards against plans made from a demand that omits rejected calls, counts
// re-routed calls twice, or lags by minutes.
func TestDemand(t *testing.T) {
	for _, tc := range []struct {
		desc     string
		slots    int
		request  admission.Request
		offered  time.Duration
		idle     time.Duration
		rank     string
		want     float64
		capacity float64
	}{
		{"served", 4, admission.Request{Rank: "urgent"}, 40 * time.Second, 0, "urgent", demandPerSecond, 400},
		{"soon after the start", 4, admission.Request{Rank: "urgent"}, 2 * time.Second, 0, "urgent", demandPerSecond, 400},
		{"refused", 0, admission.Request{Rank: "urgent", NoWait: true}, 40 * time.Second, 0, "urgent", demandPerSecond, 0},
		{"further attempts", 4, admission.Request{Rank: "urgent", Repeat: true}, 40 * time.Second, 0, "urgent", 0, 400},
		{"unknown rank", 4, admission.Request{Rank: "unknown"}, 40 * time.Second, 0, "", demandPerSecond, 400},
		{"past demand", 4, admission.Request{Rank: "urgent"}, 40 * time.Second, time.Minute, "urgent", 0, 400},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := admission.New(ranks)
				c.SetSlots(tc.slots, false)
				offer(t, c, tc.request, tc.offered)
				time.Sleep(tc.idle)
				got := c.Demand()[tc.rank]
				if math.Abs(got-tc.want) > 0.05*demandPerSecond {
					t.Errorf("demand %v per second, want %v; all: %v", got, tc.want, c.Demand())
				}
				if capacity := c.Capacity(); math.Abs(capacity-tc.capacity) > 0.05*tc.capacity {
					t.Errorf("capacity %v per second, want %v", capacity, tc.capacity)
				}
			})
		})
	}
}

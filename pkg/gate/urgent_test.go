package gate

import (
	"testing"
	"time"
)

const (
	urgentServiceTime      = 230 * time.Millisecond
	urgentTarget           = 500 * time.Millisecond
	lowerRankedServiceTime = 250 * time.Millisecond
	lowerRankedTarget      = 1200 * time.Millisecond
)

// busyGate returns a gate whose slots are busy with lower-ranked requests, started
// 30 ms apart until now, and which has the given number of them queued.
func busyGate(t *testing.T, now time.Duration, queued int) *Gate {
	t.Helper()
	g := New()
	g.Open(0, testSlots)
	g.serviceTimes["urgent"], g.serviceTimes["lesser"] = urgentServiceTime, lowerRankedServiceTime
	for i := range g.limit() {
		at := now - time.Duration(i)*30*time.Millisecond
		r := request("lesser", 2, at, lowerRankedTarget, 3*time.Second)
		g.start(at, r)
	}
	for range queued {
		g.queue = append(g.queue, request("lesser", 2, now, lowerRankedTarget, 3*time.Second))
	}
	return g
}

// In a stall, an urgent request that meets its target after the stall must stay ahead of
// lower-ranked requests that can wait, although it would miss its target in the stall.
func TestUrgentRequestStaysAheadOfLowerRankedInStall(t *testing.T) {
	now := 10 * time.Second
	g := busyGate(t, now, 8)
	g.RecordSlowdown(0, 1)
	g.RecordSlowdown(now-100*time.Millisecond, 2.1)
	g.RecordSlowdown(now, 2.1)
	const timeLeft = urgentServiceTime + 210*time.Millisecond
	started, rejection, _ := g.Offer(now, request("urgent", 1, now, timeLeft, 2*time.Second))
	if rejection != nil || started {
		t.Fatalf("started %v, rejection %v; want it queued", started, rejection)
	}
	if first := g.queue[0].Class; first != "urgent" {
		t.Errorf("first request in the queue is %s, want urgent", first)
	}
}

// Stalls are frequent, but the next run is most likely not affected by one. An urgent
// request that meets its target without a stall must be queued.
func TestUrgentRequestIsNotRejectedForPossibleStall(t *testing.T) {
	now := 10 * time.Second
	g := busyGate(t, now, 8)
	for at := time.Duration(0); at < now; at += 300 * time.Millisecond {
		slowdown := 1.0
		if at/(300*time.Millisecond)%3 == 0 {
			slowdown = stallSlowdown
		}
		g.RecordSlowdown(at, slowdown)
	}
	g.RecordSlowdown(now, 1)
	timeLeft := urgentServiceTime + 110*time.Millisecond
	if _, rejection, _ := g.Offer(now, request("urgent", 1, now, timeLeft, 2*time.Second)); rejection != nil {
		t.Errorf("rejected as %s with %v left for a service time of %v", rejection.Reason, timeLeft, urgentServiceTime)
	}
	// A request that misses its target even without a stall must be rejected at once.
	if _, rejection, _ := g.Offer(now, request("urgent", 1, now, urgentServiceTime+20*time.Millisecond, 2*time.Second)); rejection == nil {
		t.Error("a request that cannot meet its target was queued")
	}
}

package gate

import (
	"testing"
	"time"
)

const (
	urgentWork   = 230 * time.Millisecond
	urgentTarget = 500 * time.Millisecond
	lesserWork   = 250 * time.Millisecond
	lesserTarget = 1200 * time.Millisecond
)

// sharedGate returns a gate whose slots are busy with lesser work that started 30 ms
// apart until now, and with as much of it waiting.
func sharedGate(t *testing.T, now time.Duration, waiting int) *Gate {
	t.Helper()
	g := New()
	g.Open(0, testSlots)
	g.service["urgent"], g.service["lesser"] = urgentWork, lesserWork
	for i := range g.limit() {
		at := now - time.Duration(i)*30*time.Millisecond
		r := request("lesser", 2, at, lesserTarget, 3*time.Second)
		g.start(at, r)
	}
	for range waiting {
		g.queue = append(g.queue, request("lesser", 2, now, lesserTarget, 3*time.Second))
	}
	return g
}

// In a stall, lesser work that can wait must not go before urgent work that meets its
// target after the stall, though it would miss it inside.
func TestUrgentWorkIsNotPutBehindInAStall(t *testing.T) {
	now := 10 * time.Second
	g := sharedGate(t, now, 8)
	g.Pace(0, 1)
	g.Pace(now-100*time.Millisecond, 2.1)
	g.Pace(now, 2.1)
	const left = urgentWork + 210*time.Millisecond
	started, refusal, _ := g.Offer(now, request("urgent", 1, now, left, 2*time.Second))
	if refusal != nil || started {
		t.Fatalf("started %v, refusal %v; want it to wait", started, refusal)
	}
	if first := g.queue[0].Class; first != "urgent" {
		t.Errorf("%s work is first in the queue", first)
	}
}

// Stalls are frequent, but the next run will most likely meet none.
func TestUrgentWorkIsNotRefusedForAStallThatMayCome(t *testing.T) {
	now := 10 * time.Second
	g := sharedGate(t, now, 8)
	for at := time.Duration(0); at < now; at += 300 * time.Millisecond {
		p := 1.0
		if at/(300*time.Millisecond)%3 == 0 {
			p = stallPace
		}
		g.Pace(at, p)
	}
	g.Pace(now, 1)
	left := urgentWork + 110*time.Millisecond
	if _, refusal, _ := g.Offer(now, request("urgent", 1, now, left, 2*time.Second)); refusal != nil {
		t.Errorf("refused as %s with %v left for %v of work", refusal.Reason, left, urgentWork)
	}
	// What cannot meet its target even so is refused at once.
	if _, refusal, _ := g.Offer(now, request("urgent", 1, now, urgentWork+20*time.Millisecond, 2*time.Second)); refusal == nil {
		t.Error("hopeless work waits")
	}
}

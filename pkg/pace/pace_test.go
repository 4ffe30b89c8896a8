package pace

import (
	"testing"
	"time"
)

// A stall that was reported just now counts in full; the same report counts less
// the older it is and the longer the work that it is used for.
func TestReportFadesWithAgeAndLength(t *testing.T) {
	var g Gauge
	g.Report(0, 1)
	g.Report(time.Second, 4)
	now := g.Expect(time.Second, 0)
	if now != 4 {
		t.Errorf("fresh report: %v, want 4", now)
	}
	old := g.Expect(time.Second+relaxation, 0)
	long := g.Expect(time.Second, 2*relaxation)
	if old >= now || long >= now || old <= 1 || long <= 1 {
		t.Errorf("fresh %.2f, old %.2f, long work %.2f", now, old, long)
	}
}

func TestLateReportChangesNothing(t *testing.T) {
	var g Gauge
	g.Report(time.Second, 4)
	g.Report(500*time.Millisecond, 1)
	if g.Last() != 4 {
		t.Errorf("last %v, want 4", g.Last())
	}
}

func TestUnknownPaceIsUsual(t *testing.T) {
	var g Gauge
	if g.Expect(time.Second, time.Second) != usual || g.Known() {
		t.Error("an empty gauge should expect the usual pace")
	}
}

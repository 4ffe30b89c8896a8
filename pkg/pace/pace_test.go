package pace

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// reported returns a gauge of a VM that was calm for a second and then stalled.
func reported(stall float64) *Gauge {
	g := &Gauge{}
	for at := time.Duration(0); at < time.Second; at += 50 * ms {
		g.Report(at, 1)
	}
	g.Report(time.Second, stall)
	return g
}

// A stall that was reported just now counts in full, whatever the length of the
// work; the same report counts less the older it is.
func TestReportFadesWithAge(t *testing.T) {
	g := reported(4)
	if got := g.At(time.Second); got != 4 {
		t.Errorf("fresh report: %v, want 4", got)
	}
	half, old := g.At(time.Second+period/2), g.At(time.Second+period)
	if half >= 4 || old >= half || old < 1 {
		t.Errorf("after half a period %.2f, after one %.2f", half, old)
	}
}

// Work that would run longer in the stall than the rest of the stall and its own
// length is held back; short work is not, nor is any in a calm VM.
func TestWorkIsHeldBackWhileTheVMStalls(t *testing.T) {
	tests := []struct {
		desc  string
		stall float64
		after time.Duration
		work  time.Duration
		held  bool
	}{
		{"long work at the start of a stall", 4, 0, 220 * ms, true},
		{"long work near the end of a period", 4, 250 * ms, 100 * ms, true},
		{"short work", 4, 0, 15 * ms, false},
		{"long work in a calm VM", 1, 0, 220 * ms, false},
		{"long work in a VM that is a little slower", 1.3, 0, 220 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			g := reported(tt.stall)
			now := time.Second + tt.after
			g.Report(now, tt.stall)
			hold, run := g.Plan(now, tt.work)
			if (hold > 0) != tt.held {
				t.Errorf("held back for %v, run for %v", hold, run)
			}
			if tt.held && hold+run >= time.Duration(float64(tt.work)*tt.stall) {
				t.Errorf("held back for %v and run for %v is no gain", hold, run)
			}
		})
	}
}

// A VM that stays slow is not waited for.
func TestSteadyPaceIsNoStall(t *testing.T) {
	g := reported(4)
	now := time.Second
	for ; now < time.Second+steadyPeriods*period; now += 50 * ms {
		g.Report(now, 4)
	}
	g.Report(now, 4)
	if hold, run := g.Plan(now, 220*ms); hold != 0 || run != 880*ms {
		t.Errorf("held back for %v, run for %v", hold, run)
	}
	g.Report(now, 1)
	if g.Stalled(now) || g.At(now) != 1 {
		t.Error("the VM is calm again")
	}
}

func TestLateReportChangesNothing(t *testing.T) {
	var g Gauge
	g.Report(time.Second, 4)
	g.Report(500*ms, 1)
	if g.Last() != 4 {
		t.Errorf("last %v, want 4", g.Last())
	}
}

func TestUnknownPaceIsUsual(t *testing.T) {
	var g Gauge
	if hold, run := g.Plan(time.Second, time.Second); hold != 0 || run != time.Second || g.Known() {
		t.Errorf("an empty gauge plans %v and %v", hold, run)
	}
}

// All VMs start together and are slow for seconds: work is not held back for the end of
// a stall, and its time is not taken for that on a calm VM.
func TestSlowStartIsNoStall(t *testing.T) {
	var g Gauge
	const work = 240 * time.Millisecond
	for now := time.Duration(0); now < 600*time.Millisecond; now += 50 * time.Millisecond {
		g.Report(now, 2)
		if g.Stalled(now) {
			t.Fatalf("stalled %v after the start", now)
		}
		if c := g.Calm(work); c != 2*work {
			t.Fatalf("calm work takes %v, want %v", c, 2*work)
		}
	}
	// Neighbours stall the slow VM, and later it has become warm.
	g.Report(600*time.Millisecond, 8)
	if !g.Stalled(600 * time.Millisecond) {
		t.Error("a stall of a slow VM is not seen")
	}
	g.Report(900*time.Millisecond, 1)
	if c := g.Calm(work); c != work {
		t.Errorf("calm work takes %v on a warm VM", c)
	}
}

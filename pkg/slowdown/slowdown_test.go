package slowdown

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// estimatorAfter returns the estimator of a VM with slowdown 1 for a second and the given
// slowdown at its end.
func estimatorAfter(slowdown float64) *Estimator {
	e := &Estimator{}
	for at := time.Duration(0); at < time.Second; at += 50 * ms {
		e.Record(at, 1)
	}
	e.Record(time.Second, slowdown)
	return e
}

// A new report counts in full, and less as it gets older.
func TestWeightOfReportFallsWithAge(t *testing.T) {
	e := estimatorAfter(4)
	if got := e.At(time.Second); got != 4 {
		t.Errorf("fresh report: %v, want 4", got)
	}
	half, old := e.At(time.Second+period/2), e.At(time.Second+period)
	if half >= 4 || old >= half || old < 1 {
		t.Errorf("slowdown %.2f after half a period and %.2f after one, want a decrease from 4 to at least 1", half, old)
	}
}

// A request that would run longer in the stall than the rest of the stall and its normal
// service time take together is deferred. Short requests are not, and none is without a
// stall.
func TestRequestsAreDeferredDuringStalls(t *testing.T) {
	tests := []struct {
		desc        string
		slowdown    float64
		sinceStall  time.Duration
		serviceTime time.Duration
		deferred    bool
	}{
		{"long request at the start of a stall", 4, 0, 220 * ms, true},
		{"long request near the end of a period", 4, 250 * ms, 100 * ms, true},
		{"short request", 4, 0, 15 * ms, false},
		{"long request without a stall", 1, 0, 220 * ms, false},
		{"long request on a VM that is a little slower", 1.3, 0, 220 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e := estimatorAfter(tt.slowdown)
			now := time.Second + tt.sinceStall
			e.Record(now, tt.slowdown)
			deferral, run := e.Plan(now, tt.serviceTime)
			if (deferral > 0) != tt.deferred {
				t.Errorf("deferred for %v, run for %v", deferral, run)
			}
			if tt.deferred && deferral+run >= time.Duration(float64(tt.serviceTime)*tt.slowdown) {
				t.Errorf("deferral of %v and run of %v take no less time than a run in the stall", deferral, run)
			}
		})
	}
}

// If a VM stays slow, requests are not deferred.
func TestSteadySlowdownIsNoStall(t *testing.T) {
	e := estimatorAfter(4)
	now := time.Second
	for ; now < time.Second+maxStallPeriods*period; now += 50 * ms {
		e.Record(now, 4)
	}
	e.Record(now, 4)
	if deferral, run := e.Plan(now, 220*ms); deferral != 0 || run != 880*ms {
		t.Errorf("deferred for %v, run for %v", deferral, run)
	}
	e.Record(now, 1)
	if e.Stalled(now) || e.At(now) != 1 {
		t.Error("the VM still counts as slow after a report of 1")
	}
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	var e Estimator
	e.Record(time.Second, 4)
	e.Record(500*ms, 1)
	if e.Last() != 4 {
		t.Errorf("last %v, want 4", e.Last())
	}
}

func TestDefaultSlowdownWithoutReports(t *testing.T) {
	var e Estimator
	if deferral, run := e.Plan(time.Second, time.Second); deferral != 0 || run != time.Second || e.Known() {
		t.Errorf("without reports: deferred for %v, run for %v; want 0s, 1s and no known report", deferral, run)
	}
}

// Upstreams are slow for seconds after their start. This must not count as a stall in
// which requests are deferred, nor as a slowdown of 1.
func TestSlowStartIsNoStall(t *testing.T) {
	var e Estimator
	const serviceTime = 240 * time.Millisecond
	for now := time.Duration(0); now < 600*time.Millisecond; now += 50 * time.Millisecond {
		e.Record(now, 2)
		if e.Stalled(now) {
			t.Fatalf("stalled %v after the start", now)
		}
		if run := e.BaselineRunTime(serviceTime); run != 2*serviceTime {
			t.Fatalf("request without a stall takes %v, want %v", run, 2*serviceTime)
		}
	}
	// Neighbours stall the VM while it is still slow. Then the warm-up ends.
	e.Record(600*time.Millisecond, 8)
	if !e.Stalled(600 * time.Millisecond) {
		t.Error("a stall of a slow VM is not detected")
	}
	e.Record(900*time.Millisecond, 1)
	if run := e.BaselineRunTime(serviceTime); run != serviceTime {
		t.Errorf("request without a stall takes %v on a warm VM, want 240ms", run)
	}
}

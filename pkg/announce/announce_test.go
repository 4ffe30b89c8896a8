package announce

import (
	"testing"
	"time"
)

const (
	// period is the time between two announcements of an upstream.
	period = 1500 * time.Millisecond
	// much is longer than an announcement may be late.
	much = DefaultMaxDelay + time.Second
)

// ready returns an announcement of readiness.
func ready(id string, start, sequence int64) Announcement {
	return Announcement{ID: id, State: Ready, Slots: 4, StartUnixMillis: start, Sequence: sequence}
}

func draining(id string, start, sequence int64) Announcement {
	a := ready(id, start, sequence)
	a.State = Draining
	return a
}

// checkState checks the upstream in use or that has left.
func checkState(t *testing.T, tr *Tracker, id string, want State) {
	t.Helper()
	if cur := tr.Current(); cur.State != want || cur.ID != id {
		t.Errorf("upstream %q is %v, want %q %v", cur.ID, cur.State, id, want)
	}
}

func TestTrackerOrdersBySequence(t *testing.T) {
	known := ready("a", 100, 5)
	tests := []struct {
		desc  string
		next  Announcement
		want  Verdict
		state State
	}{
		{"same state, later sequence", ready("a", 100, 6), Unchanged, Ready},
		{"repeated announcement", known, Unchanged, Ready},
		{"late draining of an earlier start", draining("z", 99, 50), Unchanged, Ready},
		{"draining", draining("a", 100, 6), Changed, Draining},
		{"draining with an earlier sequence", draining("a", 100, 4), Refused, Ready},
		{"restart under the same id", ready("a", 101, 1), Changed, Ready},
		{"restart under the same id with a clock that was put back", ready("a", 99, 1), Unchanged, Ready},
		{"another id with the same start", draining("b", 100, 9), Unchanged, Ready},
		{"other slots", Announcement{ID: "a", State: Ready, Slots: 9, StartUnixMillis: 100, Sequence: 6}, Changed, Ready},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var tr Tracker
			tr.Observe(known, 0)
			if got := tr.Observe(tt.next, period); got != tt.want {
				t.Errorf("verdict %v, want %v", got, tt.want)
			}
			checkState(t, &tr, "a", tt.state)
		})
	}
}

// A delayed announcement of "ready" must not reactivate a stopped upstream.
func TestGoneIsFinalForOneStart(t *testing.T) {
	var tr Tracker
	tr.Observe(ready("a", 100, 5), 0)
	tr.ObserveStop("a", 100, period)
	for _, at := range []time.Duration{period, much, 10 * much} {
		if got := tr.Observe(ready("a", 100, 6+int64(at)), at); got != Refused {
			t.Errorf("verdict %v, want refused", got)
		}
	}
	if got := tr.Observe(ready("b", 101, 1), 10*much); got != Changed {
		t.Errorf("verdict %v, want changed", got)
	}
	if got := tr.ObserveStop("a", 100, 10*much+period); got != Unchanged {
		t.Errorf("late stop of the earlier start: verdict %v, want unchanged", got)
	}
	checkState(t, &tr, "b", Ready)
}

// An upstream may send further announcements after its stop message. The stop message
// may lack the start time, and so may the node's earlier information on the upstream.
func TestStopWithoutStartTimeIsFinal(t *testing.T) {
	for _, known := range []bool{true, false} {
		var tr Tracker
		if known {
			tr.ObserveHealth("a", 4, 0)
		}
		tr.ObserveStop("a", 0, period)
		for i := range int64(10) {
			if tr.Observe(ready("a", 100, 30+i), 2*period+time.Duration(i)*period); tr.Current().State != Gone {
				t.Fatalf("known %t: state %v, want gone", known, tr.Current().State)
			}
		}
		if got := tr.Observe(ready("a", 200, 1), period+much); got != Changed {
			t.Errorf("known %t: a later start under the same id: verdict %v, want changed", known, got)
		}
	}
}

// Guards against a stop without a start time that keeps an upstream out for good: it may be a late
// one of an earlier start.
func TestLateStopWithoutStartTimeEnds(t *testing.T) {
	var tr Tracker
	tr.Observe(ready("a", 100, 1), 0)
	tr.ObserveStop("a", 0, period)
	bound := period + DefaultMaxDelay + unidentifiedStopHold + period
	for at, sequence := 2*period, int64(2); at <= bound; at, sequence = at+period, sequence+1 {
		tr.Observe(ready("a", 100, sequence), at)
	}
	checkState(t, &tr, "a", Ready)
}

// A stop message of another upstream that arrives before the first announcement says nothing
// about the upstream beside the node.
func TestStopOfAnotherUpstreamDoesNotStopUnknownUpstream(t *testing.T) {
	var tr Tracker
	tr.ObserveStop("z", 0, 0)
	if got := tr.Observe(ready("a", 100, 30), 1); got != Changed || tr.Current().State != Ready {
		t.Errorf("verdict %v, state %v, want changed and ready", got, tr.Current().State)
	}
	if got := tr.Observe(ready("z", 200, 31), period); got != Refused {
		t.Errorf("late announcement of the stopped upstream: verdict %v, want refused", got)
	}
	checkState(t, &tr, "a", Ready)
	if got := tr.Observe(ready("z", 5100, 1), much); got != Changed {
		t.Errorf("a later start under the same id: verdict %v, want changed", got)
	}
}

// Guards against the stop of an upstream that took the place of the known one and that was not known
// yet: a late announcement from before the stop would bring it back.
func TestStopOfNewerUpstreamIsNotForgotten(t *testing.T) {
	for _, start := range []int64{101, 0} {
		var tr Tracker
		tr.Observe(ready("a", 100, 5), 0)
		tr.ObserveStop("b", start, period)
		tr.Observe(ready("b", 101, 1), 2*period)
		if got := tr.Current(); got.ID == "b" && got.State == Ready {
			t.Errorf("start %d in the stop: the upstream is used after it", start)
		}
	}
}

// Guards against a stored departure that is ignored, that concerns more than its upstream, or that
// keeps a later start out of use for good.
func TestStoredDeparture(t *testing.T) {
	tests := []struct {
		desc  string
		a     Announcement
		final bool
	}{
		{"the same start", ready("u", 5, 9), true},
		{"another start", ready("u", 6, 0), false},
		{"another start with a clock that was put back", ready("u", 4, 0), false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var before, after Tracker
			before.ObserveDeparture(Departure{"u", 5})
			if got := before.Observe(tt.a, period); got != Refused {
				t.Errorf("verdict %d after the departure, want refused", got)
			}
			after.Observe(tt.a, period)
			after.ObserveDeparture(Departure{"u", 5})
			checkState(t, &after, "u", Gone)
			for _, tr := range []*Tracker{&before, &after} {
				tt.a.Sequence++
				tr.Observe(tt.a, much)
				checkState(t, tr, "u", map[bool]State{true: Gone, false: Ready}[tt.final])
			}
		})
	}
	t.Run("another upstream with a clock that is behind", func(t *testing.T) {
		var tr Tracker
		tr.ObserveDeparture(Departure{"u", 5})
		tr.Observe(ready("v", 4, 1), period)
		checkState(t, &tr, "v", Ready)
	})
	t.Run("health check", func(t *testing.T) {
		var tr Tracker
		tr.ObserveDeparture(Departure{"u", 5})
		tr.ObserveHealth("u", 4, period)
		checkState(t, &tr, "u", Gone)
		tr.ObserveHealth("v", 4, period)
		checkState(t, &tr, "v", Ready)
	})
}

// Guards against a single late announcement that is taken for a sign of life while the recorded
// departures are not known.
func TestUnconfirmedUpstreamIsNotUsed(t *testing.T) {
	for desc, confirm := range map[string]func(*Tracker){
		"it goes on":              func(tr *Tracker) { tr.Observe(ready("a", 100, 6), 2*period) },
		"it is healthy":           func(tr *Tracker) { tr.ObserveHealth("a", 4, 2*period) },
		"the records were read":   func(tr *Tracker) { tr.RequireConfirmation(false) },
		"it is known by health":   func(tr *Tracker) { *tr = Tracker{confirmRequired: true}; tr.ObserveHealth("a", 4, period) },
		"another one has left":    func(tr *Tracker) { tr.ObserveStop("z", 1, period); tr.Observe(ready("a", 100, 6), 2*period) },
		"an earlier one has left": func(tr *Tracker) { tr.ObserveStop("a", 99, period); tr.Observe(ready("a", 100, 20), 2*much) },
	} {
		t.Run(desc, func(t *testing.T) {
			var tr Tracker
			tr.RequireConfirmation(true)
			tr.Observe(ready("a", 100, 5), period)
			if tr.Current().State == Ready {
				t.Error("used after one announcement")
			}
			confirm(&tr)
			checkState(t, &tr, "a", Ready)
		})
	}
}

// Guards against one late announcement of an ended upstream that takes the place of the one that
// lives, and against one that lives and doesn't get its place, whatever their clocks.
func TestUpstreamThatGoesOnIsUsed(t *testing.T) {
	for _, start := range []int64{50, 150} {
		var tr Tracker
		tr.Observe(ready("a", 100, 1), 0)
		at := period
		for i := range int64(3) {
			tr.Observe(ready("b", start, 1+i), at)
			at += period
		}
		checkState(t, &tr, "b", Ready)
		tr.Observe(ready("a", 100, 2), at)
		for i := range int64(2) {
			at += period
			tr.Observe(ready("b", start, 4+i), at)
		}
		checkState(t, &tr, "b", Ready)
	}
}

// Guards against a start that can't be told from an earlier one by id and start time and is taken
// for it for good.
func TestStartWithTheSameTimeIsUsed(t *testing.T) {
	var tr Tracker
	tr.Observe(ready("a", 100, 7), 0)
	tr.ObserveStop("a", 100, period)
	if got := tr.Observe(ready("a", 100, 1), 2*period); got != Refused {
		t.Errorf("verdict %v for a sequence that may be late", got)
	}
	tr.Observe(ready("a", 100, 2), much)
	tr.Observe(ready("a", 100, 9), 2*much)
	checkState(t, &tr, "a", Ready)
}

// Guards against memory that grows with each start, and against a departure that is forgotten
// because of that.
func TestTrackerForgetsStarts(t *testing.T) {
	var tr Tracker
	at := time.Duration(0)
	for i := range int64(100) {
		at += time.Second
		tr.Observe(ready("a", 100+i, 1), at)
		tr.Observe(ready("b", 500-i, 1), at)
	}
	tr.ObserveStop("a", 1000, at)
	for i := range int64(100) {
		at += 10 * time.Millisecond
		tr.Observe(ready("a", 2000+i, 1), at)
	}
	if n := len(tr.starts); n > maxStarts {
		t.Errorf("%d starts are remembered", n)
	}
	if tr.Observe(ready("a", 1000, 3), at) != Refused {
		t.Error("the departure was forgotten")
	}
}

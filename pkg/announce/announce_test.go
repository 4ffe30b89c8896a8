package announce

import "testing"

func TestTrackerOrdersByStartAndSequence(t *testing.T) {
	ready := Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 5}
	tests := []struct {
		desc  string
		next  Announcement
		want  Verdict
		state State
	}{
		{"same state, later sequence", Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 6}, Unchanged, Ready},
		{"repeated announcement", ready, Stale, Ready},
		{"late draining of an earlier start", Announcement{ID: "z", State: Draining, Slots: 4, StartUnixMillis: 99, Sequence: 50}, Stale, Ready},
		{"draining", Announcement{ID: "a", State: Draining, Slots: 4, StartUnixMillis: 100, Sequence: 6}, Changed, Draining},
		{"restart under the same id", Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 101, Sequence: 1}, Changed, Ready},
		{"another id with the same start", Announcement{ID: "b", State: Draining, Slots: 4, StartUnixMillis: 100, Sequence: 9}, Stale, Ready},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var tr Tracker
			tr.Observe(ready)
			if got := tr.Observe(tt.next); got != tt.want {
				t.Errorf("verdict %v, want %v", got, tt.want)
			}
			if got := tr.Current().State; got != tt.state {
				t.Errorf("state %v, want %v", got, tt.state)
			}
		})
	}
}

// A delayed announcement of "ready" must not reactivate a stopped upstream.
func TestGoneIsFinalForOneStart(t *testing.T) {
	var tr Tracker
	tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 5})
	tr.ObserveStop("a", 100, 500)
	if got := tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 6}); got != Stale {
		t.Errorf("verdict %v, want stale", got)
	}
	if got := tr.Observe(Announcement{ID: "b", State: Ready, Slots: 4, StartUnixMillis: 101, Sequence: 1}); got != Changed {
		t.Errorf("verdict %v, want changed", got)
	}
	if got := tr.ObserveStop("a", 100, 500); got != Stale {
		t.Errorf("late stop of the earlier start: verdict %v, want stale", got)
	}
}

// An upstream may send further announcements after its stop message. The stop message
// may lack the start time, and so may the node's earlier information on the upstream.
func TestStopWithoutStartTimeIsFinal(t *testing.T) {
	const now = 5000
	tests := []struct {
		desc  string
		known *Announcement
	}{
		{"known only from a health response", &Announcement{ID: "a", State: Ready, Slots: 4}},
		{"not known yet", nil},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var tr Tracker
			if tt.known != nil {
				tr.Observe(*tt.known)
			}
			tr.ObserveStop("a", 0, now)
			tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 30})
			if got := tr.Current().State; got != Gone {
				t.Errorf("state %v, want gone", got)
			}
			if got := tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: now + 100, Sequence: 1}); got != Changed {
				t.Errorf("a later start under the same id: verdict %v, want changed", got)
			}
		})
	}
}

// A stop message of another upstream that arrives before the first announcement says nothing
// about the upstream beside the node.
func TestStopOfAnotherUpstreamDoesNotStopUnknownUpstream(t *testing.T) {
	const now = 5000
	var tr Tracker
	tr.ObserveStop("z", 0, now)
	if got := tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 30}); got != Changed || tr.Current().State != Ready {
		t.Errorf("verdict %v, state %v, want changed and ready", got, tr.Current().State)
	}
	if got := tr.Observe(Announcement{ID: "z", State: Ready, Slots: 4, StartUnixMillis: 200, Sequence: 31}); got != Stale {
		t.Errorf("late announcement of the stopped upstream: verdict %v, want stale", got)
	}
	if got := tr.Observe(Announcement{ID: "z", State: Ready, Slots: 4, StartUnixMillis: now + 100, Sequence: 1}); got != Changed {
		t.Errorf("a later start under the same id: verdict %v, want changed", got)
	}
}

// Guards against the stop of an upstream that took the place of the known one and that was not known
// yet: a late announcement from before the stop would bring it back.
func TestStopOfNewerUpstreamIsNotForgotten(t *testing.T) {
	const now = 500
	for _, start := range []int64{101, 0} {
		var tr Tracker
		tr.Observe(Announcement{ID: "a", State: Ready, Slots: 4, StartUnixMillis: 100, Sequence: 5})
		tr.ObserveStop("b", start, now)
		tr.Observe(Announcement{ID: "b", State: Ready, Slots: 4, StartUnixMillis: 101, Sequence: 1})
		if got := tr.Current(); got.ID == "b" && got.State == Ready {
			t.Errorf("start %d in the stop: the upstream is used after it", start)
		}
	}
}

// Guards against a stored departure that is ignored, or that concerns more than its upstream.
func TestStoredDeparture(t *testing.T) {
	tests := []struct {
		desc string
		a    Announcement
		want Verdict
	}{
		{"the same start", Announcement{ID: "u", State: Ready, StartUnixMillis: 5, Sequence: 9}, Stale},
		{"an earlier start", Announcement{ID: "u", State: Ready, StartUnixMillis: 4}, Stale},
		{"an unknown start, from a health check", Announcement{ID: "u", State: Ready}, Stale},
		{"a later start", Announcement{ID: "u", State: Ready, StartUnixMillis: 6}, Changed},
		{"another upstream with a clock that is behind", Announcement{ID: "v", State: Ready, StartUnixMillis: 4}, Changed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var before, after Tracker
			before.ObserveDeparture("u", 5)
			if got := before.Observe(tt.a); got != tt.want {
				t.Errorf("verdict %d after the departure, want %d", got, tt.want)
			}
			after.Observe(tt.a)
			after.ObserveDeparture("u", 5)
			if gone := after.Current().State == Gone; gone != (tt.want == Stale) {
				t.Errorf("state %v after the departure was read", after.Current().State)
			}
		})
	}
}

package roster

import (
	"testing"
	"time"
)

func status(incarnation int64, sequence uint64, accepting bool) Status {
	return Status{Address: "10.0.0.1:7000", Incarnation: incarnation, Sequence: sequence, Phase: Serving, Upstream: Upstream{ID: "u", Accepting: accepting}}
}

func TestNewestStatusOfNewestIncarnationCounts(t *testing.T) {
	tests := []struct {
		desc      string
		next      Status
		want      Change
		accepting bool
	}{
		{"later status", status(5, 11, true), Refreshed, true},
		{"late datagram", status(5, 9, false), Ignored, true},
		{"late datagram of an earlier start", status(4, 99, false), Ignored, true},
		{"closed upstream", status(5, 11, false), StateChanged, false},
		{"restart", status(6, 1, true), Replaced, true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := New()
			if got := r.Observe(0, status(5, 10, true)); got != Joined {
				t.Fatalf("first status: change %v, want Joined", got)
			}
			if got := r.Observe(time.Second, tt.next); got != tt.want {
				t.Errorf("change %v, want %v", got, tt.want)
			}
			if got := r.Member(tt.next.Address).Status.Upstream.Accepting; got != tt.accepting {
				t.Errorf("accepting %v, want %v", got, tt.accepting)
			}
		})
	}
}

// A replacement at the same address must not inherit the measurements of the earlier VM.
func TestReplacementStartsWithoutHistory(t *testing.T) {
	r := New()
	s := status(5, 1, true)
	s.Upstream.SlowdownPercent = 400
	r.Observe(0, s)
	m := r.Member(s.Address)
	m.AvoidedUntil = time.Hour
	r.Observe(time.Second, status(6, 1, true))
	if m.AvoidedUntil != 0 || m.Slowdown.Known() {
		t.Errorf("avoided until %v, slowdown known %v; want no history", m.AvoidedUntil, m.Slowdown.Known())
	}
}

// The status that comes with a response is that of the upstream that responded. The
// node may have another upstream by now.
func TestUpdateUpstreamIgnoresAnotherUpstream(t *testing.T) {
	r := New()
	r.Observe(0, status(5, 1, true))
	r.UpdateUpstream(time.Second, "10.0.0.1:7000", Upstream{ID: "earlier", Running: 9})
	if got := r.Member("10.0.0.1:7000").Status.Upstream.Running; got != 0 {
		t.Errorf("running %d, want 0", got)
	}
	r.UpdateUpstream(time.Second, "10.0.0.1:7000", Upstream{ID: "u", Running: 3})
	if got := r.Member("10.0.0.1:7000").Status.Upstream.Running; got != 3 {
		t.Errorf("running %d, want 3", got)
	}
}

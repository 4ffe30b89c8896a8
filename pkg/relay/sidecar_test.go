package relay

import "testing"

// A node that starts beside a busy upstream counts what an earlier process left
// running there, and does not take its own later requests for it.
func TestRequestsOfAnEarlierProcessTakeSlots(t *testing.T) {
	s := newTestSidecar(startUpstream(t, nil), 10)
	for _, tt := range []struct {
		desc          string
		running, want int
	}{
		{"first load", 6, 6},
		{"some have ended", 2, 2},
		{"later loads hold the node's own requests", 5, 2},
		{"all have ended", 0, 0},
	} {
		s.Observe(UpstreamLoad{Running: tt.running, Slots: 10, Pace: 1})
		if got := s.Status().Running; got != tt.want {
			t.Errorf("%s: %d slots taken, want %d", tt.desc, got, tt.want)
		}
	}
}

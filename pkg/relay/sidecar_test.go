package relay

import "testing"

// A node that starts beside a busy upstream counts the requests that an earlier process
// left running there, but does not count its own later requests among them.
func TestRequestsOfAnEarlierProcessTakeSlots(t *testing.T) {
	s := newTestSidecar(startUpstream(t, nil), 10)
	for _, tt := range []struct {
		desc          string
		running, want int
	}{
		{"first load", 6, 6},
		{"some have ended", 2, 2},
		{"later loads include the node's own requests", 5, 2},
		{"all have ended", 0, 0},
	} {
		s.RecordLoad(UpstreamLoad{Running: tt.running, Slots: 10, Slowdown: 1})
		if got := s.UpstreamState().Running; got != tt.want {
			t.Errorf("%s: %d slots taken, want %d", tt.desc, got, tt.want)
		}
	}
}

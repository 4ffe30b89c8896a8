package relay

import (
	"net/http"
	"testing"
	"time"
)

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

// Guards against calls of other nodes that a stopping node accepts and cuts at its end.
func TestCallsBeyondTheEndOfTheStopAreRejected(t *testing.T) {
	for _, tt := range []struct {
		timeout time.Duration
		want    Kind
	}{{time.Second, Completed}, {3 * time.Second, Rejected}} {
		t.Run(tt.timeout.String(), func(t *testing.T) {
			u := startUpstream(t, nil)
			s := newTestSidecar(u, 10)
			s.StopAt(time.Now().Add(2 * time.Second))
			result := s.Run(t.Context(), &Call{
				ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Request-Id": {"1"}}, Service: "svc", Upstream: "u1", Timeout: tt.timeout,
			})
			if result.Kind != tt.want || (tt.want == Rejected && len(u.requests()) > 0) {
				t.Errorf("%s (%s), %d requests at the upstream, want %s", result.Kind, result.Reason, len(u.requests()), tt.want)
			}
		})
	}
}

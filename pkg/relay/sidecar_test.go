package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
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

// Guards against memory that grows with each caller who leaves while the call waits for a slot.
func TestCallsOfCallersWhoLeaveAreForgotten(t *testing.T) {
	const callers = 20
	release := make(chan struct{})
	u := startUpstream(t, func(c net.Conn, r *http.Request) {
		<-release
		writeOK(c, r, "")
	})
	s := newTestSidecar(u, 1)
	call := func(ctx context.Context) *Result {
		return s.Run(ctx, &Call{
			ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Request-Id": {"1"}}, Service: "svc", Upstream: "u1",
			Timeout: time.Minute, Target: time.Minute, TargetLeft: time.Minute,
		})
	}
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiting)
	}
	var calls sync.WaitGroup
	calls.Go(func() { call(t.Context()) })
	await.Eventually(t, "the first call runs", func() bool { return len(u.requests()) == 1 })
	for range callers {
		ctx, leave := context.WithCancel(t.Context())
		calls.Go(func() { call(ctx) })
		await.Eventually(t, "the call waits", func() bool { return waiting() == 1 })
		leave()
		await.Eventually(t, "the call is forgotten", func() bool { return waiting() == 0 })
	}
	close(release)
	calls.Wait()
	if n := len(u.requests()); n != 1 {
		t.Errorf("%d requests at the upstream, want 1", n)
	}
}

// Guards against a message that waited in its socket while the process stood still and that is taken
// for one that was sent after the departure.
func TestStandstillDoesNotAgeMessages(t *testing.T) {
	const slots = 4
	for _, running := range []bool{false, true} {
		s := NewSidecar(testNames, "svc", "127.0.0.1:1", event.Discard(), func() {}, func() {})
		s.SetMaxAnnouncementDelay(time.Second)
		ready := func(start, sequence int64) announce.Announcement {
			return announce.Announcement{ID: "u1", State: announce.Ready, Slots: slots, StartUnixMillis: start, Sequence: sequence}
		}
		s.start = time.Now().Add(-time.Minute)
		s.Tick()
		s.ApplyAnnouncement(ready(2, 1))
		s.ApplyStop("u1", 2)
		for range 6 {
			s.start = s.start.Add(-500 * time.Millisecond)
			if running {
				s.Tick()
			}
		}
		s.ApplyAnnouncement(ready(1, 9))
		if used := s.UpstreamState().Accepting; used != running {
			t.Errorf("process running %t: upstream in use %t", running, used)
		}
	}
}

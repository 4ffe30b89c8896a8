package relay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A probe has no id. A late response to a request must not be taken for its response, or
// the response to the probe would be left for the next request.
func TestProbeIgnoresResponsesToRequests(t *testing.T) {
	names := testNames
	names.ParseLoad = func(s string) (UpstreamLoad, bool) { return UpstreamLoad{Slots: 4, Slowdown: 1}, s != "" }
	var requests connCounter
	u := startUpstream(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path != "/health" {
			writeOK(c, r, "hello")
			return
		}
		if requests.next(c) == 1 {
			writeRaw(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
		}
		writeRaw(c, "HTTP/1.1 200 OK\r\nX-Load: 1\r\nX-Upstream: u1\r\nContent-Length: 0\r\n\r\n")
	})
	s := newTestSidecar(u, 4)
	s.names = names
	run := func(id string) *Result {
		return s.Run(context.Background(), &Call{Service: "svc", Method: http.MethodGet, URI: "/once/x", Host: "h", Header: http.Header{"X-Request-Id": {id}},
			Timeout: time.Second, Target: time.Second, TargetLeft: time.Second})
	}
	if r := run("r1"); r.Kind != Completed {
		t.Fatalf("kind %v, want Completed", r.Kind)
	}
	if err := s.Probe(context.Background(), "/health", "h"); err != nil {
		t.Fatal(err)
	}
	if got := s.SlowdownAge(); got == 0 {
		t.Error("the probe's own response was not read")
	}
	if r := run("r2"); r.Kind != Completed {
		t.Errorf("kind %v, want Completed", r.Kind)
	}
}

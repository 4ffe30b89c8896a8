package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
)

// Guards against a response that is delayed until the request body ends, and
// against a 100 Continue that is not forwarded.
func TestBidirectionalStreaming(t *testing.T) {
	u := newRawUpstream(t, func(_ *rawUpstream, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		body := bufio.NewReader(r.Body)
		for {
			line, err := body.ReadString('\n')
			if err != nil {
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			}
			_, _ = io.WriteString(c, "5\r\n"+line+"\r\n")
		}
	})
	server := serveSidecar(t, newSidecar(u.listener.Addr().String(), Config{}))
	for _, expect := range []string{"", "100-continue"} {
		reader, writer := io.Pipe()
		r := newRequest("POST", server.URL, reader)
		r.ContentLength = -1
		if expect != "" {
			r.Header.Set("Expect", expect)
		}
		resp, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		response := bufio.NewReader(resp.Body)
		for range 3 {
			_, _ = io.WriteString(writer, "ping\n")
			if line, err := response.ReadString('\n'); err != nil || line != "ping\n" {
				t.Fatalf("expect %q: line %q, %v", expect, line, err)
			}
		}
		_ = writer.Close()
		if rest, err := io.ReadAll(response); err != nil || len(rest) > 0 {
			t.Errorf("expect %q: rest %q, %v", expect, rest, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a failure of the upstream's connection that is reported only at the deadline,
// because the caller has not sent its whole body yet.
func TestFailedConnectionDoesNotWaitForBody(t *testing.T) {
	for _, expect := range []string{"", "100-continue"} {
		t.Run("expect "+expect, func(t *testing.T) {
			u := newRawUpstream(t, func(*rawUpstream, net.Conn, *http.Request) bool { return false })
			server := serveSidecar(t, newSidecar(u.listener.Addr().String(), Config{}))
			reader, writer := io.Pipe()
			defer writer.Close()
			r := newRequest("POST", server.URL, reader)
			r.ContentLength = -1
			r.Header.Set("Expect", expect)
			began := time.Now()
			resp, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			// The deadline of the request is 10 s.
			if took := time.Since(began); resp.StatusCode != http.StatusBadGateway || took > 5*time.Second {
				t.Errorf("status %d after %v, want 502 at once", resp.StatusCode, took)
			}
		})
	}
}

// Guards against a request that is sent on a connection which the upstream has closed while it
// was idle: its outcome would be unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	u := newRawUpstream(t, func(*rawUpstream, net.Conn, *http.Request) bool { return false })
	conn, err := net.Dial("tcp", u.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	await.Eventually(t, "the upstream has closed the connection", func() bool { return recvbuf.Check(conn) == recvbuf.Ended })
	for _, reused := range []bool{false, true} {
		g := &writeGate{cancel: func() {}, check: func() *outcome.Problem { return nil }}
		g.reused.Store(reused)
		err := g.allow(&gatedConn{Conn: conn})
		if sent := g.seal(); sent == reused || (err != nil) != reused {
			t.Errorf("reused %t: sent %t, error %v", reused, sent, err)
		}
	}
}

// Guards against a caller's connection that is closed because the upstream closes its own after
// a complete response.
func TestUpstreamCloseKeepsCallerConnection(t *testing.T) {
	u := newRawUpstream(t, respond("HTTP/1.1 200 OK\nContent-Length: 2\nConnection: close\n\nok", false))
	server := serveSidecar(t, newSidecar(u.listener.Addr().String(), Config{}))
	dials := 0
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	for i := range 50 {
		method := []string{"GET", "POST"}[i%2]
		var body io.Reader
		if method == "POST" {
			body = strings.NewReader("body")
		}
		resp, err := transport.RoundTrip(newRequest(method, server.URL, body))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "ok" {
			t.Errorf("request %d: %q, %v", i, b, err)
		}
		_ = resp.Body.Close()
	}
	if dials != 1 {
		t.Errorf("%d connections for 50 requests, want 1", dials)
	}
}

// Guards against an upstream restart that is not recognised as a crash, and
// against a failure response that is sent before Config.Execute can quarantine
// the request.
func TestNewIncarnationIsCrash(t *testing.T) {
	var s *Sidecar
	u := newRawUpstream(t, func(u *rawUpstream, _ net.Conn, _ *http.Request) bool {
		next := announcement(u.listener.Addr().String())
		next.Incarnation = "u2"
		s.Announce(next)
		return false
	})
	var crashed, responded bool
	s = newSidecar(u.listener.Addr().String(), Config{Execute: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(w, r)
			crashed, responded = Crashed(r.Context()), w.(*responseWriter).wroteHeader
		})
	}})
	resp := do(s, newRequest("GET", "http://x/", nil))
	if got := resp.Header.Get(outcome.HeaderReason); got != string(outcome.ReasonUpstreamCrashed) {
		t.Errorf("reason %q", got)
	}
	if !crashed || responded {
		t.Errorf("crashed %v, responded before the outer handler returned %v", crashed, responded)
	}
}

// Guards against a WaitIdle that returns with requests in flight or ignores its
// context, a no-wait request that is queued, and metrics that omit these requests.
func TestWaitIdleBusyAndMetrics(t *testing.T) {
	arrived, finish := make(chan struct{}, 2), make(chan struct{})
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *http.Request) bool {
		arrived <- struct{}{}
		<-finish
		return respond(okResponse, true)(u, c, r)
	})
	registry := metrics.NewRegistry()
	in := &intent.Intent{Ranks: []intent.Rank{{Name: "urgent", Worth: 1}}}
	s := newSidecar(u.listener.Addr().String(), Config{Registry: registry, Intent: func() *intent.Intent { return in }})
	done := make(chan int, 2)
	for range 2 {
		go func() { done <- do(s, newRequest("GET", "http://x/", nil)).StatusCode }()
	}
	<-arrived
	<-arrived
	r := newRequest("GET", "http://x/", nil)
	r.Header.Set(outcome.HeaderQueue, outcome.QueueNoWait)
	if resp := do(s, r); resp.Header.Get(outcome.HeaderReason) != string(outcome.ReasonBusy) || resp.Header.Get("Retry-After") == "" {
		t.Errorf("header %v, want busy with Retry-After", resp.Header)
	}
	s.SetDrain(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := s.WaitIdle(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("WaitIdle returned %v with requests in flight", err)
	}
	close(finish)
	if a, b := <-done, <-done; a != 200 || b != 200 {
		t.Errorf("status %d and %d of requests in flight during the drain", a, b)
	}
	if err := s.WaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
	busy := metrics.GetOrRegisterCounter("sidecar.refused.busy", registry).Count()
	served, ok := registry.Get("sidecar.service_time_us.urgent").(metrics.Histogram)
	if busy != 1 || !ok || served.Count() != 2 {
		t.Errorf("%d busy rejections; service times found: %v", busy, ok)
	}
}

// Guards against a deadline that ends the request for the caller but not at the upstream.
func TestDeadlineWhileRunning(t *testing.T) {
	u := newRawUpstream(t, func(_ *rawUpstream, c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	r := newRequest("POST", "http://x/", strings.NewReader("body"))
	r.Header.Set(outcome.HeaderTimeout, "30")
	resp := do(newSidecar(u.listener.Addr().String(), Config{}), r)
	if got := resp.Header.Get(outcome.HeaderOutcome); resp.StatusCode != 504 || got != string(outcome.Unknown) {
		t.Errorf("status %d, outcome %q", resp.StatusCode, got)
	}
}

// Guards against a rejection that loses its Retry-After delay or reports that the
// request may have run.
func TestRejectionProblem(t *testing.T) {
	p := rejectionProblem(&admission.Rejection{Reason: outcome.ReasonOverload, RetryAfter: time.Second})
	if p.Status != 503 || p.Outcome != outcome.NotRun || p.RetryAfter != time.Second {
		t.Errorf("problem %+v", p)
	}
}

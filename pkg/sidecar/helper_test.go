package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

const incarnation = "7"

// rawUpstream serves HTTP on plain TCP connections, so that tests can close them at any
// point.
type rawUpstream struct {
	listener net.Listener
	// requests counts the requests whose header was received.
	requests atomic.Int32
}

// newRawUpstream starts an upstream that calls serve for each request whose header
// was received. The connection is closed when serve returns false.
func newRawUpstream(t testing.TB, serve func(u *rawUpstream, c net.Conn, r *http.Request) bool) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.13.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serveConn(c, serve)
		}
	}()
	return u
}

func (u *rawUpstream) serveConn(c net.Conn, serve func(*rawUpstream, net.Conn, *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.requests.Add(1)
		if !serve(u, c, r) {
			return
		}
	}
}

// respond returns a serve function that sends a constant response.
func respond(response string, keepOpen bool) func(*rawUpstream, net.Conn, *http.Request) bool {
	return func(_ *rawUpstream, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "\n", "\r\n"))
		return keepOpen
	}
}

const okResponse = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"

func announcement(address string) Announcement {
	return Announcement{Service: "counter", Address: address, Slots: 2, Incarnation: "u1", State: StateReady}
}

// newSidecar returns a sidecar with a valid lease for the upstream at the address.
func newSidecar(address string, cfg Config) *Sidecar {
	cfg.Incarnation = 7
	s := New(cfg, event.Discard())
	renew(s, announcement(address))
	return s
}

// renew announces twice, echoing the nonce, so that the announcement takes effect.
func renew(s *Sidecar, a Announcement) {
	a.Nonce = s.Announce(a).Nonce
	s.Announce(a)
}

func serveSidecar(t testing.TB, s http.Handler) *httptest.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.13.2:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(s)
	_ = server.Listener.Close()
	server.Listener = l
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func newRequest(method, url string, body io.Reader) *http.Request {
	r := httptest.NewRequest(method, url, body)
	r.RequestURI = ""
	r.Header.Set(outcome.HeaderRank, "urgent")
	r.Header.Set(outcome.HeaderTargetIncarnation, incarnation)
	return r
}

// do serves one request without a network connection to the caller.
func do(s http.Handler, r *http.Request) *http.Response {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Result()
}

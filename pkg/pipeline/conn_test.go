package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
)

type connKey struct{}

func connOf(r *http.Request) *Conn { return r.Context().Value(connKey{}).(*Conn) }

// serve starts a server whose connections start requests ahead.
func serve(t *testing.T, start Starter, budget *bodybuf.Budget, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	return serveWithin(t, writeTimeout, start, budget, h)
}

// serveWithin is serve with a time limit for writes.
func serveWithin(t *testing.T, writeTimeout time.Duration, start Starter, budget *bodybuf.Budget, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(h)
	listener := NewListener(server.Listener, start, budget)
	listener.linger, listener.writeTimeout = time.Minute, writeTimeout
	server.Listener = listener
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func dial(t *testing.T, server *httptest.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// startedRequest counts how often it is taken and cancelled.
type startedRequest struct {
	uri              string
	taken, cancelled atomic.Int64
}

func (s *startedRequest) Cancel() { s.cancelled.Add(1) }

// starter remembers the requests that were started. Those whose URI has "wait" have to wait for their turn.
type starter struct {
	mu      sync.Mutex
	started []*startedRequest
}

func (s *starter) start(r *http.Request) Started {
	if strings.Contains(r.RequestURI, "wait") {
		return nil
	}
	one := &startedRequest{uri: r.RequestURI}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, one)
	return one
}

func (s *starter) all() []*startedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*startedRequest(nil), s.started...)
}

// randomRequest returns a request on the wire and what the server has to get of it.
func randomRequest(r *rand.Rand, number int) (wire, want string) {
	uri := fmt.Sprintf("/%d", number)
	fields := "Host: h\r\nX-Fill: " + strings.Repeat("f", r.IntN(200)) + "\r\n"
	body := strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", r.IntN(100))
	switch r.IntN(20) {
	case 0:
		return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", uri, fields, len(body), body), "POST " + uri + " " + body
	case 1:
		return fmt.Sprintf("PUT %s HTTP/1.1\r\n%scontent-length:%d \r\n\r\n%s", uri, fields, len(body), body), "PUT " + uri + " " + body
	case 2:
		fields += "X-Long: " + strings.Repeat("l", r.IntN(20<<10)) + "\r\n"
	case 3:
		fields += "Connection: keep-alive\r\nContent-Length: 0\r\n"
	case 4:
		if r.IntN(4) == 0 {
			fields += "X-Folded: a\r\n b\r\n"
		}
	case 5:
		fields = strings.ReplaceAll(fields, "\r\n", "\n")
	case 6:
		uri += "wait"
	case 7:
		if r.IntN(4) == 0 {
			return fmt.Sprintf("POST %s HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\nx%s\r\n0\r\n\r\n", uri, fields, len(body)+1, body), "POST " + uri + " x" + body
		}
	}
	return fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", uri, fields), "GET " + uri + " "
}

// Guards against bytes that are lost, repeated or out of order, against bodies that are taken for
// requests, and against a started request that is given to another one, to none or twice, however
// the bytes are split.
func TestServerGetsTheRequestsThatWereSent(t *testing.T) {
	started := 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		var wire strings.Builder
		var want, got []string
		var ends []int
		for i := range 20 {
			bytes, one := randomRequest(r, i)
			wire.WriteString(bytes)
			want, ends = append(want, one), append(ends, wire.Len())
		}
		st := &starter{}
		budget := bodybuf.NewBudget(int64(r.IntN(2) * 20 << 10))
		server := serve(t, st.start, budget, func(w http.ResponseWriter, r *http.Request) {
			conn := connOf(r)
			if s, ok := conn.Take(r).(*startedRequest); ok {
				s.taken.Add(1)
				if s.uri != r.RequestURI {
					t.Errorf("seed %d: result of %s for %s", seed, s.uri, r.RequestURI)
				}
			}
			conn.Permit()
			for wait := 0; conn.Pending() < 2 && wait < 3; wait++ {
				time.Sleep(100 * time.Microsecond)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			got = append(got, r.Method+" "+r.RequestURI+" "+string(body))
		})
		conn := dial(t, server)
		// A server that misses bytes waits for them.
		if err := conn.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
			t.Fatal(err)
		}
		go func() {
			all := wire.String()
			for at := 0; at < len(all); {
				next, _ := slices.BinarySearch(ends, at+1)
				to := ends[next]
				switch r.IntN(10) {
				case 0:
					to = at + 1 + r.IntN(len(all)-at)
				case 1, 2, 3, 4, 5:
					to = min(len(all), at+1+r.IntN(700))
				}
				if _, err := io.WriteString(conn, all[at:to]); err != nil {
					return
				}
				at = to
				if r.IntN(2) == 0 {
					// The server may have answered all requests so far, or be busy with the last one.
					time.Sleep(time.Duration(r.IntN(6)) * time.Millisecond)
				}
			}
		}()
		responses := bufio.NewReader(conn)
		for i := range want {
			resp, err := http.ReadResponse(responses, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("seed %d, response %d: %v, %v", seed, i, resp, err)
			}
		}
		_ = conn.Close()
		server.Close()
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("seed %d: the server got other requests than were sent", seed)
		}
		for _, s := range st.all() {
			if n := s.taken.Load(); n != 1 || s.cancelled.Load() != 0 {
				t.Errorf("seed %d: %s was started and taken %d times", seed, s.uri, n)
			}
		}
		started += len(st.all())
		await.Eventually(t, "the budget is free", func() bool { return budget.Used() == 0 })
	}
	if started == 0 {
		t.Error("no request was started ahead")
	}
}

const pipelined = "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against requests that run on for a caller that has left, because bytes of further requests
// hide the end of the connection.
func TestCloseOfTheCallerEndsStartedRequests(t *testing.T) {
	tests := map[string]struct {
		behind  string
		started int
	}{
		"nothing behind":               {"", 0},
		"one behind":                   {fmt.Sprintf(pipelined, 1), 1},
		"more than may start":          {strings.Repeat(fmt.Sprintf(pipelined, 1), 3*MaxAhead), MaxAhead},
		"more than is held":            {strings.Repeat(fmt.Sprintf(pipelined, 1), 4000), MaxAhead},
		"a body behind":                {fmt.Sprintf(pipelined, 1) + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123", 1},
		"a head without end":           {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10), 0},
		"a request that has to wait":   {"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + fmt.Sprintf(pipelined, 1), 0},
		"a request that ends the rest": {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + fmt.Sprintf(pipelined, 1), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			st := &starter{}
			var left atomic.Bool
			var behind atomic.Int64
			server := serve(t, st.start, bodybuf.NewBudget(1<<20), func(_ http.ResponseWriter, r *http.Request) {
				if r.RequestURI != "/0" {
					behind.Add(1)
					return
				}
				connOf(r).Permit()
				<-r.Context().Done()
				left.Store(true)
			})
			// A handler that waits for a caller that has left must not keep the test.
			t.Cleanup(server.CloseClientConnections)
			conn := dial(t, server)
			if _, err := fmt.Fprintf(conn, pipelined+"%s", 0, test.behind); err != nil {
				t.Fatal(err)
			}
			await.Eventually(t, "requests are started", func() bool { return len(st.all()) == test.started })
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			await.Eventually(t, "the request being served is cancelled", left.Load)
			for _, s := range st.all() {
				await.Eventually(t, "the request is cancelled", func() bool { return s.cancelled.Load() == 1 })
			}
			server.Close()
			if n := behind.Load(); n > 0 {
				t.Errorf("%d requests behind it are served although the caller has left", n)
			}
		})
	}
}

// Guards against the result of one request for another, if the server reads the bytes in another way.
func TestStartedRequestIsOnlyTakenByTheSameRequest(t *testing.T) {
	change := map[string]func(*http.Request){
		"method":       func(r *http.Request) { r.Method = http.MethodHead },
		"request line": func(r *http.Request) { r.RequestURI += "?" },
		"host":         func(r *http.Request) { r.Host = "other" },
		"value":        func(r *http.Request) { r.Header.Set("X-Request-Id", "2") },
		"field":        func(r *http.Request) { r.Header.Set("Authorization", "Token k") },
	}
	for name, apply := range change {
		t.Run(name, func(t *testing.T) {
			st := &starter{}
			server := serve(t, st.start, nil, func(_ http.ResponseWriter, r *http.Request) {
				conn := connOf(r)
				if r.RequestURI == "/0" {
					conn.Permit()
					await.Eventually(t, "requests are started", func() bool { return conn.Pending() == 2 })
					return
				}
				apply(r)
				if conn.Take(r) != nil {
					t.Error("the result of another request was taken")
				}
			})
			conn := dial(t, server)
			if _, err := fmt.Fprintf(conn, pipelined+strings.Repeat("GET /1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n", 2), 0); err != nil {
				t.Fatal(err)
			}
			responses := bufio.NewReader(conn)
			for range 3 {
				if _, err := http.ReadResponse(responses, nil); err != nil {
					t.Fatal(err)
				}
			}
			for _, s := range st.all() {
				if s.cancelled.Load() != 1 {
					t.Errorf("cancelled %d times", s.cancelled.Load())
				}
			}
		})
	}
}

// Guards against an idle limit that closes a connection whose next request was read ahead.
func TestHeldBytesCountAsUnread(t *testing.T) {
	st := &starter{}
	checked := make(chan recvbuf.State, 2)
	server := serve(t, st.start, nil, func(_ http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if r.RequestURI == "/0" {
			await.Eventually(t, "the second request is read", func() bool { return conn.Held() > 0 })
		}
		checked <- recvbuf.Check(conn)
	})
	conn := dial(t, server)
	if _, err := fmt.Fprintf(conn, pipelined+pipelined, 0, 1); err != nil {
		t.Fatal(err)
	}
	if first, second := <-checked, <-checked; first != recvbuf.Readable || second != recvbuf.Empty {
		t.Errorf("states %d and %d, want %d and %d", first, second, recvbuf.Readable, recvbuf.Empty)
	}
}

// Guards against a response that is lost because the connection is reset by requests behind it, which the
// server does not serve any more.
func TestLastResponseSurvivesUnservedRequests(t *testing.T) {
	server := serve(t, (&starter{}).start, nil, func(w http.ResponseWriter, r *http.Request) {
		await.Eventually(t, "the second request is read", func() bool { return connOf(r).Held() > 0 })
		w.Header().Set("Connection", "close")
	})
	conn := dial(t, server)
	if _, err := fmt.Fprintf(conn, pipelined+pipelined, 0, 1); err != nil {
		t.Fatal(err)
	}
	ended := make([]byte, 1)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !resp.Close {
		t.Fatalf("%v, %v; want a response that closes the connection", resp, err)
	}
	// Without the wait, the second write fails with the reset that the first one causes.
	for range 2 {
		if _, err := fmt.Fprintf(conn, pipelined, 2); err != nil {
			t.Errorf("request behind the last response: %v", err)
		}
		if _, err := conn.Read(ended); err != io.EOF {
			t.Errorf("read after the last response: %v, want EOF", err)
		}
	}
}

// BenchmarkRequests compares the time of a request without others behind it, with and without this package.
func BenchmarkRequests(b *testing.B) {
	for _, wrapped := range []bool{false, true} {
		b.Run(fmt.Sprintf("wrapped %t", wrapped), func(b *testing.B) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			if wrapped {
				server.Listener = NewListener(server.Listener, nil, nil)
			}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			head := fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n", strings.Repeat("f", 300))
			response := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, head); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

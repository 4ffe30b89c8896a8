package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

// wrapper stands for another wrapper around the connections.
type wrapper struct{ *Conn }

func (w wrapper) NetConn() net.Conn { return w.Conn }

// startServer serves a handler behind a Listener. If wrapped is set, the server gets wrappers.
func startServer(t *testing.T, limits Limits, limiter *Limiter, wrapped bool, h http.HandlerFunc) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, limiter, limits)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: h, ConnState: TrackState, Protocols: protocols}
	var serve net.Listener = l
	if wrapped {
		serve = wrappingListener{l}
	}
	go func() { _ = server.Serve(serve) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

type wrappingListener struct{ *Listener }

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrapper{c.(*Conn)}, nil
}

func dial(t *testing.T, l *Listener, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status returns the status of the response on the connection, or 0 if it was closed.
func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n"

func fixed(n int64) func() int64 { return func() int64 { return n } }

// Guards against headers that are refused within the limits or kept beyond them, over several
// requests on one connection and below another wrapper, and against refusals without a response.
func TestHeadersAreLimited(t *testing.T) {
	field := "X-A: " + strings.Repeat("x", 1000) + "\r\n"
	for _, wrapped := range []bool{false, true} {
		limiter := NewLimiter(40 << 10)
		l := startServer(t, Limits{Connections: 10, HeaderBytes: fixed(30 << 10)}, limiter, wrapped, func(http.ResponseWriter, *http.Request) {})
		conn := dial(t, l, "")
		for range 5 {
			if _, err := io.WriteString(conn, request+strings.Repeat(field, 20)+"\r\n"); err != nil {
				t.Fatal(err)
			}
			if got := status(conn); got != http.StatusOK {
				t.Fatalf("status %d for a header within the limit", got)
			}
		}
		held := dial(t, l, request+strings.Repeat(field, 25))
		await.Eventually(t, "the header counts", func() bool { return limiter.Used() > 20<<10 })
		if got := status(dial(t, l, request+strings.Repeat(field, 40))); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d for a header beyond the limit", got)
		}
		// Another header needs the memory of the one that is held open.
		if got := status(dial(t, l, request+strings.Repeat(field, 28)+"\r\n")); got != http.StatusOK {
			t.Errorf("status %d for a header beside one that is held open", got)
		}
		if got := status(held); got != 0 {
			t.Errorf("status %d for a header that was held open", got)
		}
		await.Eventually(t, "nothing counts any longer", func() bool { return limiter.Used() == 0 })
	}
}

// Guards against a request in progress that is aborted for a new connection, and against a new
// connection that is turned away while another one waits.
func TestConnectionsAreLimited(t *testing.T) {
	release := make(chan struct{})
	l := startServer(t, Limits{Connections: 3, HeaderBytes: fixed(30 << 10)}, NewLimiter(1<<20), false, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			<-release
		}
	})
	running := dial(t, l, request+"\r\n")
	waiting := dial(t, l, "")
	idle := dial(t, l, strings.Replace(request, "/ ", "/x ", 1)+"\r\n")
	if got := status(idle); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	await.Eventually(t, "all connections are open", func() bool { return l.Open() == 3 })
	for range 5 {
		if got := status(dial(t, l, strings.Replace(request, "/ ", "/x ", 1)+"\r\n")); got != http.StatusOK {
			t.Errorf("status %d for a new connection", got)
		}
	}
	if got := status(waiting); got != 0 {
		t.Errorf("status %d for a connection without a request", got)
	}
	close(release)
	if got := status(running); got != http.StatusOK {
		t.Errorf("status %d for a request in progress", got)
	}
	if n := l.Refused(TooMany); n == 0 || l.Open() > 3+maxClosing {
		t.Errorf("%d connections refused, %d open", n, l.Open())
	}
}

// Guards against wrappers that hide the socket from recvbuf and the server.
func TestConnectionKeepsItsMethods(t *testing.T) {
	var conn net.Conn = &Conn{TCPConn: &net.TCPConn{}}
	if _, ok := conn.(interface {
		syscall.Conn
		CloseWrite() error
		SetLinger(int) error
	}); !ok {
		t.Error("connection lacks methods of a TCPConn")
	}
}

// Guards against counting what HTTP/2 sends as a header, and against streams that keep a connection
// open whose other side resets all of them.
func TestHTTP2IsNotCountedAsHeader(t *testing.T) {
	limiter := NewLimiter(10 << 10)
	l := startServer(t, Limits{Connections: 10, HeaderBytes: fixed(8 << 10), StreamsPerSecond: 1e6}, limiter, false, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	for range 20 {
		resp, err := (&http.Client{Transport: transport}).Post("http://"+l.Addr().String(), "", strings.NewReader(strings.Repeat("x", 10<<10)))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	if n := l.Refused(HeaderTooLong); n != 0 || limiter.Used() != 0 {
		t.Errorf("%d connections refused, %d bytes count", n, limiter.Used())
	}
	conn := dial(t, l, http2Preface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00")
	// Each stream is a GET of / that is not ended, and its reset.
	for stream := range byte(resetBurst + 5) {
		if _, err := fmt.Fprintf(conn, "\x00\x00\x03\x01\x04\x00\x00\x00%c\x82\x86\x84\x00\x00\x04\x03\x00\x00\x00\x00%c\x00\x00\x00\x08", 1+2*stream, 1+2*stream); err != nil {
			break
		}
	}
	await.Eventually(t, "the connection is refused", func() bool { return l.Refused(StreamResets) == 1 })
}

// Guards against connections whose requests could give way and that keep all others out, and against more
// connections than the server can close.
func TestRequestsGiveWayToConnections(t *testing.T) {
	const limit = 3
	release := make(chan struct{})
	defer close(release)
	var stalled atomic.Bool
	var running atomic.Int64
	l := startServer(t, Limits{Connections: limit, HeaderBytes: fixed(30 << 10), Reclaim: stalled.Load}, NewLimiter(1<<20), false, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			running.Add(1)
			<-release
		}
	})
	for range limit {
		dial(t, l, request+"\r\n")
	}
	await.Eventually(t, "all connections have requests", func() bool { return running.Load() == limit })
	if got := status(dial(t, l, strings.Replace(request, "/ ", "/x ", 1)+"\r\n")); got != 0 {
		t.Errorf("status %d for a connection without a place", got)
	}
	stalled.Store(true)
	if got := status(dial(t, l, strings.Replace(request, "/ ", "/x ", 1)+"\r\n")); got != http.StatusOK {
		t.Errorf("status %d for a connection for which a request gives way", got)
	}
	for range 2 * maxClosing {
		dial(t, l, request+"\r\n")
	}
	await.Eventually(t, "the limit is reached", func() bool { return l.Refused(TooMany) > 1 })
	if n := l.Open(); n > limit+maxClosing {
		t.Errorf("%d open connections, limit %d", n, limit)
	}
}

package mesh

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// serveWithLimits starts a server with the limits and returns its address.
func serveWithLimits(t *testing.T, idle, header time.Duration) (*callerConnections, string) {
	t.Helper()
	table, err := route.NewTable(1, route.Limits{IdleTimeout: idle, HeaderTimeout: header}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := newCallerConnections(func() *route.Table { return table })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState, server.Config.ConnContext = c.trackState, c.connContext
	server.Start()
	t.Cleanup(server.Close)
	return c, server.Listener.Addr().String()
}

func request(t *testing.T, conn net.Conn) error {
	t.Helper()
	if err := writeRequest(conn); err != nil {
		return err
	}
	return readResponse(conn)
}

func writeRequest(conn net.Conn) error {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	return err
}

func readResponse(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Callers reuse connections that were idle for most of the limit. Operators may set the
// limit higher or lower than any fixed one.
func TestIdleConnectionsCloseAfterConfiguredTimeout(t *testing.T) {
	const idle = 2 * time.Second
	c, address := serveWithLimits(t, idle, 500*time.Millisecond)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for range 3 {
		if err := request(t, conn); err != nil {
			t.Fatalf("a connection that was idle for four fifths of the limit: %v", err)
		}
		time.Sleep(idle * 4 / 5)
	}
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
	await.Eventually(t, "the connection is removed", func() bool { return c.count() == 0 })
}

// A caller that never completes a header must not keep a connection open.
func TestIncompleteHeadersCloseTheConnection(t *testing.T) {
	_, address := serveWithLimits(t, 200*time.Millisecond, 100*time.Millisecond)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost:"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the connection stays open: %v", err)
	}
}

// heldConn delays the delivery of the bytes that a read returns until the connection is
// closed or its read deadline passes, once hold is set.
type heldConn struct {
	*net.TCPConn
	hold    *atomic.Bool
	expired chan struct{}
	once    sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.hold.Load() {
		<-c.expired
	}
	return n, err
}

func (c *heldConn) Close() error {
	c.once.Do(func() { close(c.expired) })
	return c.TCPConn.Close()
}

func (c *heldConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && time.Now().After(at) && c.hold.Load() {
		c.once.Do(func() { close(c.expired) })
	}
	return c.TCPConn.SetReadDeadline(at)
}

type heldListener struct {
	net.Listener
	hold *atomic.Bool
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), hold: l.hold, expired: make(chan struct{})}, nil
}

// Guards against closing a connection whose request has been read when the idle limit ends:
// the request is processed, but its response is lost.
func TestIdleLimitDoesNotCloseConnectionWithRequest(t *testing.T) {
	table, err := route.NewTable(1, route.Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := newCallerConnections(func() *route.Table { return table })
	var hold atomic.Bool
	var handled atomic.Int64
	sent := make(chan struct{})
	endSent := sync.OnceFunc(func() { close(sent) })
	defer endSent()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	server.Listener = heldListener{server.Listener, &hold}
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			// Before this state, net/http waits for the read that it keeps open during a
			// handler. Holding that read would block the server forever.
			hold.Store(true)
			<-sent
		}
		c.trackState(conn, state)
	}
	server.Config.ConnContext = c.connContext
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := request(t, conn); err != nil {
		t.Fatal(err)
	}
	if err := writeRequest(conn); err != nil {
		t.Fatal(err)
	}
	endSent()
	if err := readResponse(conn); err != nil {
		t.Errorf("%d requests handled, second response: %v", handled.Load(), err)
	}
}

// lateConn delays its reads until the gate opens, like a server that is not scheduled.
type lateConn struct {
	*net.TCPConn
	late *atomic.Bool
	gate chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.late.Load() {
		<-c.gate
	}
	return c.TCPConn.Read(p)
}

type lateListener struct {
	net.Listener
	late *atomic.Bool
	gate chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{c.(*net.TCPConn), l.late, l.gate}, nil
}

// Guards against ending a connection with a request that the server has not read yet, because
// its goroutine runs late.
func TestIdleLimitKeepsConnectionWithUnreadRequest(t *testing.T) {
	const limit = 100 * time.Millisecond
	table, err := route.NewTable(1, route.Limits{IdleTimeout: limit / 2, HeaderTimeout: limit / 2}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := newCallerConnections(func() *route.Table { return table })
	var late atomic.Bool
	gate := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = lateListener{server.Listener, &late, gate}
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		c.trackState(conn, state)
		if state == http.StateIdle {
			late.Store(true)
		}
	}
	server.Config.ConnContext = c.connContext
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := request(t, conn); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(3*limit, func() { close(gate) })
	if err := request(t, conn); err != nil {
		t.Errorf("request that was read late: %v", err)
	}
}

// Guards against a stop that drops a request because the server reads it after the stop has
// begun to close connections.
func TestStopAnswersRequestsOnAcceptedConnections(t *testing.T) {
	requestDuringStop(t, time.Now().Add(time.Minute))
}

// Guards against a stop that closes connections with requests at once because the process
// stood still until the deadline.
func TestStopAnswersRequestsAfterStall(t *testing.T) {
	requestDuringStop(t, time.Now())
}

// requestDuringStop sends a request on an accepted connection once the listener is closed.
func requestDuringStop(t *testing.T, deadline time.Time) {
	t.Helper()
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: newMemoryStore()})
	a.connections.firstRequestChecks = math.MaxInt
	conn, err := net.Dial("tcp", a.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	await.Eventually(t, "the connection is accepted", func() bool { return a.connections.count() == 1 })
	go a.closeServers(deadline)
	await.Eventually(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", a.settings.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if err := request(t, conn); err != nil {
		t.Errorf("request on a connection accepted before the stop: %v", err)
	}
}

// Guards against a stop that passes on requests which it cuts a moment later, because the
// process stood still until the deadline.
func TestStopPassesOnNoRequestAfterDeadline(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	// The deadline is earlier than the end of the time in which requests are still served.
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "the upstream is used", func() bool { return a.respondsWith("/a/", "a") })
	a.connections.firstRequestChecks = math.MaxInt
	conn, err := net.Dial("tcp", a.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go a.stop()
	await.Eventually(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", a.settings.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

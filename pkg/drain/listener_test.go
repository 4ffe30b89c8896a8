package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a Close that resets connections which are established but not yet
// accepted, so that the requests on them are lost.
func TestCloseServesQueuedConnections(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const queued = 20
	var conns []net.Conn
	for range queued {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	l := NewListener(tcp.(*net.TCPListener))
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = l.Close() }()
	for !l.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	if err := srv.Serve(l); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve returned %v, want net.ErrClosed", err)
	}
	for i, c := range conns {
		if response, err := io.ReadAll(c); err != nil || len(response) == 0 {
			t.Errorf("connection %d: read %d bytes, error %v", i, len(response), err)
		}
	}
}

// Guards against a closing listener that takes an expired deadline for an empty queue and
// resets the connections in it, as when the accepting goroutine runs late.
func TestCloseServesQueuedConnectionsAfterDeadline(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
	const queued = 100
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = l.Close()
	}()
	for !l.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	stopExpiring := make(chan struct{})
	expiring := make(chan struct{})
	go func() {
		defer close(expiring)
		for {
			select {
			case <-stopExpiring:
				return
			default:
				_ = l.SetDeadline(time.Unix(1, 0))
			}
		}
	}()
	accepted := 0
	for {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept returned %v, want net.ErrClosed", err)
			}
			break
		}
		defer c.Close()
		accepted++
	}
	close(stopExpiring)
	<-expiring
	<-closed
	if accepted != queued {
		t.Errorf("%d of %d queued connections accepted", accepted, queued)
	}
}

// Guards against a listener that resets its queue because the accepting goroutine runs late.
func TestCloseServesQueuedConnectionsOfLateGoroutine(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = l.Close()
	}()
	time.Sleep(200 * time.Millisecond)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatalf("the queued connection was not accepted: %v", err)
	}
	defer accepted.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept returned %v, want net.ErrClosed", err)
	}
	<-closed
}

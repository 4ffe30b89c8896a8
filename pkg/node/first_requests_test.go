package node

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"testing"
)

// Guards against a stop that drops a request because the server reads it after the stop has
// begun.
func TestStopServesFirstRequestOfAcceptedConnection(t *testing.T) {
	_, logURL := newLog(t)
	n := newNode(t, "katalog-1", logURL)
	address := freeAddress(t)
	s, err := n.listen(address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	if err != nil {
		t.Fatal(err)
	}
	s.firstRequests.checks = math.MaxInt
	n.draining.Store(true)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	waitFor(t, "the connection is accepted", func() bool { all, _ := s.firstRequests.count(); return all == 1 })
	stopped := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	go func() { stopped <- s.stop(ctx) }()
	waitFor(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("request on a connection accepted before the stop: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	_ = conn.Close()
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	n.wg.Wait()
}

package crowd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

const (
	// crowdSize is the number of connections that are kept open at a listener.
	crowdSize = 800
	// crowdTime is how long the crowd stays.
	crowdTime = 2 * time.Second
	// reopenPause is the time after which a connection that was closed is opened again.
	reopenPause = 500 * time.Millisecond
	// heldHeaderBytes is the length of headers that are held open, below the limit of net/http
	// for callers (128 KB).
	heldHeaderBytes = 96 << 10
)

// member writes what one member of a crowd sends on its connection. It returns when the connection
// fails, or when all is sent and the connection is to be held open.
type member func(conn net.Conn) error

const (
	start   = "GET /safe/x HTTP/1.1\r\nHost: beta\r\n"
	chunked = "POST /safe/x HTTP/1.1\r\nHost: beta\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// once sends the text and holds the connection open.
func once(text string) member {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// endless sends the beginning and repeats the part without end.
func endless(beginning, part string) member {
	block := []byte(strings.Repeat(part, 1+(4<<10)/len(part)))
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, beginning)
		for err == nil {
			_, err = conn.Write(block)
		}
		return err
	}
}

// http1Crowds are the crowds that speak HTTP/1, or nothing.
var http1Crowds = []struct {
	desc string
	send member
}{
	{"headers held open", once(start + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", heldHeaderBytes/1007))},
	{"short fields held open", once(start + strings.Repeat("a: b\r\n", heldHeaderBytes/6))},
	{"header lines without end", endless(start, "a: b\r\n")},
	{"one line without end", endless(start+"X-A: ", "x")},
	{"empty lines without end", endless("", "\r\n")},
	{"method without end", endless("", "G")},
	{"target without end", endless("GET /safe/", "x")},
	{"chunk extension without end", endless(chunked+"5;", "x")},
	{"chunks with extensions without end", endless(chunked, "1;"+strings.Repeat("x", 1000)+"\r\nx\r\n")},
	{"trailers without end", endless(chunked+"0\r\n", "X-A: x\r\n")},
	{"connections that only open", once("")},
}

// attend keeps a connection of the crowd open until the context ends.
func attend(ctx context.Context, address string, send member) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if send(conn) == nil {
				// The other side closes the connection, or the context does.
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

// hold keeps a crowd of the size at the address for a time.
func hold(t *testing.T, address string, size int, duration time.Duration, send member) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var wg sync.WaitGroup
	for range size {
		wg.Go(func() { attend(ctx, address, send) })
	}
	wg.Wait()
}

// gather holds a crowd at the address for crowdTime. Meanwhile and afterwards, the processes must live
// within their limits; afterwards, ordinary requests must be served.
func gather(t *testing.T, alpha, beta *node, address string, send member) {
	t.Helper()
	hold(t, address, crowdSize, crowdTime, send)
	checkAfterCrowd(t, alpha, beta)
}

// checkAfterCrowd checks that both processes live within their limits and serve ordinary requests.
func checkAfterCrowd(t *testing.T, alpha, beta *node) {
	t.Helper()
	for _, n := range []*node{alpha, beta} {
		n.check(t)
	}
	refused := 0
	var lastErr error
	await.Eventually(t, "ordinary requests are served afterwards", func() bool {
		err := errors.Join(alpha.request("beta"), beta.request("alpha"))
		if err != nil {
			refused, lastErr = refused+1, err
		}
		return err == nil
	})
	if refused > 0 {
		t.Logf("served after %d refused attempts, the last one: %v", refused, lastErr)
	}
}

// Guards against callers outside the limits that fill the memory or take the descriptors of a
// process, or leave it unable to serve others.
func TestCrowdsAtTheListenerForCallers(t *testing.T) {
	for _, c := range http1Crowds {
		t.Run(c.desc, func(t *testing.T) {
			alpha, beta := startFleet(t)
			gather(t, alpha, beta, alpha.callers, c.send)
		})
	}
}

// Guards against the same at the listener for other nodes, over HTTP/1 and HTTP/2.
func TestCrowdsAtTheListenerForNodes(t *testing.T) {
	for _, c := range append(http1Crowds[:len(http1Crowds):len(http1Crowds)], http2Crowds...) {
		t.Run(c.desc, func(t *testing.T) {
			alpha, beta := startFleet(t)
			gather(t, alpha, beta, alpha.peer, c.send)
		})
	}
}

// Guards against the same at the small listeners, whose connections count as well.
func TestCrowdsAtTheSmallListeners(t *testing.T) {
	for _, c := range []int{0, len(http1Crowds) - 1} {
		for i, name := range []string{"ready", "announce", "metrics"} {
			t.Run(fmt.Sprintf("%s, %s", name, http1Crowds[c].desc), func(t *testing.T) {
				alpha, beta := startFleet(t)
				gather(t, alpha, beta, []string{alpha.ready, alpha.announce, alpha.metric}[i], http1Crowds[c].send)
			})
		}
	}
}

package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// continueTimeout is longer than the timeout of any request. A body that can't be
	// repeated is thus never sent before the sidecar has admitted the request.
	continueTimeout     = 10 * time.Minute
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
)

// NewTransport returns the transport for requests to sidecars. Its connections count
// writes, which can prove that no byte of a request was sent.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// maxResponseHeaderBytes bounds the header of a sidecar's response.
const maxResponseHeaderBytes = 64 << 10

// errWritesBlocked is returned by writes after blockWrites.
var errWritesBlocked = errors.New("ingress: write to a connection whose writes are blocked")

// countingConn counts the writes that have begun and can block further ones.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	writes  uint64
	blocked bool
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) writesBegun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites blocks further writes if none has begun since writesBefore was read, and
// reports whether it did.
func (c *countingConn) blockWrites(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.blocked = true
	return true
}

// writeTracker records the connection on which a request is sent and how many writes
// had begun on it before.
type writeTracker struct {
	mu sync.Mutex
	// blocked blocks the writes of a connection that is assigned later.
	blocked      bool
	conn         net.Conn
	writesBefore uint64
}

// trace returns a context in which the transport reports the connection it selects.
func (t *writeTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conn = info.Conn
		c, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		t.writesBefore = c.writesBegun()
		if t.blocked {
			c.blockWrites(t.writesBefore)
		}
	}})
}

// nothingSent reports, after a failed round trip, whether no byte of the request was
// sent. If so, it also blocks later writes.
func (t *writeTracker) nothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = true
	if t.conn == nil {
		return true
	}
	c, ok := t.conn.(*countingConn)
	return ok && c.blockWrites(t.writesBefore)
}

// setIdempotencyKey sets the Idempotency-Key under a map key that is not canonical.
// If the canonical key is set, http.Transport may resend the request on a new
// connection. On the wire, header names are case-insensitive.
func setIdempotencyKey(h http.Header, values []string) {
	h["idempotency-key"] = values
}

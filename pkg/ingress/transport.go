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
	// continueTimeout is longer than any request, so that a body that can't be
	// repeated is not sent before the sidecar has admitted the request.
	continueTimeout = 10 * time.Minute
	idlePerHost     = 64
	idleTimeout     = 90 * time.Second
)

// NewTransport returns the transport for requests to sidecars. Its connections
// can prove that nothing of a request was sent.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &provingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// maxAnswerHeaderBytes bounds the header of an answer.
const maxAnswerHeaderBytes = 64 << 10

// errSealed ends writes to a connection that was sealed.
var errSealed = errors.New("ingress: connection sealed")

// provingConn counts the writes that were begun.
type provingConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *provingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *provingConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and reports whether none were begun since.
func (c *provingConn) seal(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

// proof observes on which connection a request goes out.
type proof struct {
	mu     sync.Mutex
	sealed bool
	conn   net.Conn
	since  uint64
}

func (p *proof) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conn = info.Conn
		pc, ok := info.Conn.(*provingConn)
		if !ok {
			return
		}
		p.since = pc.begun()
		if p.sealed {
			pc.seal(p.since)
		}
	}})
}

// nothingSent reports, after a failed round trip, whether no byte of the request
// was sent, and makes sure that none will be.
func (p *proof) nothingSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sealed = true
	if p.conn == nil {
		return true
	}
	pc, ok := p.conn.(*provingConn)
	return ok && pc.seal(p.since)
}

// setKey sets the Idempotency-Key under a map key that is not canonical.
// http.Transport takes the canonical one as permission to resend a request on a
// new connection by itself; on the wire header names have no case.
func setKey(h http.Header, values []string) {
	h["idempotency-key"] = values
}

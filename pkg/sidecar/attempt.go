package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// errNotSent is returned by writes of a request that must not be sent or resent.
var errNotSent = errors.New("sidecar: the request must not be sent")

// attempt decides whether one request may be written to an upstream connection.
// http.Transport resends a request on a new connection when the old one fails
// (bodyless GET, HEAD, OPTIONS and TRACE, and any with Idempotency-Key); the
// attempt allows writes on the first connection only. Safe for concurrent use.
type attempt struct {
	// check runs once, immediately before the first write.
	check func() *outcome.Problem
	// cancel ends the round trip, so that the transport does not retry.
	cancel context.CancelFunc

	// continued is set when the upstream has sent 100 Continue.
	continued atomic.Bool

	mu        sync.Mutex
	conn      *gatedConn
	sealed    bool
	rejection *outcome.Problem
}

// allow returns an error if the request must not be written to the connection.
func (a *attempt) allow(c *gatedConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == c {
		return nil
	}
	if a.conn == nil && !a.sealed {
		a.rejection = a.check()
		if a.rejection == nil {
			a.conn = c
			return nil
		}
		a.sealed = true
	}
	a.cancel()
	return errNotSent
}

// seal prevents a first write from now on. It reports whether part of the request
// may have been written already.
func (a *attempt) seal() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.conn != nil
}

// trace assigns the attempt to each connection that the transport selects.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.attempt.Store(a)
			}
		},
		Got100Continue: func() { a.continued.Store(true) },
	})
}

// gatedConn is an upstream connection that checks each write with the attempt it
// is assigned to.
type gatedConn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
}

func (c *gatedConn) Write(b []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil {
		return 0, errNotSent
	}
	if err := a.allow(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// dialGated opens a connection to the upstream.
func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c}, nil
}

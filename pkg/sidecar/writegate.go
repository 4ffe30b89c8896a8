package sidecar

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// errNotSent is returned by writes of a request that must not be sent or resent.
var errNotSent = errors.New("sidecar: the request must not be sent")

// writeGate decides whether a request may be written to an upstream connection. It
// allows writes on the first connection only: http.Transport otherwise resends a GET,
// HEAD, OPTIONS or TRACE request without a body, and any request with an
// Idempotency-Key, on a new connection when the old one fails. It is safe for
// concurrent use.
type writeGate struct {
	// check runs once, immediately before the first write.
	check func() *outcome.Problem
	// cancel ends the round trip, so that the transport does not retry.
	cancel context.CancelFunc

	// continued is set when the upstream has sent 100 Continue.
	continued atomic.Bool
	// reused is set if the connection has carried an earlier request.
	reused atomic.Bool

	mu sync.Mutex
	// conn is the only connection on which writes are allowed, nil before the first write.
	conn   *gatedConn
	sealed bool
	// rejection is the problem that check returned.
	rejection *outcome.Problem
}

// allow returns an error if the request must not be written to the connection.
func (g *writeGate) allow(c *gatedConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c {
		return nil
	}
	if g.conn == nil && !g.sealed {
		g.rejection = g.check()
		if g.rejection == nil {
			g.conn = c
			return nil
		}
		g.sealed = true
	}
	g.cancel()
	return errNotSent
}

// seal prevents a first write from now on. It reports whether part of the request
// may have been written already.
func (g *writeGate) seal() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.conn != nil
}

// trace assigns the gate to each connection that the transport selects.
func (g *writeGate) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				g.reused.Store(info.Reused)
				c.gate.Store(g)
			}
		},
		Got100Continue: func() { g.continued.Store(true) },
	})
}

// recordRefusal records that the upstream refused the request with the id. It reports
// whether the refusal certainly belongs to the request: it is the first response on the
// connection, or it repeats the id, with which nothing was refused there before.
// Otherwise it may repeat an earlier refusal.
func (g *writeGate) recordRefusal(id, echoed string) bool {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c == nil {
		return false
	}
	return c.recordRefusal(id) && (!g.reused.Load() || id == echoed)
}

// gatedConn is an upstream connection on which the gate of the current request checks
// each write.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[writeGate]

	mu sync.Mutex
	// refusedIDs are the hashes of the ids of the requests that the upstream refused on
	// this connection.
	refusedIDs []uint64
}

// maxRefusedIDs is the number of refusals after which a connection is closed.
const maxRefusedIDs = 1024

var refusedIDSeed = maphash.MakeSeed()

// recordRefusal reports whether no request with the id was refused on the connection
// before.
func (c *gatedConn) recordRefusal(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := maphash.String(refusedIDSeed, id)
	if slices.Contains(c.refusedIDs, hash) {
		return false
	}
	c.refusedIDs = append(c.refusedIDs, hash)
	return true
}

// exhausted reports whether the connection has carried maxRefusedIDs refusals.
func (g *writeGate) exhausted() bool {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.refusedIDs) >= maxRefusedIDs
}

func (c *gatedConn) Write(b []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errNotSent
	}
	if err := g.allow(c); err != nil {
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

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
	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
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
	// selected is the connection that the transport has selected last. A response may arrive
	// on it before the request is written.
	selected atomic.Pointer[gatedConn]

	// requestID is the id of the request.
	requestID string
	// ended reports whether the caller has left or the deadline has passed.
	ended func() bool
	// interruptBody ends the reading of the request's body; nil if it has none. The caller's
	// connection can't be used for another request afterwards.
	interruptBody func()

	mu sync.Mutex
	// finished is set when the request has been sent or the round trip has ended.
	finished bool
	// interrupted is set once interruptBody was called.
	interrupted bool
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
		if g.reused.Load() && recvbuf.Check(c.Conn) != recvbuf.Empty {
			// The upstream has closed the idle connection. The transport may use another one.
			return errNotSent
		}
		g.rejection = g.check()
		if g.rejection == nil {
			g.conn = c
			c.recordRequest(g.requestID)
			return nil
		}
		g.sealed = true
	}
	g.cancel()
	return errNotSent
}

// finish ends the effect of the upstream's connection on that of the caller.
func (g *writeGate) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finished = true
}

// connectionClosed interrupts the reading of the body. Otherwise the transport, which waits
// until it has sent the body, would report the failure only when the caller sends more of it.
func (g *writeGate) connectionClosed(c *gatedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c && !g.finished && g.interruptBody != nil && !g.ended() {
		g.interrupted = true
		g.interruptBody()
	}
}

// failureContext returns the request's context for the time after a failed round trip. An
// interrupted body cancels the request's own context, as if the caller had left.
func (g *writeGate) failureContext(ctx context.Context) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.interrupted {
		return context.WithCancel(ctx)
	}
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
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
				g.selected.Store(c)
				c.gate.Store(g)
			}
		},
		Got100Continue: func() { g.continued.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				g.finish()
			}
		},
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

// closeIfRepeated closes the connection if the response with the echoed id is a second copy of
// the response to an earlier request. It reports whether it is one.
func (g *writeGate) closeIfRepeated(echoed string) bool {
	c := g.selected.Load()
	if c == nil || echoed == "" || echoed == g.requestID || !c.carried(echoed) {
		return false
	}
	_ = c.Conn.Close()
	return true
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
	// recentIDs are the hashes of the ids of the last requests on this connection.
	recentIDs []uint64
}

// maxRecentIDs is the number of requests on a connection whose responses are recognised if
// they arrive a second time.
const maxRecentIDs = 16

func (c *gatedConn) recordRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recentIDs = append(c.recentIDs, maphash.String(requestIDSeed, id))
	if len(c.recentIDs) > maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
}

// carried reports whether a recent request on the connection had the id.
func (c *gatedConn) carried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.recentIDs, maphash.String(requestIDSeed, id))
}

// maxRefusedIDs is the number of refusals after which a connection is closed.
const maxRefusedIDs = 1024

var requestIDSeed = maphash.MakeSeed()

// recordRefusal reports whether no request with the id was refused on the connection
// before.
func (c *gatedConn) recordRefusal(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := maphash.String(requestIDSeed, id)
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

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	if g := c.gate.Load(); g != nil {
		g.connectionClosed(c)
	}
	return err
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

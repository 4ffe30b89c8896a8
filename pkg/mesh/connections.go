package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply to callers' connections until a
	// configuration sets the limits. They are longer than in any configuration seen.
	defaultIdleTimeout   = 3 * time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// firstRequestChecks is for how many checks, stopPollInterval apart, a stopping node
	// waits for the first request on a connection that it has accepted. The time does not
	// count in which the process does not run.
	firstRequestChecks = 15
)

// callerConnections tracks the callers' connections. It closes those that have no request
// for longer than the configuration in force allows, since http.Server supports only fixed
// limits. When the node stops, it closes all of them. It is safe for concurrent use.
type callerConnections struct {
	table func() *route.Table
	// firstRequestChecks applies to drain.
	firstRequestChecks int

	mu    sync.Mutex
	conns map[net.Conn]*callerConnection
}

// callerConnection is one open connection.
type callerConnection struct {
	log relay.Connection
	// used is set once a request was read.
	used bool
	// checks is the number of checks since the node began to close connections.
	checks int
	// idleTimer ends the connection; nil while it has a request.
	idleTimer *time.Timer
	// expired is set while the read deadline has passed because of the idle limit.
	expired bool
}

func newCallerConnections(table func() *route.Table) *callerConnections {
	return &callerConnections{table: table, firstRequestChecks: firstRequestChecks, conns: map[net.Conn]*callerConnection{}}
}

// limit returns how long a connection may stay without a complete request header: the
// idle timeout plus the header timeout, because the arrival of a header's first byte is
// not reported.
func (c *callerConnections) limit() time.Duration {
	idle, header := defaultIdleTimeout, defaultHeaderTimeout
	if t := c.table(); t != nil {
		if t.Limits.IdleTimeout > 0 {
			idle = t.Limits.IdleTimeout
		}
		if t.Limits.HeaderTimeout > 0 {
			header = t.Limits.HeaderTimeout
		}
	}
	return idle + header
}

// find returns the state of a connection, which it adds if necessary. The lock must be held.
func (c *callerConnections) find(conn net.Conn) *callerConnection {
	cc := c.conns[conn]
	if cc == nil {
		cc = &callerConnection{log: relay.Connection{Conn: conn}}
		c.conns[conn] = cc
	}
	return cc
}

// connContext is the ConnContext hook of an http.Server.
func (c *callerConnections) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return relay.WithConnection(ctx, &c.find(conn).log)
}

// trackState is the ConnState hook of an http.Server.
func (c *callerConnections) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.find(conn)
	if cc.idleTimer != nil {
		cc.idleTimer.Stop()
		cc.idleTimer = nil
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.startIdleTimer(conn, cc)
	case http.StateActive:
		cc.used = true
		if cc.expired {
			cc.expired = false
			// An error means that the connection is closed, which the server notices.
			_ = conn.SetReadDeadline(time.Time{})
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// startIdleTimer starts the connection's idle timer. The lock must be held.
func (c *callerConnections) startIdleTimer(conn net.Conn, cc *callerConnection) {
	var timer *time.Timer
	timer = time.AfterFunc(c.limit(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if cc.idleTimer == timer {
			c.expire(conn, cc)
		}
	})
	cc.idleTimer = timer
}

// drain closes the connections without a request and waits until the others are closed
// after their response. http.Server.Shutdown would drop the requests that are read while
// it runs. The listener must be closed. If the context ends early, drain still makes
// firstRequestChecks checks: a stall of the process may have used up the time.
func (c *callerConnections) drain(ctx context.Context) error {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for checks := 0; c.expireUnused() > 0; checks++ {
		if ctx.Err() != nil && checks >= c.firstRequestChecks {
			return ctx.Err()
		}
		<-t.C
	}
	return nil
}

// expireUnused ends the connections without a request, new ones after firstRequestChecks,
// and returns the number of open connections.
func (c *callerConnections) expireUnused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, cc := range c.conns {
		cc.checks++
		if cc.idleTimer != nil && (cc.used || cc.checks > c.firstRequestChecks) {
			cc.idleTimer.Stop()
			c.expire(conn, cc)
		}
	}
	return len(c.conns)
}

// expire ends an idle connection. It ends only the server's wait for more bytes: if the
// server has already read a request, it still serves it. Closing the connection would lose
// the response. A connection with unread bytes stays open, because the server may not have
// noticed a request yet. The lock must be held.
func (c *callerConnections) expire(conn net.Conn, cc *callerConnection) {
	if recvbuf.Check(conn) != recvbuf.Readable {
		cc.expired = true
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	// The server may have begun to read a header and reset the deadline in the meantime.
	c.startIdleTimer(conn, cc)
}

// markAllClosed records why this node is about to close all connections.
func (c *callerConnections) markAllClosed(reason relay.CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		cc.log.MarkClosed(reason)
	}
}

// count returns the number of open connections.
func (c *callerConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply to callers' connections until a
	// configuration sets the limits. They are longer than in any configuration seen.
	defaultIdleTimeout   = 3 * time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// callerConnections tracks the callers' connections. It closes those that have no request
// for longer than the configuration in force allows, since http.Server supports only fixed
// limits. It is safe for concurrent use.
type callerConnections struct {
	table func() *route.Table

	mu    sync.Mutex
	conns map[net.Conn]*callerConnection
}

// callerConnection is one open connection.
type callerConnection struct {
	log relay.Connection
	// idleTimer ends the connection; nil while it has a request.
	idleTimer *time.Timer
	// expired is set while the read deadline has passed because of the idle limit.
	expired bool
}

func newCallerConnections(table func() *route.Table) *callerConnections {
	return &callerConnections{table: table, conns: map[net.Conn]*callerConnection{}}
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
		cc = &callerConnection{}
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

// expire ends an idle connection. It ends only the server's wait for more bytes: if the
// server has already read a request, it still serves it. Closing the connection would lose
// the response. The lock must be held.
func (c *callerConnections) expire(conn net.Conn, cc *callerConnection) {
	cc.expired = true
	_ = conn.SetReadDeadline(time.Unix(1, 0))
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

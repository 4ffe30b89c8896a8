package mesh

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply to callers' connections until a
	// configuration sets the limits. They are longer than in any configuration seen.
	defaultIdleTimeout   = 3 * time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// idleConnections closes callers' connections that have no request for longer than the
// configuration in force allows. http.Server supports only fixed limits. It is safe for
// concurrent use.
type idleConnections struct {
	table func() *route.Table

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConnections(table func() *route.Table) *idleConnections {
	return &idleConnections{table: table, timers: map[net.Conn]*time.Timer{}}
}

// limit returns how long a connection may stay without a complete request header: the
// idle timeout plus the header timeout, because the arrival of a header's first byte is
// not reported.
func (c *idleConnections) limit() time.Duration {
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

// trackState is the ConnState hook of an http.Server.
func (c *idleConnections) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		// Closing wakes the server, which then reports the connection as closed.
		c.timers[conn] = time.AfterFunc(c.limit(), func() { _ = conn.Close() })
	}
}

// count returns the number of connections without a request.
func (c *idleConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

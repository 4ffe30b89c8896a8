package mesh

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// defaultIdle and defaultHeader bound callers' connections until a configuration
	// tells the limits: longer than those of any configuration seen.
	defaultIdle   = 3 * time.Minute
	defaultHeader = 10 * time.Second
)

// connections closes callers' connections that stay without a request for longer than
// the configuration in force allows. http.Server has fixed limits only. It is safe for
// concurrent use.
type connections struct {
	table func() *route.Table

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnections(table func() *route.Table) *connections {
	return &connections{table: table, timers: map[net.Conn]*time.Timer{}}
}

// limit returns how long a connection may be without a whole request header: the idle
// time and, since the first byte of a header is not seen, the time for one header.
func (c *connections) limit() time.Duration {
	idle, header := defaultIdle, defaultHeader
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

// note is the ConnState hook of an http.Server.
func (c *connections) note(conn net.Conn, state http.ConnState) {
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

// open returns the number of connections without a request.
func (c *connections) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/mulberrytray/mulberrytray/pkg/connlimit"
)

// CloseReason is why a caller's connection was closed.
type CloseReason string

// Reasons for closed connections.
const (
	// ClosedByCaller is for connections that this node did not close.
	ClosedByCaller CloseReason = "caller"
	// ClosedByStop is for connections that were still open at the end of a planned stop.
	ClosedByStop CloseReason = "stop"
)

// Connection is a caller's connection. It is safe for concurrent use.
type Connection struct {
	// Conn is the connection itself, or nil if it is not known.
	Conn net.Conn

	requests atomic.Int64
	closed   atomic.Pointer[CloseReason]
}

// MarkClosed records that this node closes the connection.
func (c *Connection) MarkClosed(reason CloseReason) { c.closed.CompareAndSwap(nil, &reason) }

// chargeHeader counts what the header of the connection's request takes. It reports whether that is more than
// usual, and whether there is room.
func (c *Connection) chargeHeader(r *http.Request) (isLong, ok bool) {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	counted, ok := connlimit.ChargeHeader(c.Conn, headerBytes(r), fields)
	return counted > 0, ok
}

// resetOnClose makes the connection's close a reset.
func (c *Connection) resetOnClose() {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

// closeReason returns why the connection was closed.
func (c *Connection) closeReason() CloseReason {
	if r := c.closed.Load(); r != nil {
		return *r
	}
	return ClosedByCaller
}

type connectionKey struct{}

// WithConnection returns the context for the requests of a connection.
func WithConnection(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request's context.
func connectionOf(ctx context.Context) *Connection {
	if c, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		return c
	}
	return &Connection{}
}

// Package drain closes a listener without resetting connections in its accept queue.
package drain

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lastAcceptTimeout is how long a closing listener waits for one more connection.
	lastAcceptTimeout = 2 * time.Millisecond
	// closeTimeout bounds Close if no goroutine calls Accept.
	closeTimeout = 100 * time.Millisecond
)

// Listener accepts the connections in the kernel's accept queue before it closes.
// When a socket is closed, the kernel resets the connections in its queue, and
// requests may already have been sent on them. It is safe for concurrent use by one
// goroutine that accepts and others that close.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

// NewListener returns a listener that closes without losing connections.
func NewListener(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, closed: make(chan struct{})}
}

// Accept implements net.Listener. After Close it returns the queued connections, then
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.closing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.closing.Load() {
			return c, err
		}
	}
	_ = l.SetDeadline(time.Now().Add(lastAcceptTimeout))
	c, err := l.TCPListener.Accept()
	if err != nil {
		l.closeSocket()
		// http.Server would retry after a timeout error.
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *Listener) closeSocket() {
	l.once.Do(func() {
		_ = l.TCPListener.Close()
		close(l.closed)
	})
}

// Close implements net.Listener. It returns when the queue is empty.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		_ = l.SetDeadline(time.Now())
	}
	select {
	case <-l.closed:
	case <-time.After(closeTimeout):
		l.closeSocket()
	}
	return nil
}

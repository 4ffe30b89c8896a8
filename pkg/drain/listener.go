// Package drain closes a listener without resetting connections that wait in its queue.
package drain

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptGrace is how long a closing listener waits for one more connection.
	acceptGrace = 2 * time.Millisecond
	// closeLimit bounds Close if nobody calls Accept.
	closeLimit = 100 * time.Millisecond
)

// Listener accepts the connections that wait in the kernel's queue before it
// closes. The kernel resets those that are in the queue of a socket that is closed,
// and a request may already be on its way on them. Safe for concurrent use by one
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

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.closing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.closing.Load() {
			return c, err
		}
	}
	_ = l.SetDeadline(time.Now().Add(acceptGrace))
	c, err := l.TCPListener.Accept()
	if err != nil {
		l.finish()
		// http.Server retries after a timeout.
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *Listener) finish() {
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
	case <-time.After(closeLimit):
		l.finish()
	}
	return nil
}

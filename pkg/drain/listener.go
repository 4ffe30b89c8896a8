// Package drain closes a listener without resetting connections in its accept queue.
package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// closeTimeout bounds Close if no goroutine calls Accept, and the attempts to accept a
	// queued connection.
	closeTimeout = time.Second
	// acceptRetryDelay is the pause after a failed attempt, such as without a free
	// descriptor.
	acceptRetryDelay = 5 * time.Millisecond
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
	c, err := l.acceptQueued()
	if err != nil {
		l.closeSocket()
		return nil, net.ErrClosed
	}
	return c, nil
}

// acceptQueued returns the next connection of the accept queue. It returns an error if the
// queue is empty or cannot be read until Close gives up.
func (l *Listener) acceptQueued() (net.Conn, error) {
	f, err := l.acceptFile()
	for err != nil && !errors.Is(err, syscall.EAGAIN) && l.pause() {
		f, err = l.acceptFile()
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for {
		c, err := net.FileConn(f)
		if err == nil || !l.pause() {
			return c, err
		}
	}
}

// pause waits for acceptRetryDelay. It reports whether the socket is still open.
func (l *Listener) pause() bool {
	select {
	case <-l.closed:
		return false
	case <-time.After(acceptRetryDelay):
		return true
	}
}

// acceptFile accepts a connection without waiting for one. Accept with a deadline would not
// do: it fails without a look at the queue if the goroutine runs after the deadline.
func (l *Listener) acceptFile() (*os.File, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	if err := raw.Control(func(listener uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}); err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, os.NewSyscallError("accept4", acceptErr)
	}
	return os.NewFile(uintptr(fd), ""), nil
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

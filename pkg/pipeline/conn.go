// Package pipeline reads further requests of a connection while the server is busy with an earlier one, so that they
// can be started.
//
// Load pattern: callers send safe requests on one connection without waiting for responses. net/http
// serves a connection one request after the other, so with a target of 500 ms and 160 ms of work the
// fourth request in a row is late although upstreams are free. And once a byte of a further request has
// arrived, net/http no longer notices that the caller disconnects, so requests run for callers that have left.
//
// http.Server keeps serving the connection, and gets its bytes unchanged and in order. While a handler runs, the
// server waits in a read of one byte for the end of the connection. Conn uses the goroutine of this read: it
// keeps the bytes that arrive meanwhile, starts the requests in them, and returns from the read only when the
// server ends it or the connection is closed.
package pipeline

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
)

const (
	// MaxAhead is the maximum number of requests that are started ahead on a connection.
	MaxAhead = 8
	// maxHeldBytes is the maximum number of bytes that are read ahead of the server.
	maxHeldBytes = 16 << 10
	// maxAheadLines is the maximum number of lines in the head of a request that is started ahead, which
	// is decoded twice. Others wait for their turn.
	maxAheadLines = 64
	// minHeldBytes is the size of the first buffer for them.
	minHeldBytes = 2 << 10
	// lingerTime is how long a connection with unserved requests still receives after its last
	// response. If it were closed at once, the kernel would answer further requests with a reset,
	// and the caller might lose the response. http.Server waits as long after an unread body.
	lingerTime = 500 * time.Millisecond
	// writeTimeout bounds a write while started requests are pending: they hold places and results until
	// the caller takes the responses before theirs. It is that of one block of a long response in pkg/relay.
	writeTimeout = 5 * time.Second
)

// Started is a request that was started before the server has reached it.
type Started interface {
	// Cancel ends the request. It must not block.
	Cancel()
}

// Starter starts a request whose turn has not come, or returns nil if the request has to wait for its
// turn. It must not block or call methods of the connection.
type Starter func(r *http.Request) Started

// Listener wraps the connections that it accepts.
type Listener struct {
	net.Listener
	start  Starter
	budget *bodybuf.Budget
	linger time.Duration
	// writeTimeout applies to writes while started requests are pending.
	writeTimeout time.Duration
}

// NewListener returns a listener whose TCP connections start requests ahead. The budget limits the
// memory for bytes that are read ahead.
func NewListener(l net.Listener, start Starter, budget *bodybuf.Budget) *Listener {
	return &Listener{l, start, budget, lingerTime, writeTimeout}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(tcpConn); ok {
		return &Conn{tcpConn: tcp, start: l.start, budget: l.budget, linger: l.linger, writeTimeout: l.writeTimeout}, nil
	}
	return c, nil
}

// entry is a started request and its number on the connection.
type entry struct {
	number  int
	request *http.Request
	started Started
}

// tcpConn is a TCP connection or a wrapper of one.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
	CloseWrite() error
}

var newline = []byte{'\n'}

// headerCounter limits the headers that the server gets. An error refuses the bytes.
type headerCounter interface{ CountHeader(p []byte) error }

// Conn is a connection of a caller. Its reads stop at the end of each request.
type Conn struct {
	tcpConn
	start  Starter
	budget *bodybuf.Budget
	linger time.Duration
	// writeTimeout applies to writes without a deadline while started requests are pending.
	writeTimeout time.Duration

	mu sync.Mutex
	// delivered follows the bytes that the server has read; number counts the requests in them.
	delivered framer
	number    int
	// held are the bytes that the server has not read; reserved is what they take of the budget.
	held     []byte
	reserved int64
	// examined follows the first examinedBytes of held; examinedNumber counts the requests in them
	// and before. The head that is not complete begins at headAt.
	examined       framer
	examinedBytes  int
	headAt         int
	examinedNumber int
	// blocked is set if the next request has to wait for its turn, and those behind it as well.
	blocked bool
	// permitted is set while requests may start beside the one that the server is busy with.
	permitted bool
	queue     []entry
	// ended is set once no further request may start.
	ended bool
	// reading is set during a read ahead, reset if the close must be a reset, closed after Close.
	reading, reset, closed bool
	// left is set once the caller has closed the connection. The requests held are not served: their
	// responses would not arrive.
	left bool
	// writeDeadline is that of the server, or zero.
	writeDeadline time.Time
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.tcpConn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	// The bytes held are lost, so those that still arrive may begin within a request.
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.left && c.delivered.atStart() {
		c.mu.Unlock()
		return 0, io.EOF
	}
	// All bytes before are those of complete requests, so the server has no others in its buffer
	// and reads the next request into the whole of it. It reads one byte only to wait.
	if len(p) == 1 && c.number > 0 && c.delivered.atStart() {
		c.reading = true
		c.mu.Unlock()
		return c.readAhead(p)
	}
	if len(c.held) > 0 {
		n := c.deliverHeld(p)
		c.mu.Unlock()
		return c.count(p, n, nil)
	}
	c.mu.Unlock()
	n, err := c.tcpConn.Read(p)
	if n == 0 {
		return n, err
	}
	n, err = c.split(p, n, err)
	return c.count(p, n, err)
}

// split returns how many of the n bytes of p that were read belong to the current request, and holds the
// others.
func (c *Conn) split(p []byte, n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	delivered, ended := c.delivered.next(p[:n])
	if delivered < n {
		c.hold(p[delivered:n])
	}
	if ended {
		c.endRequest()
	}
	return delivered, err
}

// count reports the n bytes of p to the connection below, which may refuse them.
func (c *Conn) count(p []byte, n int, err error) (int, error) {
	if counter, ok := c.tcpConn.(headerCounter); ok && n > 0 {
		if err := counter.CountHeader(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// deliverHeld moves held bytes to p, up to the end of a request. The lock must be held.
func (c *Conn) deliverHeld(p []byte) int {
	n, ended := c.delivered.next(c.held[:min(len(p), len(c.held))])
	copy(p, c.held[:n])
	rest := copy(c.held, c.held[n:])
	c.held = c.held[:rest]
	c.examinedBytes -= n
	c.headAt -= n
	if ended {
		c.endRequest()
	}
	if rest == 0 {
		c.releaseHeld()
	}
	return n
}

// endRequest follows the last byte of a request that the server has read. The lock must be held.
func (c *Conn) endRequest() {
	c.number++
	c.permitted = false
	if c.number > c.examinedNumber {
		c.examined, c.examinedBytes, c.headAt, c.examinedNumber, c.blocked = framer{}, 0, 0, c.number, false
	}
}

// hold adds bytes that were read to those held. The lock must be held.
func (c *Conn) hold(b []byte) {
	for len(c.held)+len(b) > cap(c.held) && c.grow() {
	}
	// If the budget is exhausted, the few bytes that the server would have in its buffer are not counted.
	c.held = append(c.held, b...)
}

// grow enlarges the buffer, and reports whether its limit and the budget allow it. The lock must be held.
func (c *Conn) grow() bool {
	size := max(minHeldBytes, 2*cap(c.held))
	if size > maxHeldBytes || c.ended || !c.budget.Reserve(int64(size)-c.reserved) {
		return false
	}
	c.reserved = int64(size)
	held := make([]byte, len(c.held), size)
	copy(held, c.held)
	c.held = held
	return true
}

// releaseHeld frees the buffer. The lock must be held.
func (c *Conn) releaseHeld() {
	c.budget.Return(c.reserved)
	c.held, c.reserved = nil, 0
}

// readAhead reads until the server ends the read or the connection is closed. p has room for one byte.
func (c *Conn) readAhead(p []byte) (int, error) {
	for {
		room, wait := c.room(p)
		n, err := 0, error(nil)
		if wait {
			err = c.awaitClose()
		} else {
			n, err = c.tcpConn.Read(room)
		}
		if err != nil {
			c.endReadAhead(!errors.Is(err, os.ErrDeadlineExceeded))
			return 0, err
		}
		c.mu.Lock()
		if len(c.held) == 0 {
			c.hold(room[:n])
		} else {
			c.held = c.held[:len(c.held)+n]
		}
		c.mu.Unlock()
	}
}

// endReadAhead ends a read ahead. If the connection is closed, it cancels the started requests.
func (c *Conn) endReadAhead(closed bool) {
	c.mu.Lock()
	c.reading = false
	c.left = c.left || closed
	c.mu.Unlock()
	if closed {
		c.cancelAll()
	}
}

// room starts the requests that may start, and returns the buffer for the next bytes. wait is set if
// no more bytes may be read. No buffer is needed before the first byte arrives.
func (c *Conn) room(p []byte) (room []byte, wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.examine()
	switch {
	case len(c.held) == 0:
		return p, false
	case c.blocked || len(c.queue) >= MaxAhead:
		return nil, true
	case len(c.held) < cap(c.held) || c.grow():
		return c.held[len(c.held):cap(c.held)], false
	}
	return nil, true
}

// awaitClose waits until the caller closes the connection, without reading from it.
func (c *Conn) awaitClose() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	// The function is called again when more bytes or the end of the connection arrive.
	err = raw.Read(recvbuf.PeerClosed)
	if err == nil {
		err = io.EOF
	}
	return err
}

// examine starts the requests among the bytes held. The lock must be held.
func (c *Conn) examine() {
	for c.permitted && !c.blocked && !c.ended && len(c.queue) < MaxAhead && c.delivered.atStart() {
		n, ended := c.examined.next(c.held[c.examinedBytes:])
		c.examinedBytes += n
		if !ended {
			c.blocked = c.examined.phase != inHead
			return
		}
		var r *http.Request
		var started Started
		if head := c.held[c.headAt:c.examinedBytes]; bytes.Count(head, newline) <= maxAheadLines {
			if r = parseHead(head); r != nil {
				started = c.start(r)
			}
		}
		if started == nil {
			c.blocked = true
			return
		}
		c.examinedNumber++
		c.headAt = c.examinedBytes
		c.queue = append(c.queue, entry{c.examinedNumber, r, started})
	}
}

// Permit lets the requests behind the one that the server is busy with start before it ends.
func (c *Conn) Permit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permitted = true
	c.examine()
}

// Take returns the started request if it is the one that the server has reached, or nil.
func (c *Conn) Take(r *http.Request) Started {
	c.mu.Lock()
	if len(c.queue) == 0 || c.queue[0].number > c.number {
		c.mu.Unlock()
		return nil
	}
	first := c.queue[0]
	if first.number == c.number && sameRequest(first.request, r) {
		c.queue = c.queue[1:]
		c.mu.Unlock()
		return first.started
	}
	c.mu.Unlock()
	// The server has not passed on a request that was started, or reads the bytes in another way.
	c.cancelAll()
	return nil
}

// Pending returns the number of started requests that the server has not reached.
func (c *Conn) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// Held returns the number of bytes that the server has not read.
func (c *Conn) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// cancelAll cancels the started requests and starts no others.
func (c *Conn) cancelAll() {
	c.mu.Lock()
	c.ended = true
	queue := c.queue
	c.queue = nil
	c.mu.Unlock()
	for _, e := range queue {
		e.started.Cancel()
	}
}

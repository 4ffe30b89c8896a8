// Package connlimit limits the connections of a node and the memory of the headers on them.
//
// Load pattern: crowds of callers outside the limits that send headers which are too long or never
// end, headers of legal size made of very many short lines, or only open connections. net/http keeps
// and decodes a header of any caller up to a fixed limit before a handler or a budget knows of it, so
// some hundred such connections fill the memory of a small VM or take all of its descriptors. A header
// beyond the limit in force is refused as soon as it exceeds the limit. Each header counts with what it
// takes once it is decoded, until its response is written. At the limit of all headers or of
// connections, a request in progress that is not worth its place gives way, then the connection without
// a request that has waited longest, so that a caller beside the crowd still finds a place.
package connlimit

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
)

const (
	// closingWait bounds the wait for the end of refused connections before a new one is turned
	// away.
	closingWait = 50 * time.Millisecond
	// refusalTimeout bounds sending a refusal and reading what the caller still sends. Without
	// that, closing the connection would delete the refusal at the caller.
	refusalTimeout = 200 * time.Millisecond
	// maxDiscardBytes bounds what is read after a refusal.
	maxDiscardBytes = 256 << 10
)

// Limits are those of one listener.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeaderBytes returns the limit of a header in force, with what the server may read beyond
	// its end.
	HeaderBytes func() int64
	// Reclaim makes a request in progress give way whose connection is not worth its place, and reports
	// whether there was one. Its end may take some milliseconds. It may be nil.
	Reclaim func() bool
	// ReceiveBytes is the size of the kernel's receive buffer of a connection, or 0 for that of
	// the system.
	ReceiveBytes int
	// CountsDelivered is set if a wrapper of the connections calls CountHeader with the bytes that it
	// delivers to the server, since it reads ahead of the server.
	CountsDelivered bool
	// StreamsPerSecond is the rate of new streams of HTTP/2 beyond which reading pauses, or 0
	// if there is no limit.
	StreamsPerSecond float64
}

// Listener limits the connections of a listener. The ConnState hook of its server must call
// TrackState.
type Listener struct {
	net.Listener
	limits Limits
	pool   *pool
	pacer  pacer
}

// NewListener returns a listener whose headers count in the limiter.
func NewListener(inner net.Listener, limiter *Limiter, limits Limits) *Listener {
	return &Listener{Listener: inner, limits: limits, pool: newPool(limiter, limits.Connections), pacer: pacer{perSecond: limits.StreamsPerSecond, burst: limits.StreamsPerSecond / burstDivisor}}
}

// Open returns the number of open connections.
func (l *Listener) Open() int64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return int64(l.pool.open)
}

// Refused returns how many connections were closed for the reason.
func (l *Listener) Refused(r Reason) int64 {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.pool.refused[r]
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := inner.(*net.TCPConn)
		if !ok {
			return inner, nil
		}
		c := &Conn{TCPConn: tcp, listener: l}
		c.resets.perSecond, c.resets.burst = resetsPerSecond, resetBurst
		c.entry = entry{pool: l.pool, wake: c.wake, unread: func() bool { return recvbuf.Check(tcp) == recvbuf.Readable }}
		if l.admit(c) {
			if l.limits.ReceiveBytes > 0 {
				// An error means that the connection is closed, which the server notices.
				_ = tcp.SetReadBuffer(l.limits.ReceiveBytes)
			}
			return c, nil
		}
		_ = tcp.Close()
	}
}

// admit reports whether there is a place for the connection. It waits for the end of refused
// connections, so that they and their successors together stay within the limit.
func (l *Listener) admit(c *Conn) bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.admit(&c.entry)
	if v == full && l.limits.Reclaim != nil && p.unlocked(l.limits.Reclaim) {
		v = p.admitBeside(&c.entry)
	}
	if v == full {
		p.refused[TooMany]++
	}
	if v != retry {
		return v == admitted
	}
	if !p.await(p.closed, func() bool { v = p.admit(&c.entry); return v != retry }) {
		p.refused[TooMany]++
	}
	return v == admitted
}

// TrackState is the ConnState hook of the server. Other hooks may be called before or after it.
func TrackState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		if c.entry.pool.begin(&c.entry) {
			// An error means that the connection is closed, which the server notices.
			_ = c.TCPConn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.entry.pool.end(&c.entry)
	}
}

// unwrap returns the Conn in a connection, or nil. Other wrappers have NetConn, as tls.Conn does.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// Conn is a connection of a Listener. It has all methods of a TCPConn.
type Conn struct {
	*net.TCPConn
	listener *Listener
	entry    entry
	// matched is the number of bytes of the preface of HTTP/2 that were received, or -1 if
	// others were.
	matched int
	streams streamCounter
	resets  pacer
	// resetExcess is by how many the streams that were reset exceed the limit, until that was checked.
	resetExcess float64
}

// http2Preface is the beginning of a connection of HTTP/2 (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Read implements net.Conn. It counts the bytes of headers.
func (c *Conn) Read(p []byte) (int, error) {
	if c.entry.isRefused.Load() || c.checkResets() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.matched == len(http2Preface) {
		if err == nil {
			err = c.pace(p[:n])
		}
		return n, err
	}
	if n == 0 || c.listener.limits.CountsDelivered || !c.entry.counting.Load() || c.isHTTP2(p[:n]) {
		return n, err
	}
	if err := c.CountHeader(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// CountHeader counts the bytes that the server gets as part of a header, unless it has a request. An error
// means that the connection is refused; the server must get it instead of the bytes.
func (c *Conn) CountHeader(p []byte) error {
	// Bytes that were read before the connection was refused pass: if they complete a request, it is
	// served.
	if !c.entry.counting.Load() {
		return nil
	}
	n, lines := c.entry.scanner.scan(p)
	reason := c.entry.pool.receive(&c.entry, n, lines, c.listener.limits.HeaderBytes())
	if reason == "" {
		return nil
	}
	c.sendRefusal(reason)
	// The server sends no response of its own after a timeout.
	return os.ErrDeadlineExceeded
}

// ChargeHeader counts a decoded header of the connection's request as far as it was not counted while it
// was received: the server may have read its beginning with the end of the request before. It returns how
// many bytes of the memory for headers the request holds, and whether there is room. n is the number of the
// header's bytes.
func ChargeHeader(conn net.Conn, n, fields int) (counted int64, ok bool) {
	c := unwrap(conn)
	if c == nil {
		return 0, true
	}
	return c.entry.pool.charge(&c.entry, int64(n), int64(fields))
}

// isHTTP2 reports whether the preface of HTTP/2 has been received, p last.
func (c *Conn) isHTTP2(p []byte) bool {
	if c.matched < 0 {
		return false
	}
	n := min(len(p), len(http2Preface)-c.matched)
	if string(p[:n]) != http2Preface[c.matched:c.matched+n] {
		c.matched = -1
		return false
	}
	if c.matched += n; c.matched < len(http2Preface) {
		return false
	}
	c.entry.pool.setHTTP2(&c.entry)
	// An error is reported by the next Read.
	_ = c.pace(p[n:])
	return true
}

// pace pauses if too many streams are opened, those of p last. The kernel's buffers then hold back
// what the other side sends. A connection that the other side has reset fails at once, and one with
// too many streams that were reset once none is open, so that unread bytes don't occupy its place.
func (c *Conn) pace(p []byte) error {
	if c.listener.pacer.perSecond <= 0 {
		return nil
	}
	opened, reset := c.streams.add(p)
	now := time.Now()
	if reset > 0 {
		c.resetExcess = c.resets.add(reset, now)
	}
	if opened == 0 {
		return nil
	}
	pause := c.listener.pacer.pause(opened, now)
	if pause == 0 {
		return nil
	}
	time.Sleep(pause)
	if recvbuf.IsReset(c.TCPConn) {
		return syscall.ECONNRESET
	}
	return nil
}

// checkResets refuses the connection if too many streams were reset and none is open, and reports whether
// it did. It checks once after each reset, between two frames, when the server has processed the
// reset: later, the frame being read may be a call.
func (c *Conn) checkResets() bool {
	if c.resetExcess == 0 || !c.streams.atStart() {
		return false
	}
	excess := c.resetExcess
	c.resetExcess = 0
	mayHaveCall := excess <= maxResetExcess && recvbuf.Check(c.TCPConn) == recvbuf.Readable && !recvbuf.IsClosed(c.TCPConn)
	return !mayHaveCall && c.entry.pool.refuseIdle(&c.entry, StreamResets)
}

// refusals are the responses to headers that are refused. Nothing of their requests has run.
var refusals = map[Reason]string{
	HeaderTooLong: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	HeaderMemory:  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// sendRefusal responds to an incomplete header and discards what the caller still sends for a
// short time.
func (c *Conn) sendRefusal(reason Reason) {
	response := refusals[reason]
	if response == "" {
		return
	}
	deadline := time.Now().Add(refusalTimeout)
	_ = c.TCPConn.SetDeadline(deadline)
	if _, err := io.WriteString(c.TCPConn, response); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, struct{ io.Reader }{c.TCPConn}, maxDiscardBytes)
}

// wake ends a Read in progress.
func (c *Conn) wake() { _ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) }

// SetReadDeadline implements net.Conn. It has no effect on a refused connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.entry.isRefused.Load() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.entry.pool.remove(&c.entry)
	return err
}

package pipeline

import (
	"io"
	"time"
)

// SetLinger sets what happens to unsent bytes on close, as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.reset = seconds == 0
	c.mu.Unlock()
	return c.tcpConn.SetLinger(seconds)
}

// Close implements net.Conn. It cancels the started requests that the server has not reached.
func (c *Conn) Close() error {
	c.cancelAll()
	c.mu.Lock()
	c.closed = true
	linger := len(c.held) > 0 && c.delivered.atStart() && !c.reading && !c.reset
	if !c.reading {
		c.releaseHeld()
	} else {
		// The buffer is in use until the read ends.
		c.budget.Return(c.reserved)
		c.reserved = 0
	}
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		go c.closeLate()
		return nil
	}
	return c.tcpConn.Close()
}

// closeLate receives until the caller closes the connection or the linger time has passed, and closes it.
func (c *Conn) closeLate() {
	// After an error the copy ends at once.
	_ = c.SetReadDeadline(time.Now().Add(c.linger))
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.tcpConn})
	_ = c.tcpConn.Close()
}

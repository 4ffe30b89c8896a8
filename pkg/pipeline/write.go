package pipeline

import "time"

// Write implements net.Conn. A write without a deadline of the server has a time limit while started
// requests are pending: a caller that does not take responses must not hold what these requests take.
// The server removes the limit before the next request.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.queue) > 0 && c.writeDeadline.IsZero() {
		// After an error the write fails as well.
		_ = c.tcpConn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	c.mu.Unlock()
	return c.tcpConn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.tcpConn.SetWriteDeadline(t)
}

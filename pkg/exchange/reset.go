package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetAwareConn reports a failed connection to its reader even if a concurrent write has
// received the error. The kernel reports a reset once: the call that comes second gets an
// end of file on reads, which looks like the regular end of a response without length.
type resetAwareConn struct {
	net.Conn

	// mu is held during a write.
	mu       sync.Mutex
	writeErr error
}

// Write implements io.Writer.
func (c *resetAwareConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. No more bytes can be written once it has returned io.EOF.
func (c *resetAwareConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if werr := c.failedWrite(); werr != nil {
			return n, fmt.Errorf("connection failed while the request was written: %w", werr)
		}
	}
	return n, err
}

// failedWrite returns the error of a write to a connection that failed. It ends a write in
// progress, which may just have received the error.
func (c *resetAwareConn) failedWrite() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

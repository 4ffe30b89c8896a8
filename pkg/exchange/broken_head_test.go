package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
)

// brokenOff returns a function that responds to one request with the text and closes the
// connection, with a reset if reset is set.
func brokenOff(t *testing.T, text string, reset bool) func(net.Conn, *bufio.Reader) {
	t.Helper()
	return func(c net.Conn, r *bufio.Reader) {
		id, more := read(r)
		if !more {
			return
		}
		send(t, c, strings.ReplaceAll(text, "ID", id))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against an upstream that stops in the middle of the head or the body of its response
// and closes the connection, if the part that arrived is taken for a complete response.
func TestResponseBrokenOffAtAnyByteIsNoResponse(t *testing.T) {
	framings := map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":  "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n",
	}
	for framing, whole := range framings {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset %t", framing, reset), func(t *testing.T) {
				for n := range len(whole) {
					c := serve(t, brokenOff(t, whole[:n], reset))
					resp, err := do(t, c, "a")
					if err == nil {
						t.Errorf("%q is a response with status %d and body %q", whole[:n], resp.Status, resp.Body)
					} else if !errors.Is(err, ErrOutcomeUnknown) {
						t.Errorf("%q: %v, want ErrOutcomeUnknown", whole[:n], err)
					}
				}
			})
		}
	}
}

// Guards against a response without length that is taken for complete although its connection
// was reset.
func TestUnframedResponseEndedByResetIsNoResponse(t *testing.T) {
	c := serve(t, brokenOff(t, "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhalf", true))
	if resp, err := do(t, c, "a"); err == nil {
		t.Errorf("response with body %q", resp.Body)
	}
}

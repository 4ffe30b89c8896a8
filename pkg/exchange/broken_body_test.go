package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"testing/iotest"
)

var errCaller = errors.New("caller gone")

// Guards against a request that holds its slot until its deadline although the rest of its body is lost, and
// against a response that was sent before and is lost with it.
func TestBrokenBodyEndsRequest(t *testing.T) {
	part := bytes.Repeat([]byte("x"), 1<<10)
	for name, rest := range map[string]io.Reader{
		"error": io.MultiReader(bytes.NewReader(part), iotest.ErrReader(errCaller)),
		"short": bytes.NewReader(part),
	} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				readHead(t, r)
				// The upstream waits for the whole body.
				_, _ = io.Copy(io.Discard, r)
			})
			if _, err := sendLong(t, c, rest); !errors.Is(err, ErrBodyBroken) || !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("%v, want ErrBodyBroken", err)
			}
			c = serve(t, func(conn net.Conn, r *bufio.Reader) {
				readHead(t, r)
				send(t, conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\ny")
				_, _ = io.Copy(io.Discard, r)
			})
			resp, err := sendLong(t, c, rest)
			if err != nil || string(resp.Body) != "y" {
				t.Errorf("%v, %v for a response that came first", resp, err)
			}
		})
	}
}

package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// longBodyBytes is more than the socket buffers hold, so that the write of such a body blocks
// while the upstream does not read.
const longBodyBytes = 16 << 20

// lateReader delays reads after the first one until a write has failed, so that the write
// receives the error of a reset connection.
type lateReader struct {
	net.Conn
	reads  int
	once   sync.Once
	failed chan struct{}
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *lateReader) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.failed
	}
	return c.Conn.Read(p)
}

// sendLong sends a request with a long body to the upstream.
func sendLong(t *testing.T, c *Client, body io.Reader) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return c.Do(ctx, &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, IDHeader: "Id",
		Body: []byte("x"), Rest: body, Length: longBodyBytes,
	})
}

func longBody() io.Reader { return bytes.NewReader(bytes.Repeat([]byte("x"), longBodyBytes-1)) }

const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

// readHead reads the head of a request and leaves its body unread.
func readHead(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if _, err := http.ReadRequest(r); err != nil {
		t.Error(err)
	}
}

// Guards against a truncated response without length that is taken for complete because the
// write of the request's body, not the read, received the error of the reset connection.
func TestResetSeenByWriteEndsUnframedResponse(t *testing.T) {
	c := serve(t, func(conn net.Conn, r *bufio.Reader) {
		readHead(t, r)
		send(t, conn, unframedHead+"half")
	})
	dial := c.dial
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		return &lateReader{Conn: n, failed: make(chan struct{})}, err
	}
	resp, err := sendLong(t, c, longBody())
	if err == nil {
		t.Fatalf("a part of a response counts as complete: %q", resp.Body)
	}
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("%v, want ErrOutcomeUnknown", err)
	}
}

// Guards against the same in the rest of a response that is longer than the buffer.
func TestResetSeenByWriteEndsLongUnframedResponse(t *testing.T) {
	begun, failed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	c := serve(t, func(conn net.Conn, r *bufio.Reader) {
		readHead(t, r)
		send(t, conn, unframedHead+strings.Repeat("x", bodyBufferBytes+1))
		<-begun
	})
	dial := c.dial
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		return &writeObserver{n, func() { once.Do(func() { close(failed) }) }}, err
	}
	resp, err := sendLong(t, c, longBody())
	close(begun)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	<-failed
	if resp.Rest == nil {
		t.Fatal("the response is not longer than the buffer")
	}
	if _, err := io.Copy(io.Discard, resp.Rest); err == nil {
		t.Error("a part of a response counts as complete")
	}
}

// writeObserver calls failed when a write fails.
type writeObserver struct {
	net.Conn
	failed func()
}

func (c *writeObserver) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed()
	}
	return n, err
}

// Guards against a complete response without length that is taken for truncated: the upstream
// has ended it with a regular close, and has not read the request's body.
func TestClosedUnframedResponseIsCompleteBeforeBodyIsWritten(t *testing.T) {
	tests := []struct {
		desc string
		body io.Reader
	}{
		{"the write blocks", longBody()},
		{"the caller sends no more of the body", blockedReader{t.Context()}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				readHead(t, r)
				send(t, conn, unframedHead+"whole")
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Error(err)
				}
				<-t.Context().Done()
			})
			resp, err := sendLong(t, c, tt.body)
			if err != nil {
				t.Fatal(err)
			}
			if string(resp.Body) != "whole" || resp.Rest != nil {
				t.Errorf("body %q", resp.Body)
			}
		})
	}
}

// blockedReader returns no bytes until the context ends.
type blockedReader struct{ ctx context.Context }

func (r blockedReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

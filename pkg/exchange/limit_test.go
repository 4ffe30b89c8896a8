package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// readAheadBytes is the size of the buffers between the upstream and the parser.
const readAheadBytes = 8 << 10

// endlessUpstream responds to each request with a prefix and then repeats a text until
// the client closes the connection or has read maxBytes. Its connections have no buffer,
// so it sends exactly what the client reads.
type endlessUpstream struct {
	prefix, repeated string
	maxBytes         int
	// sent receives the number of bytes that were read before the connection ended, and
	// whether the client ended it.
	sent chan endlessResult
}

type endlessResult struct {
	bytes  int
	closed bool
}

func newEndlessUpstream(prefix, repeated string) *endlessUpstream {
	return &endlessUpstream{prefix: prefix, repeated: repeated, maxBytes: 16 << 20, sent: make(chan endlessResult, 1)}
}

func (u *endlessUpstream) client() *Client {
	c := NewClient("upstream")
	c.dial = func(context.Context, string, string) (net.Conn, error) {
		client, upstream := net.Pipe()
		go u.serve(upstream)
		return client, nil
	}
	return c
}

func (u *endlessUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, more := read(bufio.NewReader(conn)); !more {
		return
	}
	n, err := io.WriteString(conn, u.prefix)
	repeated := strings.Repeat(u.repeated, 1+1024/len(u.repeated))
	for err == nil && n < u.maxBytes {
		var k int
		k, err = io.WriteString(conn, repeated)
		n += k
	}
	u.sent <- endlessResult{n, err != nil}
}

// Bytes without end in a response must not be collected: the exchange ends as soon as a
// limit is exceeded, and the connection is closed.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const anyID = "HTTP/1.1 200 OK\r\nId: z\r\n"
	const withID = "HTTP/1.1 200 OK\r\nId: a\r\n"
	const head = 64 << 10
	const foreign = 1 << 20
	tests := []struct {
		desc, prefix, repeated string
		maxBytes               int
	}{
		{"no HTTP", "", "x", head},
		{"status line", "HTTP/1.1 200 O", "K", head},
		{"header line", withID + "Name: ", "x", head},
		{"header name", withID, "x", head},
		{"folded header line", withID + "Name: x\r\n", " x\r\n", head},
		{"header lines", withID, "Name: x\r\n", head},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", head},
		{"header lines of an informational response", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n", head},
		{"responses to other requests", "", ok("z", "other"), head},
		{"body of a response to another request, without a length", anyID + "\r\n", "x", head + foreign},
		{"body of a response to another request, with a length", anyID + "Content-Length: 1099511627776\r\n\r\n", "x", head + foreign},
		{"chunks of a response to another request", anyID + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", head + foreign},
		{"body of a response without id", "HTTP/1.1 200 OK\r\n\r\n", "x", head + foreign},
		{"chunk extension", withID + "Transfer-Encoding: chunked\r\n\r\n1;", "x", head},
		{"chunk extensions", withID + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", head},
		{"trailer line", withID + "Transfer-Encoding: chunked\r\n\r\n0\r\nName: ", "x", head},
		{"trailer lines", withID + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n", head},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			u := newEndlessUpstream(tt.prefix, tt.repeated)
			if resp, err := u.client().Do(context.Background(), get("a")); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("response %v, error %v; want ErrOutcomeUnknown", resp, err)
			}
			if sent := <-u.sent; !sent.closed || sent.bytes > tt.maxBytes+readAheadBytes {
				t.Errorf("%d bytes were read, connection closed by the client: %v; want at most %d", sent.bytes, sent.closed, tt.maxBytes)
			}
		})
	}
}

// endlessBodies returns upstreams that respond with a body without end, by framing.
func endlessBodies() map[string]*endlessUpstream {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	return map[string]*endlessUpstream{
		"without a length": newEndlessUpstream(head+"\r\n", "x"),
		"with a length":    newEndlessUpstream(head+"Content-Length: 1099511627776\r\n\r\n", "x"),
		"chunked":          newEndlessUpstream(head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
	}
}

// Only the beginning of the body of a valid response is buffered. Closing
// it ends the connection without reading the rest.
func TestEndlessBodyIsReadOnlyOnDemand(t *testing.T) {
	for desc, u := range endlessBodies() {
		t.Run(desc, func(t *testing.T) {
			resp, err := u.client().Do(context.Background(), get("a"))
			if err != nil || resp.Rest == nil {
				t.Fatalf("response %v, error %v; want the beginning of a body", resp, err)
			}
			if err := resp.Rest.Close(); err != nil {
				t.Error(err)
			}
			const maxBytes = bodyBufferBytes + bodyBufferBytes/64
			if sent := <-u.sent; !sent.closed || sent.bytes > maxBytes+readAheadBytes {
				t.Errorf("%d bytes were read, connection closed by the client: %v; want at most %d", sent.bytes, sent.closed, maxBytes)
			}
		})
	}
}

// Guards against a valid response that is read without end until its deadline.
func TestBodyWithoutEndIsBrokenOffAtTheLimit(t *testing.T) {
	const limit = 2 << 20
	for desc, u := range endlessBodies() {
		t.Run(desc, func(t *testing.T) {
			c := u.client()
			c.maxBody = limit
			resp, err := c.Do(context.Background(), get("a"))
			if err != nil || resp.Rest == nil {
				t.Fatalf("response %v, error %v; want the beginning of a body", resp, err)
			}
			defer resp.Close()
			if n, err := io.Copy(io.Discard, resp.Rest); !errors.Is(err, errBodyTooLong) || n > limit {
				t.Errorf("%d bytes, error %v; want at most %d and errBodyTooLong", n, err, limit)
			}
		})
	}
}

// Bytes that follow a complete response end the connection: they belong to no request.
func TestEndlessBytesAfterResponseAreNotRead(t *testing.T) {
	u := newEndlessUpstream(ok("a", "whole")+"x", "x")
	resp, err := u.client().Do(context.Background(), get("a"))
	if err != nil || string(resp.Body) != "whole" {
		t.Fatalf("response %v, error %v; want the whole body", resp, err)
	}
	if sent := <-u.sent; !sent.closed || sent.bytes > readAheadBytes {
		t.Errorf("%d bytes were read, connection closed by the client: %v; want at most %d", sent.bytes, sent.closed, readAheadBytes)
	}
}

// The limits must not cut a valid response: neither a long header, nor a body that is
// longer than each limit, nor one that follows long responses to other requests.
func TestLongValidResponseIsComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 256<<10)
	header := "Name: " + strings.Repeat("x", 40<<10) + "\r\n"
	var chunks strings.Builder
	for at := 0; at < len(long); at += 32 << 10 {
		fmt.Fprintf(&chunks, "8000\r\n%s\r\n", long[at:at+32<<10])
	}
	other := strings.Replace(ok("z", long[:600<<10]), "\r\n", "\r\n"+header, 1)
	const withID = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for desc, response := range map[string]string{
		"with a length":                fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", withID, header, len(long), long),
		"without a length":             withID + header + "\r\n" + long,
		"chunked":                      withID + header + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n",
		"after informational response": "HTTP/1.1 103 Early Hints\r\n" + header + "\r\n" + withID + header + "\r\n" + long,
		"after another response":       other + withID + header + "\r\n" + long,
	} {
		t.Run(desc, func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, more := read(r); more {
					send(t, conn, response)
				}
			})
			resp, err := c.Do(context.Background(), get("a"))
			if err != nil || resp.Rest == nil || resp.Status != http.StatusOK {
				t.Fatalf("response %v, error %v; want the beginning of a body", resp, err)
			}
			rest, err := io.ReadAll(resp.Rest)
			if err != nil || string(resp.Body)+string(rest) != long {
				t.Errorf("%d bytes, error %v; want %d bytes", len(resp.Body)+len(rest), err, len(long))
			}
		})
	}
}

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
	"time"
)

// serve starts an upstream that handles each connection with the function.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return NewClient(l.Addr().String())
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}}, IDHeader: "Id"}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// read reads one request with its body and returns its id.
func read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err == nil
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Log(err)
	}
}

func do(t *testing.T, c *Client, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Do(ctx, get(id))
}

// An upstream responds to each request twice. The second response arrives immediately
// or when the client awaits the response to the next request. It must not be returned
// for that request.
func TestDuplicateResponseIsNotMatchedToAnotherRequest(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					id, more := read(r)
					if !more {
						return
					}
					send(t, conn, ok(id, id))
					time.Sleep(delay)
					send(t, conn, ok(id, "again "+id))
				}
			})
			for i := range 20 {
				id := fmt.Sprint("r", i)
				resp, err := do(t, c, id)
				if err != nil || string(resp.Body) != id {
					t.Fatalf("%s: response %v, error %v", id, resp, err)
				}
				if i%2 == 0 {
					time.Sleep(delay / 2)
				}
			}
		})
	}
}

func TestMalformedResponsesAreErrors(t *testing.T) {
	tests := []struct{ desc, response string }{
		{"cut body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
		{"no HTTP", "garbage garbage\r\n\r\n"},
		{"cut header", "HTTP/1.1 200 OK\r\nId"},
		{"only a response to another request", ok("z", "other")},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, more := read(r); more {
					send(t, conn, tt.response)
				}
			})
			if _, err := do(t, c, "a"); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("error %v, want ErrOutcomeUnknown", err)
			}
		})
	}
}

// A response without a length ends when the connection is closed, but not when it is
// reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, more := read(r); !more {
					return
				}
				send(t, conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := do(t, c, "a")
			if reset {
				if !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("response %v, error %v; want ErrOutcomeUnknown", resp, err)
				}
				return
			}
			if err != nil || string(resp.Body) != "whole" {
				t.Errorf("response %v, error %v; want the whole body", resp, err)
			}
		})
	}
}

// An idle connection that the upstream has closed is detected before it is reused, so
// that the request is not lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if id, more := read(r); more {
			send(t, conn, ok(id, id))
		}
	})
	for i := range 5 {
		id := fmt.Sprint(i)
		if _, err := do(t, c, id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := do(t, NewClient(l.Addr().String()), "a"); !errors.Is(err, ErrConnRefused) || !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrConnRefused and ErrNotSent", err)
	}
}

// An upstream may respond before it has read a long body. The connection must not be
// reused, since the rest of the body has not been sent.
func TestEarlyResponseClosesConnection(t *testing.T) {
	conns := make(chan struct{}, 10)
	c := serve(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		send(t, conn, ok(req.Header.Get("Id"), "early"))
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
	})
	req := get("a")
	req.Method, req.Length = http.MethodPost, 64<<20
	req.Rest = strings.NewReader(strings.Repeat("x", 64<<20))
	resp, err := c.Do(context.Background(), req)
	if err != nil || string(resp.Body) != "early" {
		t.Fatalf("first request: response %v, error %v", resp, err)
	}
	if resp, err := do(t, c, "b"); err != nil || string(resp.Body) != "early" {
		t.Fatalf("second request: response %v, error %v", resp, err)
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, want 2", len(conns))
	}
}

// Cancelling the context must close the connection at once, because upstreams cancel
// a request when its connection closes.
func TestContextCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	c := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, more := read(r); more {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := c.Do(ctx, get("a")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want ErrOutcomeUnknown", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the upstream's connection is still open after 5 s")
	}
}

func TestStreamedBodiesAreComplete(t *testing.T) {
	long := strings.Repeat("0123456789", 100_000)
	for _, length := range []int64{int64(len(long)), -1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := serve(t, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				b, err := io.ReadAll(req.Body)
				if err != nil {
					return
				}
				send(t, conn, ok(req.Header.Get("Id"), string(b)))
			})
			req := get("a")
			req.Method, req.Length, req.Body, req.Rest = http.MethodPost, length, []byte(long[:10]), strings.NewReader(long[10:])
			resp, err := c.Do(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			got := string(resp.Body)
			if resp.Rest != nil {
				b, err := io.ReadAll(resp.Rest)
				if err != nil {
					t.Fatal(err)
				}
				got += string(b)
			}
			if got != long {
				t.Errorf("%d bytes came back, want %d", len(got), len(long))
			}
		})
	}
}

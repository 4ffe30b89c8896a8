// Package endless is a stand-in for an HTTP server whose response has no end, for tests.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// available bounds the response, so that a test of a client without a limit ends.
	available = 32 << 20
	chunk     = 4096
)

// Dialer returns a function for http.Transport.DialContext. Each connection responds with a
// header that has no end, until the client closes it. The connections have no buffer, so the
// channel receives the number of bytes that the client has read.
func Dialer() (dial func(context.Context, string, string) (net.Conn, error), sent <-chan int) {
	counts := make(chan int, 1)
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if n, ok := respond(server); ok {
				counts <- n
			}
		}()
		return client, nil
	}, counts
}

// respond reads a request and returns how many bytes of the response were read.
func respond(conn net.Conn) (sent int, ok bool) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0, false
	}
	sent, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nName: ")
	for err == nil && sent < available {
		var n int
		n, err = io.WriteString(conn, strings.Repeat("x", chunk))
		sent += n
	}
	return sent, true
}

package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// sendHalfBody sends a request with half of its body and returns the response. The
// connection stays open.
func sendHalfBody(t *testing.T, in *Ingress, length, timeoutMillis string) (*http.Response, net.Conn) {
	t.Helper()
	server := httptest.NewServer(in)
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	request := "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + length + "\r\n\r\nhalf"
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	return resp, c
}

// serverCloses reports whether the server closes the connection.
func serverCloses(c net.Conn) bool {
	_, err := io.Copy(io.Discard, c)
	return err == nil
}

// Guards against requests that stay open without limit because the caller sends only a
// part of the body.
func TestIncompleteBodyIsRejectedAtDeadline(t *testing.T) {
	u := startUpstream(t, nil)
	resp, c := sendHalfBody(t, newTestIngress(t, startPeer(t, newTestSidecar(u, 4))), "8", "300")
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", resp.StatusCode)
	}
	if !serverCloses(c) {
		t.Error("the connection stays open")
	}
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d requests reached the upstream, want 0", n)
	}
}

// Guards against callers that occupy a connection after a rejection by not sending
// the rest of the body.
func TestRejectedBodyClosesConnection(t *testing.T) {
	in := newTestIngress(t)
	in.Table().Limits.MaxBodyBytes = 16
	resp, c := sendHalfBody(t, in, "1000", "3000")
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", resp.StatusCode)
	}
	if !serverCloses(c) {
		t.Error("the connection stays open")
	}
}

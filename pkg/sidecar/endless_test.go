package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Guards against bytes without end, in a header, in trailers or between chunks, that are
// collected until the deadline. The upstream can send at most what the buffers of the
// connection hold besides the limits.
func TestEndlessBytesOfUpstreamAreCutOff(t *testing.T) {
	const maxBytes, available = 32 << 20, 128 << 20
	tests := []struct {
		desc, prefix, repeated string
		body                   bool
	}{
		{"status line", "HTTP/1.1 200 O", "K", false},
		{"header line", "HTTP/1.1 200 OK\r\nName: ", "x", false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "Name: x\r\n", false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", false},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", true},
		{"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: x\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			sent := make(chan int, 1)
			u := newRawUpstream(t, func(_ *rawUpstream, c net.Conn, _ *http.Request) bool {
				text := strings.Repeat(tt.repeated, 1+16384/len(tt.repeated))
				n, err := io.WriteString(c, tt.prefix)
				for err == nil && n < available {
					var k int
					k, err = io.WriteString(c, text)
					n += k
				}
				sent <- n
				return false
			})
			server := serveSidecar(t, newSidecar(u.listener.Addr().String(), Config{}))
			resp, err := server.Client().Do(newRequest("POST", server.URL, strings.NewReader("body")))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			switch {
			case tt.body && err == nil:
				t.Error("the broken response looks complete")
			case !tt.body && (err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun)):
				t.Errorf("response %v, error %v; want 502, not as not run", resp, err)
			}
			if n := <-sent; n > maxBytes {
				t.Errorf("the upstream could send %d bytes, want at most %d", n, maxBytes)
			}
		})
	}
}

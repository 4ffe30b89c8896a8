package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// A response whose header has no end must not be collected until the time limit.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	const available = 32 << 20
	sent := make(chan int, 1)
	c := NewClient(time.Second)
	c.http.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			n, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nName: ")
			for err == nil && n < available {
				var k int
				k, err = io.WriteString(server, strings.Repeat("x", 4096))
				n += k
			}
			sent <- n
		}()
		return client, nil
	}
	if got, err := c.ProbeLoad(t.Context(), "node", &pb.ProbeLoadRequest{}); err == nil {
		t.Errorf("got %v, want an error", got)
	}
	if n := <-sent; n > maxResponseHeaderBytes+(16<<10) {
		t.Errorf("%d bytes were read, want at most %d", n, maxResponseHeaderBytes)
	}
}

package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Guards against a second copy of a response that arrives late, when the next request is on
// the connection, and is taken for the response to that request.
func TestLateSecondCopyIsNotTheNextResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			u := newRawUpstream(t, func(_ *rawUpstream, c net.Conn, r *http.Request) bool {
				id := r.Header.Get(outcome.HeaderRequestID)
				copies := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", outcome.HeaderRequestID, id, len(id), id)
				_, _ = io.WriteString(c, copies)
				time.Sleep(delay)
				_, _ = io.WriteString(c, copies)
				return true
			})
			s := newSidecar(u.listener.Addr().String(), Config{})
			for i := range 20 {
				r := newRequest("GET", "http://x/", nil)
				id := fmt.Sprint("request-", i)
				r.Header.Set(outcome.HeaderRequestID, id)
				resp := do(s, r)
				body, _ := io.ReadAll(resp.Body)
				if resp.StatusCode == http.StatusOK && string(body) != id {
					t.Errorf("request %s got the response to %s", id, body)
				}
			}
		})
	}
}

package httplog

import (
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/standin/endless"
)

// A response whose header has no end must not be collected until the time limit.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	dial, sent := endless.Dialer()
	c := New(&url.URL{Scheme: "http", Host: "log"}, 10*time.Second)
	c.client.Transport.(*http.Transport).DialContext = dial
	if got, err := c.Read(t.Context(), "s", 0, 1); err == nil {
		t.Errorf("got %v, want an error", got)
	}
	if n := <-sent; n > maxResponseHeaderBytes+(16<<10) {
		t.Errorf("%d bytes were read, want at most %d", n, maxResponseHeaderBytes)
	}
}

package peer

import (
	"net/http"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/internal/standin/endless"
)

// A response whose header has no end must not be collected until the time limit.
func TestEndlessHeaderIsCutOff(t *testing.T) {
	dial, sent := endless.Dialer()
	c := NewClient(time.Second)
	c.http.Transport.(*http.Transport).DialContext = dial
	if got, err := c.ProbeLoad(t.Context(), "node", &pb.ProbeLoadRequest{}); err == nil {
		t.Errorf("got %v, want an error", got)
	}
	if n := <-sent; n > maxResponseHeaderBytes+(16<<10) {
		t.Errorf("%d bytes were read, want at most %d", n, maxResponseHeaderBytes)
	}
}

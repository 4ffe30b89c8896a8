package relay

import (
	"net/http"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// Guards against numbers in a response of another node that make its upstream unusable, or the
// best for all requests.
func TestUpstreamStateOutOfRangeIsRejected(t *testing.T) {
	if _, err := decodeState("u,1,7,3,0,100,5,0,30000,0"); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		"u,1,1000000000000000000,3,0,100,5,0,30000,0", "u,1,-7,3,0,100,5,0,30000,0", "u,1,7,-3,0,100,5,0,30000,0",
		"u,1,7,3,0,100,-5,0,30000,0", "u,1,7,3,0,100,9223372036854775807,0,30000,0", "u,1,7,3,0,100,5,9223372036854775807,30000,0",
		"u,1,7,3,0,9223372036854775807,5,0,30000,0", "u,1,7,3,0,100,5,0,-1,0", "u,1,7,3,0,100,5,0,30000,1001",
		"u,1,7,3,0,100,5,0,99999999999999999999,0", "%0a,1,7,3,0,100,5,0,30000,0",
	} {
		if u, err := decodeState(text); err == nil {
			t.Errorf("%s was decoded to %+v", text, u)
		}
	}
}

// An invalid state of the upstream must not lose the response that came with it.
func TestInvalidStateDoesNotLoseResponse(t *testing.T) {
	outcome := (&Result{Kind: Completed, State: roster.Upstream{ID: "u", Limit: -7}}).encodeOutcome()
	r := peerResult(&http.Response{StatusCode: http.StatusOK, Header: http.Header{outcomeHeader: {outcome}}})
	if r.Kind != Completed || r.State != (roster.Upstream{}) {
		t.Errorf("%+v, want a completed call with an unknown state", r)
	}
}

// A result of an unknown kind was sent to the caller with the status of the hop, 200.
func TestUnknownKindOfResultIsFailure(t *testing.T) {
	for _, kind := range []Kind{"", "other", "Answered"} {
		outcome := (&Result{Kind: kind}).encodeOutcome()
		r := peerResult(&http.Response{StatusCode: http.StatusOK, Header: http.Header{outcomeHeader: {outcome}}})
		if r.Kind != Failed || r.Status != 0 {
			t.Errorf("kind %q: %+v, want a failed call", kind, r)
		}
	}
}

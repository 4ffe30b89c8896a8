package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// The configured limit also applies to the header of a request.
func TestOversizedHeadersAreRejected(t *testing.T) {
	u := startUpstream(t, nil)
	in := newTestIngress(t, startPeer(t, newTestSidecar(u, 4)))
	table, err := route.NewTable(2, route.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1 << 20}, []route.Service{{Name: "svc"}}, []*route.Route{in.Table().Route("safe")})
	if err != nil {
		t.Fatal(err)
	}
	in.Install(table)
	for size, want := range map[int]int{1000: http.StatusOK, 3000: http.StatusRequestHeaderFieldsTooLarge} {
		r := httptest.NewRequest(http.MethodGet, "/safe/", nil)
		r.Host = "h"
		r.Header.Set("X-Large", strings.Repeat("x", size))
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("%d bytes: status %d, want %d", size, w.Code, want)
		}
	}
	if n := len(u.requests()); n != 1 {
		t.Errorf("%d requests reached the upstream, want 1", n)
	}
}

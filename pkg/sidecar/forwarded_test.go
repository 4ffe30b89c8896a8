package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Guards against accepting headers with values beyond the limits.
func FuzzParseForwarded(f *testing.F) {
	f.Add("urgent", "shop-1", "id", "100", "3", "wait", "1")
	f.Add("", "::1", "", "", "27", "no-wait", "-1")
	f.Fuzz(func(t *testing.T, rank, caller, id, timeout, depth, queue, attempt string) {
		r := httptest.NewRequest("GET", "http://x/", nil)
		for name, value := range map[string]string{
			outcome.HeaderRank: rank, outcome.HeaderCaller: caller, outcome.HeaderRequestID: id, outcome.HeaderTimeout: timeout,
			outcome.HeaderDepth: depth, outcome.HeaderQueue: queue, outcome.HeaderAttempt: attempt,
		} {
			r.Header.Set(name, value)
		}
		got, problem := parseForwarded(r)
		if problem != nil {
			if problem.Outcome != outcome.NotRun || problem.Field == "" {
				t.Errorf("problem %+v", problem)
			}
			return
		}
		if !ident.Valid(got.rank) || len(got.caller) > ident.MaxBytes || len(got.requestID) > maxRequestIDBytes ||
			got.timeout <= 0 || got.timeout > maxTimeout || got.depth < 0 || got.depth > maxDepth {
			t.Errorf("accepted %+v", got)
		}
	})
}

// Guards against accepting protocol features that the sidecar cannot forward, and
// invalid headers.
func TestUnsupportedRequestsAreRejected(t *testing.T) {
	tests := []struct {
		desc   string
		change func(*http.Request)
		status int
	}{
		{"upgrade", func(r *http.Request) { r.Header.Set("Upgrade", "websocket") }, 501},
		{"connect", func(r *http.Request) { r.Method = "CONNECT" }, 501},
		{"HTTP/1.0", func(r *http.Request) { r.ProtoMinor = 0 }, 505},
		{"other incarnation", func(r *http.Request) { r.Header.Set(outcome.HeaderTargetIncarnation, "8") }, 503},
		{"too deep", func(r *http.Request) { r.Header.Set(outcome.HeaderDepth, "27") }, 508},
		{"two ranks", func(r *http.Request) { r.Header.Add(outcome.HeaderRank, "batch") }, 400},
		{"no timeout left", func(r *http.Request) { r.Header.Set(outcome.HeaderTimeout, "0") }, 400},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			r := newRequest("GET", "http://x/", nil)
			tt.change(r)
			resp := do(newSidecar(closedAddress, Config{}), r)
			if resp.StatusCode != tt.status || resp.Header.Get(outcome.HeaderOutcome) != string(outcome.NotRun) {
				t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
			}
		})
	}
}

// Compares requests through the sidecar with direct requests to an upstream on loopback.
func BenchmarkSidecar(b *testing.B) {
	u := newRawUpstream(b, respond(okResponse, true))
	address := u.listener.Addr().String()
	s := newSidecar(address, Config{LeaseTTL: 1 << 40})
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			resp, err := http.Get("http://" + address)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.Run("sidecar", func(b *testing.B) {
		for b.Loop() {
			if resp := do(s, newRequest("GET", "http://x/", nil)); resp.StatusCode != 200 {
				b.Fatal(resp.StatusCode)
			}
		}
	})
}

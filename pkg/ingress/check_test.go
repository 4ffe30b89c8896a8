package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

var testIntent = &intent.Intent{
	Services: []intent.Service{{Name: "kasse", MaxBodyBytes: 100}},
	Ranks:    []intent.Rank{{Name: "urgent"}, {Name: "batch"}},
}

// Guards against headers outside the limits reaching upstreams, and against
// rejections that don't name the field.
func TestCheckCall(t *testing.T) {
	long := strings.Repeat("a", 300)
	for _, tc := range []struct {
		desc, header, value string
		status              int
	}{
		{"valid", "X-Other", "1", 0},
		{"unknown service", outcome.HeaderService, "none", 404},
		{"bad service", outcome.HeaderService, "Kasse", 400},
		{"no rank", outcome.HeaderRank, "", 400},
		{"unknown rank", outcome.HeaderRank, "none", 400},
		{"timeout 0", outcome.HeaderTimeout, "0", 400},
		{"timeout too long", outcome.HeaderTimeout, "300001", 400},
		{"longest timeout", outcome.HeaderTimeout, "300000", 0},
		{"signed timeout", outcome.HeaderTimeout, "+5", 400},
		{"empty timeout", outcome.HeaderTimeout, "", 400},
		{"deepest", outcome.HeaderDepth, "26", 0},
		{"too deep", outcome.HeaderDepth, "27", 508},
		{"negative depth", outcome.HeaderDepth, "-1", 400},
		{"bad caller", outcome.HeaderCaller, "a b", 400},
		{"long caller", outcome.HeaderCaller, long[:65], 400},
		{"longest key", outcome.HeaderIdempotencyKey, long[:256], 0},
		{"long key", outcome.HeaderIdempotencyKey, long[:257], 400},
		{"quoted key", outcome.HeaderIdempotencyKey, `"a \" b"`, 0},
		{"unfinished key", outcome.HeaderIdempotencyKey, `"a`, 400},
		{"key with parameter", outcome.HeaderIdempotencyKey, `"a";b`, 400},
		{"empty key", outcome.HeaderIdempotencyKey, "", 400},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := httptest.NewRequest("POST", "/", nil)
			r.Header.Set(outcome.HeaderService, "kasse")
			r.Header.Set(outcome.HeaderRank, "batch")
			r.Header.Set(tc.header, tc.value)
			_, p := checkCall(r, "id", testIntent, time.Second)
			switch {
			case p == nil && tc.status != 0:
				t.Errorf("accepted, want %d", tc.status)
			case p != nil && (p.Status != tc.status || p.Field != tc.header || p.Outcome != outcome.NotRun):
				t.Errorf("got %d, field %q, outcome %q", p.Status, p.Field, p.Outcome)
			}
		})
	}
}

// Guards against accepting requests that can't be forwarded or responded to safely.
func TestCheckProtocol(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		change func(r *http.Request)
		status int
	}{
		{"valid", func(*http.Request) {}, 0},
		{"http/1.0", func(r *http.Request) { r.ProtoMinor = 0 }, 505},
		{"connect", func(r *http.Request) { r.Method = "CONNECT" }, 501},
		{"trace", func(r *http.Request) { r.Method = "TRACE" }, 405},
		{"upgrade", func(r *http.Request) { r.Header.Set("Upgrade", "websocket") }, 501},
		{"large header", func(r *http.Request) { r.Header.Set("X", strings.Repeat("a", 16<<10)) }, 431},
		{"expectation", func(r *http.Request) { r.Header.Set("Expect", "more") }, 417},
		{"duplicate", func(r *http.Request) { r.Header[outcome.HeaderRank] = []string{"a", "a"} }, 400},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/", nil)
			tc.change(r)
			p := checkProtocol(r)
			if (p == nil) != (tc.status == 0) || (p != nil && p.Status != tc.status) {
				t.Errorf("got %v, want %d", p, tc.status)
			}
		})
	}
}

// Guards against panics and against accepting values outside the limits.
func FuzzCheckCall(f *testing.F) {
	f.Add("kasse", "batch", "100", "0", "caller", `"key"`, "id")
	f.Add("kasse", "batch", "+1", "27", "", `"\`, "\x00")
	f.Fuzz(func(t *testing.T, service, rank, timeout, depth, caller, key, id string) {
		r := httptest.NewRequest("POST", "/", nil)
		for name, v := range map[string]string{
			outcome.HeaderService: service, outcome.HeaderRank: rank, outcome.HeaderTimeout: timeout,
			outcome.HeaderDepth: depth, outcome.HeaderCaller: caller, outcome.HeaderIdempotencyKey: key,
			outcome.HeaderRequestID: id,
		} {
			r.Header[name] = []string{v}
		}
		got, _ := requestID(r)
		c, p := checkCall(r, got, testIntent, time.Second)
		if p != nil {
			if p.Outcome != outcome.NotRun || p.Field == "" {
				t.Errorf("rejected with %+v, want outcome not-run and a field", p)
			}
			return
		}
		inLimits := c.timeout >= time.Millisecond && c.timeout <= maxTimeout && c.depth >= 1 &&
			c.depth <= maxDepth+1 && len(c.key) <= maxKeyBytes && len(c.caller) <= ident.MaxBytes &&
			len(c.id) <= maxRequestIDBytes && visibleASCII(c.id)
		if !inLimits {
			t.Errorf("accepted values outside the limits: %+v", c)
		}
	})
}

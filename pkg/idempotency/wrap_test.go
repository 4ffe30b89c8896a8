package idempotency

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// clock is a monotonic clock that the test sets.
type clock struct{ now time.Duration }

func newRegistry(t testing.TB, cfg Config) (*Registry, *clock) {
	t.Helper()
	c := &clock{}
	cfg.NodeID, cfg.Incarnation, cfg.Now = "n1", 5, func() time.Duration { return c.now }
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r, c
}

func issue(t testing.TB, r *Registry) string {
	t.Helper()
	key, _, err := r.Issue("kasse")
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func request(method, target, key, body string) *http.Request {
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	req.Header.Set(outcome.HeaderService, "kasse")
	if key != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, key)
	}
	return req
}

// upstreamHandler counts executions and responds with the configured outcome.
type upstreamHandler struct {
	runs          int
	outcome       outcome.Outcome
	response      string
	abortResponse bool
	skipBody      bool
}

func (u *upstreamHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !u.skipBody {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	u.runs++
	if u.outcome != "" {
		w.Header().Set(outcome.HeaderOutcome, string(u.outcome))
	}
	w.Header().Set("X-Answer", "first")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, u.response)
	if u.abortResponse {
		panic(http.ErrAbortHandler)
	}
}

func send(h http.Handler, req *http.Request) (rec *httptest.ResponseRecorder) {
	rec = httptest.NewRecorder()
	defer func() { _ = recover() }()
	h.ServeHTTP(rec, req)
	return rec
}

func check(t *testing.T, rec *httptest.ResponseRecorder, status int, o outcome.Outcome) {
	t.Helper()
	if got := rec.Header().Get(outcome.HeaderOutcome); rec.Code != status || got != string(o) {
		t.Fatalf("response %d %q, want %d %q: %s", rec.Code, got, status, o, rec.Body)
	}
}

// Guards against a second execution and against a wrong outcome, for each way in
// which the first request can end and in which the resend can differ from it.
func TestResend(t *testing.T) {
	run := upstreamHandler{outcome: outcome.Run, response: "done"}
	for _, c := range []struct {
		desc    string
		first   upstreamHandler
		resend  func(key string) *http.Request
		status  int
		outcome outcome.Outcome
		runs    int
	}{
		{"same request", run, nil, 201, outcome.Run, 1},
		{"not run", upstreamHandler{outcome: outcome.NotRun}, nil, 201, outcome.NotRun, 2},
		{"unknown", upstreamHandler{outcome: outcome.Unknown}, nil, 410, outcome.Unknown, 1},
		{"no outcome header", upstreamHandler{}, nil, 410, outcome.Unknown, 1},
		{"aborted response", upstreamHandler{outcome: outcome.Run, abortResponse: true}, nil, 410, outcome.Unknown, 1},
		{"aborted rejection", upstreamHandler{outcome: outcome.NotRun, abortResponse: true}, nil, 410, outcome.Unknown, 1},
		{"response too large", upstreamHandler{outcome: outcome.Run, response: strings.Repeat("x", DefaultMaxResponseBytes+1)}, nil, 409, outcome.Run, 1},
		{"body not read", upstreamHandler{outcome: outcome.Run, skipBody: true}, nil, 201, outcome.Run, 1},
		{"quoted key", run, func(k string) *http.Request { return request("POST", "/p?q=1", `"`+k+`"`, "body") }, 201, outcome.Run, 1},
		{"other method", run, func(k string) *http.Request { return request("PUT", "/p?q=1", k, "body") }, 422, outcome.NotRun, 1},
		{"other path", run, func(k string) *http.Request { return request("POST", "/o?q=1", k, "body") }, 422, outcome.NotRun, 1},
		{"other query", run, func(k string) *http.Request { return request("POST", "/p?q=2", k, "body") }, 422, outcome.NotRun, 1},
		{"other body", run, func(k string) *http.Request { return request("POST", "/p?q=1", k, "bodY") }, 422, outcome.NotRun, 1},
		{"longer body", run, func(k string) *http.Request {
			r := request("POST", "/p?q=1", k, "body2")
			r.ContentLength = -1
			return r
		}, 422, outcome.NotRun, 1},
		{"other service", run, func(k string) *http.Request {
			r := request("POST", "/p?q=1", k, "body")
			r.Header.Set(outcome.HeaderService, "katalog")
			return r
		}, 422, outcome.NotRun, 1},
		{"two keys", run, func(k string) *http.Request {
			r := request("POST", "/p?q=1", k, "body")
			r.Header.Add(outcome.HeaderIdempotencyKey, "plain")
			return r
		}, 400, outcome.NotRun, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			r, _ := newRegistry(t, Config{})
			h := r.Wrap(&c.first)
			key := issue(t, r)
			send(h, request("POST", "/p?q=1", key, "body"))
			resend := request("POST", "/p?q=1", key, "body")
			if c.resend != nil {
				resend = c.resend(key)
			}
			rec := send(h, resend)
			check(t, rec, c.status, c.outcome)
			if c.first.runs != c.runs {
				t.Errorf("%d executions, want %d", c.first.runs, c.runs)
			}
			if rec.Code == 201 && (rec.Header().Get("X-Answer") != "first" || rec.Body.String() != c.first.response) {
				t.Errorf("recorded response %q %v", rec.Body, rec.Header())
			}
		})
	}
}

// Guards against running a request whose key may have been removed, and against
// the outcome not-run when the registry cannot determine the outcome.
func TestTokenValidity(t *testing.T) {
	for _, c := range []struct {
		desc    string
		used    bool
		age     time.Duration
		status  int
		outcome outcome.Outcome
	}{
		{"fresh", false, DefaultTTL - time.Millisecond, 201, outcome.Run},
		{"expired, never used", false, DefaultTTL, 410, outcome.NotRun},
		{"expired, used", true, DefaultTTL, 201, outcome.Run},
		{"removed, never used", false, DefaultTTL + DefaultRetention, 410, outcome.Unknown},
		{"removed, used", true, DefaultTTL + DefaultRetention, 410, outcome.Unknown},
	} {
		t.Run(c.desc, func(t *testing.T) {
			r, clk := newRegistry(t, Config{})
			u := &upstreamHandler{outcome: outcome.Run}
			h := r.Wrap(u)
			key := issue(t, r)
			if c.used {
				send(h, request("POST", "/", key, ""))
			}
			clk.now = c.age
			check(t, send(h, request("POST", "/", key, "")), c.status, c.outcome)
			clk.now = 0
			if rec := send(h, request("POST", "/", key, "")); rec.Code != c.status {
				t.Errorf("a clock that steps back changed the status to %d", rec.Code)
			}
			if u.runs > 1 {
				t.Errorf("%d executions", u.runs)
			}
		})
	}
}

// Guards against accepting tokens that another registry issued, and against rejecting
// requests without a token.
func TestForeignKeys(t *testing.T) {
	r, _ := newRegistry(t, Config{})
	otherSecret, _ := newRegistry(t, Config{})
	otherIncarnation, err := New(Config{NodeID: "n1", Incarnation: 4})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		desc, key string
		status    int
		outcome   outcome.Outcome
		runs      int
	}{
		{"earlier incarnation", issue(t, otherIncarnation), 410, outcome.Unknown, 0},
		{"other secret", issue(t, otherSecret), 400, outcome.NotRun, 0},
		{"plain key", "order-17", 201, outcome.Run, 1},
		{"no key", "", 201, outcome.Run, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			u := &upstreamHandler{outcome: outcome.Run}
			check(t, send(r.Wrap(u), request("POST", "/", c.key, "")), c.status, c.outcome)
			if u.runs != c.runs {
				t.Errorf("%d executions, want %d", u.runs, c.runs)
			}
		})
	}
}

// Guards against unbounded memory for tokens, keys and responses.
func TestBounds(t *testing.T) {
	const limit = 100
	r, clk := newRegistry(t, Config{MaxTokens: limit, MaxTotalResponseBytes: 1000})
	u := &upstreamHandler{outcome: outcome.Run, response: strings.Repeat("x", 300)}
	h := r.Wrap(u)
	var first string
	for range 10 {
		for range limit {
			key := issue(t, r)
			if first == "" {
				first = key
			}
			send(h, request("POST", "/", key, ""))
		}
		var limitErr *LimitError
		if _, _, err := r.Issue("kasse"); !errors.As(err, &limitErr) || limitErr.RetryAfter <= 0 {
			t.Fatalf("error %v, want a LimitError", err)
		}
		if clk.now == 0 {
			check(t, send(h, request("POST", "/", first, "")), 409, outcome.Run)
		}
		if s := r.Stats(); s.Keys > 2*limit || s.ResponseBytes > 1000 {
			t.Fatalf("state %+v", s)
		}
		clk.now += DefaultTTL
	}
	clk.now += DefaultTTL
	for range 10 {
		issue(t, r)
	}
	if s := r.Stats(); s.Keys != 0 || s.ResponseBytes != 0 || s.Tokens != 10 {
		t.Errorf("state %+v after all keys expired", s)
	}
}

// Guards against panics and second executions on malformed requests.
func FuzzWrap(f *testing.F) {
	f.Add("POST", "p?q=1", "body", "", true)
	f.Add("GET", "p", "", "AQ", false)
	f.Fuzz(func(t *testing.T, method, target, body, key string, useIssuedKey bool) {
		req, err := http.NewRequest(method, "http://kasse/"+target, strings.NewReader(body))
		if err != nil {
			return
		}
		r, _ := newRegistry(t, Config{})
		if useIssuedKey {
			key = issue(t, r)
		}
		req.Header.Set(outcome.HeaderIdempotencyKey, key)
		u := &upstreamHandler{outcome: outcome.Run}
		h := r.Wrap(u)
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		resend := req.Clone(t.Context())
		resend.Body = io.NopCloser(strings.NewReader(body))
		h.ServeHTTP(httptest.NewRecorder(), resend)
		if useIssuedKey && u.runs != 1 {
			t.Fatalf("%d executions", u.runs)
		}
	})
}

package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// do serves one request. If the handler aborts the connection by a panic, the response
// contains what was written before.
func do(ctx context.Context, h http.Handler, method, target, body string, headers ...string) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequest(method, target, strings.NewReader(body)).WithContext(ctx)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w = httptest.NewRecorder()
	defer func() { _ = recover() }()
	h.ServeHTTP(w, r)
	return w
}

// Guards against executions that are missing from the journal or recorded wrongly:
// the history checkers rely on the journal.
func TestJournal(t *testing.T) {
	sum := sha256.Sum256([]byte("body"))
	digest := hex.EncodeToString(sum[:])
	for _, c := range []struct {
		desc      string
		headers   []string
		faults    Faults
		status    int
		body      string
		completed bool
		took      time.Duration
	}{
		{"plain", nil, Faults{ServiceTimeMs: 5}, 200, "kasse POST /p 4\n", true, 5 * time.Millisecond},
		{"slow", nil, Faults{ServiceTimeMs: 5, SlowFactor: 4}, 200, "kasse POST /p 4\n", true, 20 * time.Millisecond},
		{"echo", []string{HeaderEcho, "1"}, Faults{}, 200, "body", true, 0},
		{"stream", []string{HeaderStream, "2/7"}, Faults{}, 200, "chunk 0\nchunk 1\n", true, 14 * time.Millisecond},
		{"fail fast", nil, Faults{ServiceTimeMs: 5, FailProbability: 1}, 500, "failing fast\n", true, 0},
		{"deadline", []string{outcome.HeaderTimeout, "3"}, Faults{ServiceTimeMs: 5}, 504, "", false, 3 * time.Millisecond},
		{"deadline in stream", []string{outcome.HeaderTimeout, "10", HeaderStream, "2/7"}, Faults{}, 200, "chunk 0\n", false, 10 * time.Millisecond},
		{"crash", []string{HeaderCrash, "1"}, Faults{}, 200, "", false, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashed := false
				s := New(Config{Service: "kasse", Slots: 1, Crash: func() { crashed = true }})
				if err := s.SetFaults(c.faults); err != nil {
					t.Fatal(err)
				}
				headers := append([]string{outcome.HeaderRequestID, "r1", outcome.HeaderIdempotencyKey, "k1"}, c.headers...)
				w := do(t.Context(), s, "POST", "/p", "body", headers...)
				if w.Code != c.status || c.body != "" && w.Body.String() != c.body || w.Header().Get(HeaderChecksum) != digest {
					t.Errorf("response %d %q %v", w.Code, w.Body, w.Header())
				}
				got := s.Journal().Executions
				want := Execution{"r1", "k1", "POST", digest, 0, c.took, c.completed}
				if len(got) != 1 || got[0] != want {
					t.Errorf("journal %+v, want %+v", got, want)
				}
				if crashed != (c.desc == "crash") {
					t.Errorf("crashed: %v", crashed)
				}
			})
		})
	}
}

// Guards against a journal that grows without limit or loses the newest entries.
func TestJournalIsBounded(t *testing.T) {
	s := New(Config{JournalEntries: 3})
	for i := range 8 {
		do(t.Context(), s, "GET", "/", "", outcome.HeaderRequestID, strconv.Itoa(i))
	}
	var j Journal
	if err := json.Unmarshal(do(t.Context(), s, "GET", "/journal", "").Body.Bytes(), &j); err != nil {
		t.Fatal(err)
	}
	if j.Dropped != 5 || len(j.Executions) != 3 || j.Executions[0].RequestID != "5" || j.Executions[2].RequestID != "7" {
		t.Errorf("journal %+v", j)
	}
}

// Guards against more concurrent requests than slots, and against a rejected
// request that was executed.
func TestSlots(t *testing.T) {
	for _, reject := range []bool{false, true} {
		t.Run("reject when full "+strconv.FormatBool(reject), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Slots: 2})
				if err := s.SetFaults(Faults{ServiceTimeMs: 10, RejectWhenFull: reject, LoadLagMs: 100}); err != nil {
					t.Fatal(err)
				}
				var served, rejected atomic.Int32
				for range 4 {
					go func() {
						w := do(t.Context(), s, "GET", "/", "")
						if w.Header().Get(outcome.HeaderOutcome) == string(outcome.NotRun) && w.Code == 503 {
							rejected.Add(1)
						} else {
							served.Add(1)
						}
					}()
				}
				synctest.Wait()
				first := do(t.Context(), s, "GET", "/load", "").Body.String()
				time.Sleep(15 * time.Millisecond)
				stale := do(t.Context(), s, "GET", "/load", "").Body.String()
				time.Sleep(10 * time.Millisecond)
				want := int32(4)
				if reject {
					want = 2
				}
				if served.Load() != want || rejected.Load() != 4-want || len(s.Journal().Executions) != int(want) {
					t.Errorf("%d served, %d rejected", served.Load(), rejected.Load())
				}
				if !strings.Contains(first, `"in_flight":2`) || stale != first {
					t.Errorf("load %s, then %s", first, stale)
				}
			})
		})
	}
}

// Guards against distributions whose mean differs from the configured one.
func TestServiceTimeMean(t *testing.T) {
	const draws, mean = 20000, 10.0
	for _, f := range []Faults{
		{Distribution: Constant}, {Distribution: Exponential}, {Distribution: LogNormal, Sigma: 1},
	} {
		s := New(Config{Seed: 1})
		f.ServiceTimeMs = mean
		if err := s.SetFaults(f); err != nil {
			t.Fatal(err)
		}
		var sum time.Duration
		for range draws {
			d, _ := s.draw()
			sum += d
		}
		if got := float64(sum.Microseconds()) / 1000 / draws; math.Abs(got-mean) > mean/20 {
			t.Errorf("%s: mean %v ms, want %v ms", f.Distribution, got, mean)
		}
	}
}

// Guards against invalid faults being accepted.
func TestFaultsValidation(t *testing.T) {
	for _, c := range []struct {
		desc, body string
		status     int
	}{
		{"valid", `{"service_time_ms": 3, "distribution": "lognormal", "sigma": 0.5}`, 200},
		{"unknown field", `{"slow": 3}`, 400},
		{"unknown distribution", `{"distribution": "pareto"}`, 400},
		{"probability above 1", `{"fail_probability": 1.5}`, 400},
		{"negative time", `{"service_time_ms": -1}`, 400},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := New(Config{})
			if w := do(t.Context(), s, "PUT", "/faults", c.body); w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
		})
	}
}

// Guards against a warming or draining upstream that announces itself as ready,
// and against a cold start at full speed.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ColdStart: time.Second, ServiceTime: 10 * time.Millisecond})
		cold, _ := s.draw()
		if s.state() != sidecar.StateWarming || cold != 40*time.Millisecond {
			t.Errorf("at start: %s, %v", s.state(), cold)
		}
		time.Sleep(time.Second)
		warm, _ := s.draw()
		if s.state() != sidecar.StateReady || warm != 10*time.Millisecond {
			t.Errorf("after the cold start: %s, %v", s.state(), warm)
		}
		s.Drain()
		s.Drain()
		if s.state() != sidecar.StateDraining {
			t.Errorf("draining: %s", s.state())
		}
	})
}

// Guards against calls that don't forward the deadline, depth, rank or request id.
func TestCallForwardsHeaders(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.15.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan http.Header, 1)
	node := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		_, _ = io.WriteString(w, "ok")
	}))
	_ = node.Listener.Close()
	node.Listener = l
	node.Start()
	defer node.Close()
	s := New(Config{NodeURL: node.URL})
	defer s.callClient.CloseIdleConnections()
	w := do(t.Context(), s, "GET", "/p", "", HeaderCall, "lager//3", outcome.HeaderRank, "urgent",
		outcome.HeaderDepth, "2", outcome.HeaderRequestID, "r1", outcome.HeaderTimeout, "60000")
	if w.Code != 200 {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	h := <-got
	for name, want := range map[string]string{
		outcome.HeaderService: "lager", outcome.HeaderRank: "urgent", outcome.HeaderDepth: "2",
		outcome.HeaderRequestID: "r1", HeaderCall: "lager//2",
	} {
		if h.Get(name) != want {
			t.Errorf("%s: %q, want %q", name, h.Get(name), want)
		}
	}
	if ms, err := strconv.Atoi(h.Get(outcome.HeaderTimeout)); err != nil || ms <= 0 || ms > 60000 {
		t.Errorf("timeout %q", h.Get(outcome.HeaderTimeout))
	}
}

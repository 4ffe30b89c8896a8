package quarantine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// fakeBroadcaster counts reports. Each takes the given delay.
type fakeBroadcaster struct {
	delay time.Duration
	count atomic.Int32
}

func (r *fakeBroadcaster) Report(context.Context, string, []*pb.QuarantineEntry) error {
	time.Sleep(r.delay)
	r.count.Add(1)
	return nil
}

func newGuard(b Broadcaster, crashed bool) (*Guard, *Table) {
	table := NewTable(TableConfig{})
	return NewGuard(Config{
		Service:    func() string { return "kasse" },
		Designated: func(uint64) (string, bool) { return "n0", true },
		Crashed:    func(context.Context) bool { return crashed },
	}, table, b, event.Discard()), table
}

func addSuspect(t *Table, fingerprint uint64) {
	t.Apply([]*pb.QuarantineEntry{{Fingerprint: fingerprint, State: StateSuspect, Crashes: 1}})
}

// serve sends a request with the fingerprint and returns the status, 0 if aborted.
func serve(ctx context.Context, h http.Handler, fingerprint string) (status int) {
	r := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
	r.Header.Set(outcome.HeaderFingerprint, fingerprint)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	h.ServeHTTP(w, r)
	return w.Code
}

func writeOutcome(w http.ResponseWriter, status int, reason outcome.Reason, o outcome.Outcome) {
	outcome.New(status, reason, o, "").Write(w)
}

// Guards against several reports of one crash, and against a failed or aborted
// response that the caller receives before the report is acknowledged.
func TestOneReportPerCrash(t *testing.T) {
	for _, c := range []struct {
		desc  string
		abort bool
	}{{"answered", false}, {"aborted", true}} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fakeBroadcaster{delay: 100 * time.Millisecond}
				g, table := newGuard(b, c.abort)
				crashCh := make(chan struct{})
				h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					<-crashCh
					if c.abort {
						panic(http.ErrAbortHandler)
					}
					writeOutcome(w, http.StatusBadGateway, outcome.ReasonUpstreamCrashed, outcome.Unknown)
				}))
				start := time.Now()
				var responses atomic.Int32
				for _, f := range []string{"1", "2", "3", ""} {
					go func() {
						serve(t.Context(), h, f)
						if time.Since(start) < b.delay {
							t.Error("response before the report was acknowledged")
						}
						responses.Add(1)
					}()
				}
				synctest.Wait()
				close(crashCh)
				time.Sleep(2 * b.delay)
				if b.count.Load() != 1 || responses.Load() != 4 {
					t.Errorf("%d reports and %d responses, want 1 and 4", b.count.Load(), responses.Load())
				}
				for f := range uint64(3) {
					if s := table.State(f + 1); s != StateSuspect {
						t.Errorf("fingerprint %d has state %v, want suspect", f+1, s)
					}
				}
			})
		})
	}
}

// Guards against a trial that runs concurrently with other requests, and against a
// wrong state after it.
func TestTrial(t *testing.T) {
	for _, c := range []struct {
		desc        string
		status      int
		reason      outcome.Reason
		outcome     outcome.Outcome
		want        State
		laterStatus int
		runs        int32
	}{
		{"survives", 200, "", outcome.Run, StateCleared, 200, 3},
		{"crashes", 502, outcome.ReasonUpstreamCrashed, outcome.Unknown, StateBlocked, 422, 1},
		{"not run", 503, outcome.ReasonLeaseLapsed, outcome.NotRun, StateSuspect, 503, 3},
		{"not run after a crash", 503, outcome.ReasonUpstreamCrashed, outcome.NotRun, StateSuspect, 503, 3},
		{"unknown", 504, outcome.ReasonDeadline, outcome.Unknown, StateSuspect, 504, 3},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, table := newGuard(&fakeBroadcaster{}, false)
				addSuspect(table, 7)
				var running, runs atomic.Int32
				h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					alone := running.Add(1) == 1
					defer running.Add(-1)
					trial := table.State(7) == StateSuspect
					if r.Header.Get(outcome.HeaderFingerprint) != "7" {
						time.Sleep(50 * time.Millisecond)
						return
					}
					runs.Add(1)
					if trial && !alone {
						t.Error("a trial runs concurrently with other requests")
					}
					time.Sleep(10 * time.Millisecond)
					writeOutcome(w, c.status, c.reason, c.outcome)
				}))
				go serve(t.Context(), h, "1")
				go serve(t.Context(), h, "")
				synctest.Wait()
				if got := serve(t.Context(), h, "7"); got != c.status {
					t.Errorf("first request: status %d, want %d", got, c.status)
				}
				results := make(chan int, 2)
				for range 2 {
					go func() { results <- serve(t.Context(), h, "7") }()
				}
				for range 2 {
					if got := <-results; got != c.laterStatus {
						t.Errorf("later request: status %d, want %d", got, c.laterStatus)
					}
				}
				g.Wait()
				if s := table.State(7); s != c.want || runs.Load() != c.runs {
					t.Errorf("state %v after %d runs, want %v after %d", s, runs.Load(), c.want, c.runs)
				}
			})
		})
	}
}

// Guards against a trial that ignores the cancellation by its caller or blocks the
// upstream without limit, and against an invalid fingerprint that is accepted.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		desc, fingerprint string
		cancel            time.Duration
		status            int
		after             time.Duration
	}{
		{"cancelled while waiting", "7", 10 * time.Millisecond, 504, 10 * time.Millisecond},
		{"requests in flight don't end", "7", time.Minute, 503, DefaultTrialWait},
		{"invalid fingerprint", "xyz", time.Minute, 400, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, table := newGuard(&fakeBroadcaster{}, false)
				addSuspect(table, 7)
				h := g.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) }))
				var inFlight sync.WaitGroup
				inFlight.Go(func() { serve(t.Context(), h, "1") })
				defer inFlight.Wait()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), c.cancel)
				defer cancel()
				start := time.Now()
				if got := serve(ctx, h, c.fingerprint); got != c.status || time.Since(start) != c.after {
					t.Errorf("status %d after %v, want %d after %v", got, time.Since(start), c.status, c.after)
				}
			})
		})
	}
}

// Guards against a request that does not become a suspect because its caller cancelled
// it just before the upstream crashed.
func TestCancelledRequestIsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := newGuard(&fakeBroadcaster{}, false)
		h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(outcome.HeaderFingerprint) == "2" {
				writeOutcome(w, 502, outcome.ReasonUpstreamCrashed, outcome.Unknown)
				return
			}
			writeOutcome(w, 503, outcome.ReasonCancelled, outcome.Unknown)
		}))
		serve(t.Context(), h, "1")
		time.Sleep(DefaultLinger / 2)
		serve(t.Context(), h, "2")
		if s := table.State(1); s != StateSuspect {
			t.Errorf("state %v, want suspect", s)
		}
	})
}

// Guards against reports that are merged wrongly, expire at the wrong time or exceed
// the maximum number of entries.
func TestTable(t *testing.T) {
	const never = -1
	for _, c := range []struct {
		desc    string
		reports []State
		want    State
		expires time.Duration
	}{
		{"suspect", []State{StateSuspect}, StateSuspect, DefaultSuspectTTL},
		{"cleared", []State{StateSuspect, StateCleared}, StateCleared, DefaultSuspectTTL},
		{"suspect again", []State{StateSuspect, StateCleared, StateSuspect}, StateSuspect, DefaultSuspectTTL},
		{"cleared without a suspect", []State{StateCleared}, StateNone, never},
		{"blocked", []State{StateBlocked}, StateBlocked, DefaultBlockedTTL},
		{"blocked remains blocked", []State{StateBlocked, StateSuspect, StateCleared}, StateBlocked, DefaultBlockedTTL},
		{"unknown state", []State{99}, StateNone, never},
	} {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable(TableConfig{})
				for _, s := range c.reports {
					table.Apply([]*pb.QuarantineEntry{{Fingerprint: 1, State: s, TtlMs: 1 << 31}})
				}
				if c.expires != never {
					time.Sleep(c.expires - time.Nanosecond)
				}
				if s := table.State(1); s != c.want {
					t.Fatalf("state %v, want %v", s, c.want)
				}
				time.Sleep(time.Nanosecond)
				if s := table.State(1); s != StateNone {
					t.Errorf("state %v after expiry, want none", s)
				}
			})
		})
	}
	table := NewTable(TableConfig{MaxEntries: 10})
	table.Apply([]*pb.QuarantineEntry{{Fingerprint: 1000, State: StateBlocked}})
	for f := range uint64(100) {
		addSuspect(table, f)
	}
	if table.Len() != 10 || table.State(1000) != StateBlocked {
		t.Errorf("%d entries, want 10; fingerprint 1000 has state %v, want blocked", table.Len(), table.State(1000))
	}
}

// Guards against a suspect that no node may run because it is pinned to this node while
// another node is designated.
func TestPinnedSuspectRunsOnThisNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			desc   string
			pinned bool
			want   int
		}{{"pinned", true, http.StatusOK}, {"not pinned", false, http.StatusServiceUnavailable}} {
			g, table := newGuard(&fakeBroadcaster{}, false)
			g.cfg.Designated = func(uint64) (string, bool) { return "n1", false }
			g.cfg.Pinned = func(*http.Request) bool { return c.pinned }
			addSuspect(table, 0xa)
			h := g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(outcome.HeaderOutcome, string(outcome.Run))
			}))
			if got := serve(t.Context(), h, "a"); got != c.want {
				t.Errorf("%s: status %d, want %d", c.desc, got, c.want)
			}
			g.Wait()
		}
	})
}

package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// poisonFingerprint is the fingerprint of the request that crashes upstreams.
const poisonFingerprint = uint64(666)

// member is one sidecar of a simulated fleet with its upstream. The upstream crashes
// when it runs the poison request, which fails all requests in flight.
type member struct {
	id    string
	table *Table
	guard http.Handler
	wait  func()

	mu sync.Mutex
	// crashCh is closed at the next crash.
	crashCh   chan struct{}
	downUntil time.Time
	crashes   int
}

// restartTime is how long an upstream is down after a crash.
const restartTime = 20 * time.Millisecond

func (m *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	crashCh, down := m.crashCh, time.Now().Before(m.downUntil)
	m.mu.Unlock()
	if down {
		outcome.New(http.StatusServiceUnavailable, outcome.ReasonLeaseLapsed, outcome.NotRun, "down").Write(w)
		return
	}
	crashed := outcome.New(http.StatusBadGateway, outcome.ReasonUpstreamCrashed, outcome.Unknown, "crashed")
	if r.Header.Get(outcome.HeaderFingerprint) == strconv.FormatUint(poisonFingerprint, 16) {
		time.Sleep(2 * time.Millisecond)
		m.crash(crashCh)
		crashed.Write(w)
		return
	}
	select {
	case <-crashCh:
		crashed.Write(w)
	case <-time.After(10 * time.Millisecond):
		w.Header().Set(outcome.HeaderOutcome, string(outcome.Run))
	}
}

func (m *member) crash(crashCh chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashCh == crashCh {
		m.crashes++
		close(crashCh)
		m.crashCh, m.downUntil = make(chan struct{}), time.Now().Add(restartTime)
	}
}

// fleet is a set of members with an in-memory broadcast.
type fleet struct {
	members []*member
	// delay returns the delay of each report to the member with index to.
	delay func(to int) time.Duration
	// unacknowledged makes Report return at once, before the entries are applied.
	unacknowledged bool
	deliveries     sync.WaitGroup
}

// lost is the delay of a report that never arrives.
const lost = time.Duration(-1)

type fleetBroadcaster struct {
	fleet *fleet
	from  int
}

func (b fleetBroadcaster) Report(ctx context.Context, _ string, entries []*pb.QuarantineEntry) error {
	var acknowledged sync.WaitGroup
	for i, m := range b.fleet.members {
		delay := b.fleet.delay(i)
		if i == b.from || delay == lost {
			continue
		}
		acknowledged.Add(1)
		b.fleet.deliveries.Go(func() {
			time.Sleep(delay)
			m.table.Apply(entries)
			acknowledged.Done()
		})
	}
	if b.fleet.unacknowledged {
		return nil
	}
	done := make(chan struct{})
	b.fleet.deliveries.Go(func() {
		acknowledged.Wait()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newFleet(size int, delay func(to int) time.Duration) *fleet {
	f := &fleet{delay: delay}
	var ids []string
	for i := range size {
		ids = append(ids, fmt.Sprintf("n%d", i))
	}
	for i, id := range ids {
		m := &member{id: id, table: NewTable(TableConfig{}), crashCh: make(chan struct{})}
		g := NewGuard(Config{
			Service: func() string { return "kasse" },
			Designated: func(fp uint64) (string, bool) {
				node := Designate(fp, ids)
				return node, node == id
			},
			Crashed: func(context.Context) bool { return false },
		}, m.table, fleetBroadcaster{f, i}, event.Discard())
		m.guard, m.wait = g.Wrap(m), g.Wait
		f.members = append(f.members, m)
	}
	return f
}

// send sends a request to the member and repeats it at the node that HeaderIsolate names.
func (f *fleet) send(fingerprint uint64, to int) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set(outcome.HeaderFingerprint, strconv.FormatUint(fingerprint, 16))
	w := httptest.NewRecorder()
	f.members[to].guard.ServeHTTP(w, r)
	for i, m := range f.members {
		if i != to && m.id == w.Header().Get(HeaderIsolate) {
			return f.send(fingerprint, i)
		}
	}
	return w
}

const (
	poisonAttempts  = 25
	harmlessCallers = 12
	maxAttempts     = 400
)

// run simulates a caller that resends the poison request to random sidecars. At the
// same time, other callers send harmless requests and repeat each until it succeeds. run
// returns the number of crashes and the failures of harmless requests.
func (f *fleet) run(seed uint64) (crashes int, failures []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 0))
	targets := make([]int, poisonAttempts)
	for i := range targets {
		targets[i] = rng.IntN(len(f.members))
	}
	wg.Go(func() {
		for _, to := range targets {
			time.Sleep(time.Millisecond)
			f.send(poisonFingerprint, to)
		}
	})
	for c := range harmlessCallers {
		wg.Go(func() {
			fp, served, blocked := uint64(c), 0, 0
			for i := 0; i < maxAttempts && served < 30; i++ {
				switch f.send(fp, (c+i)%len(f.members)).Code {
				case http.StatusOK:
					served++
				case http.StatusUnprocessableEntity:
					blocked++
				}
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if served < 30 || blocked > 0 {
				failures = append(failures, fmt.Sprintf("harmless caller %d: served %d times, want 30; blocked %d times, want 0", c, served, blocked))
			}
		})
	}
	wg.Wait()
	for _, m := range f.members {
		m.wait()
		crashes += m.crashes
	}
	f.deliveries.Wait()
	return crashes, failures
}

const fleetSeeds = 12

// Guards against a repeated request that crashes more than two upstreams, and against
// harmless requests that remain rejected. Each sidecar that misses reports adds at most
// one crash: then the crash of its own upstream marks the request as suspect.
func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	for _, c := range []struct {
		desc   string
		delay  func(to int) time.Duration
		missed int
	}{
		{"all reports arrive", func(int) time.Duration { return 5 * time.Millisecond }, 0},
		{"slow within the limit", func(to int) time.Duration { return time.Duration(to) * 55 * time.Millisecond }, 0},
		{"lost to one sidecar", delayedFirst(1, lost), 1},
		{"lost to three sidecars", delayedFirst(3, lost), 3},
		{"later than the limit to two", delayedFirst(2, 2*ReportTimeout), 2},
	} {
		t.Run(c.desc, func(t *testing.T) {
			worst := 0
			for seed := range uint64(fleetSeeds) {
				synctest.Test(t, func(t *testing.T) {
					crashes, failures := newFleet(5, c.delay).run(seed)
					worst = max(worst, crashes)
					if crashes > 2+c.missed {
						t.Errorf("seed %d: %d crashes, want at most %d", seed, crashes, 2+c.missed)
					}
					if len(failures) > 0 {
						t.Errorf("seed %d: %v", seed, failures)
					}
				})
			}
			if worst < 2 {
				t.Errorf("at most %d crashes in all runs, want at least 2: the test checks nothing", worst)
			}
		})
	}
}

// delayedFirst delays all reports to the first n sidecars.
func delayedFirst(n int, delay time.Duration) func(int) time.Duration {
	return func(to int) time.Duration {
		if to < n {
			return delay
		}
		return time.Millisecond
	}
}

// Checks that the simulation detects a missing protection: if the response does not
// wait for the acknowledgement of the report, a fast resend crashes more upstreams.
func TestUnacknowledgedReportsAllowMoreCrashes(t *testing.T) {
	worst := 0
	for seed := range uint64(fleetSeeds) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(5, func(int) time.Duration { return 50 * time.Millisecond })
			f.unacknowledged = true
			crashes, _ := f.run(seed)
			worst = max(worst, crashes)
		})
	}
	if worst <= 2 {
		t.Errorf("%d crashes without acknowledgements, want more than 2", worst)
	}
}

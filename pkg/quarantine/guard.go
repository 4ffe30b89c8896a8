package quarantine

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// HeaderIsolate names the only node that may run the rejected suspect.
const HeaderIsolate = "Mulberrytray-Isolate"

const (
	// ReportTimeout bounds how long a failed request waits for acknowledgements.
	ReportTimeout = 300 * time.Millisecond
	// DefaultTrialWait bounds how long a trial waits for requests in flight, and
	// therefore how long new requests wait for the trial to start.
	DefaultTrialWait = time.Second
	// DefaultLinger covers the time for which an upstream continues to process a
	// cancelled request.
	DefaultLinger = 100 * time.Millisecond

	// trialWeight is the semaphore weight of a trial. It is above any number of slots.
	trialWeight = 1 << 20
	// maxLingering bounds the number of cancelled requests that are retained.
	maxLingering = 1024
	// rejectionRetryAfter is the Retry-After delay while no sidecar can run a suspect.
	rejectionRetryAfter = time.Second
)

// Broadcaster reports fingerprints to all other sidecars of a service.
type Broadcaster interface {
	// Report returns when the reachable sidecars have applied the entries, or when
	// ctx ends. It is safe for concurrent use.
	Report(ctx context.Context, service string, entries []*pb.QuarantineEntry) error
}

// Config holds the settings of a Guard.
type Config struct {
	// Service returns the service of the local upstream.
	Service func() string
	// Designated returns the node that runs a suspect, and whether it is this node. It
	// returns "" if no sidecar of the service is ready.
	Designated func(fingerprint uint64) (nodeID string, self bool)
	// Crashed reports whether the upstream crashed while it ran the request of the
	// context. It is called when a response is aborted. Default: always false.
	Crashed func(context.Context) bool
	// Pinned reports whether a request can run on this node only, such as one with an
	// idempotency token. A pinned suspect runs on this node, since no other node may
	// run it. Default: always false.
	Pinned func(*http.Request) bool
	// TrialWait bounds how long a trial waits for the requests in flight. Default 1 s.
	TrialWait time.Duration
	// Linger is how long a request of unknown outcome still counts as in flight.
	// Default 100 ms.
	Linger time.Duration
}

// Guard applies the quarantine to the requests of one upstream. It is safe for
// concurrent use.
type Guard struct {
	cfg    Config
	table  *Table
	peers  Broadcaster
	events *event.Logger

	// admission admits requests with weight 1, or one trial with the full weight.
	admission *semaphore.Weighted
	// clearances counts the clearances that are being reported.
	clearances sync.WaitGroup

	mu        sync.Mutex
	inFlight  map[*call]struct{}
	lingering []lingeringCall
}

// call is a request in flight.
type call struct {
	fingerprint uint64
	// tracked is set if the request has a fingerprint.
	tracked bool
	trial   bool
	pinned  bool
	// crash is the crash during which the request was in flight, or nil. Guarded by
	// Guard.mu.
	crash *crash
}

// crash is one crash of the upstream.
type crash struct {
	// reported is closed when the peers have acknowledged the suspects.
	reported chan struct{}
}

// lingeringCall is a request of unknown outcome that the upstream may still process.
type lingeringCall struct {
	fingerprint uint64
	until       time.Time
}

// NewGuard returns a guard without requests in flight.
func NewGuard(cfg Config, t *Table, b Broadcaster, events *event.Logger) *Guard {
	if cfg.TrialWait <= 0 {
		cfg.TrialWait = DefaultTrialWait
	}
	if cfg.Linger <= 0 {
		cfg.Linger = DefaultLinger
	}
	if cfg.Crashed == nil {
		cfg.Crashed = func(context.Context) bool { return false }
	}
	if cfg.Pinned == nil {
		cfg.Pinned = func(*http.Request) bool { return false }
	}
	return &Guard{
		cfg: cfg, table: t, peers: b, events: events,
		admission: semaphore.NewWeighted(trialWeight), inFlight: map[*call]struct{}{},
	}
}

// Wait waits until all clearances have been reported. Each takes at most ReportTimeout.
func (g *Guard) Wait() { g.clearances.Wait() }

// Wrap returns a handler that passes admitted requests to next. Next must state the
// outcome and, for a request that was running when the upstream crashed, the reason
// upstream-crashed. A request without a fingerprint never becomes a suspect, but it waits
// for trials. If the upstream crashes while it runs such a request, the other requests in
// flight become suspects.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, p := newCall(r)
		isolationNode := ""
		if p == nil {
			c.pinned = g.cfg.Pinned(r)
			isolationNode, p = g.admit(r.Context(), c)
		}
		if p != nil {
			if isolationNode != "" {
				w.Header().Set(HeaderIsolate, isolationNode)
			}
			p.Write(w)
			return
		}
		g.run(w, r, c, next)
	})
}

// newCall returns the call of a request, or a problem if its fingerprint is invalid.
func newCall(r *http.Request) (*call, *outcome.Problem) {
	text := r.Header.Get(outcome.HeaderFingerprint)
	if text == "" {
		return &call{}, nil
	}
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return nil, outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, outcome.NotRun, "invalid fingerprint").WithField(outcome.HeaderFingerprint)
	}
	return &call{fingerprint: f, tracked: true}, nil
}

// admit waits until the call may run and adds it to the calls in flight. The state of
// its fingerprint can change during the wait, so it is checked again afterwards.
// If the call may run only on another node, isolationNode is that node.
func (g *Guard) admit(ctx context.Context, c *call) (isolationNode string, p *outcome.Problem) {
	for {
		c.trial = c.tracked && g.table.State(c.fingerprint) == StateSuspect
		if isolationNode, p = g.reject(c); p != nil {
			return isolationNode, p
		}
		if err := g.acquire(ctx, c); err != nil {
			return "", waitProblem(ctx)
		}
		if g.tryStart(c) {
			return "", nil
		}
		g.admission.Release(c.weight())
	}
}

// weight returns the weight of the call at the admission semaphore.
func (c *call) weight() int64 {
	if c.trial {
		return trialWeight
	}
	return 1
}

// reject returns the reason why the call must not run on this node, or nil.
func (g *Guard) reject(c *call) (isolationNode string, p *outcome.Problem) {
	if c.tracked && g.table.State(c.fingerprint) == StateBlocked {
		return "", outcome.New(http.StatusUnprocessableEntity, outcome.ReasonQuarantined, outcome.NotRun,
			"the request is blocked because it crashed upstreams")
	}
	if !c.trial {
		return "", nil
	}
	node, self := g.cfg.Designated(c.fingerprint)
	if self || c.pinned {
		return "", nil
	}
	p = outcome.New(http.StatusServiceUnavailable, outcome.ReasonQuarantined, outcome.NotRun,
		"the request is a crash suspect and runs on one node only")
	if node == "" {
		p = p.WithRetryAfter(rejectionRetryAfter)
	}
	return node, p
}

// acquire waits for the semaphore. A trial also waits until no cancelled request lingers.
func (g *Guard) acquire(ctx context.Context, c *call) error {
	if !c.trial {
		return g.admission.Acquire(ctx, 1)
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.TrialWait)
	defer cancel()
	if err := g.admission.Acquire(ctx, trialWeight); err != nil {
		return err
	}
	g.mu.Lock()
	g.prune()
	wait := time.Duration(0)
	if n := len(g.lingering); n > 0 {
		wait = time.Until(g.lingering[n-1].until)
	}
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		g.admission.Release(trialWeight)
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// tryStart adds the call to the calls in flight unless the state of its fingerprint
// has changed.
func (g *Guard) tryStart(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.tracked {
		s := g.table.State(c.fingerprint)
		if s == StateBlocked || (s == StateSuspect) != c.trial {
			return false
		}
	}
	g.inFlight[c] = struct{}{}
	return true
}

// waitProblem describes why the wait for admission ended.
func waitProblem(ctx context.Context) *outcome.Problem {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, outcome.NotRun, "the deadline passed while a crash suspect was running")
	case context.Canceled:
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonCancelled, outcome.NotRun, "cancelled while a crash suspect was running")
	}
	return outcome.New(http.StatusServiceUnavailable, outcome.ReasonQuarantined, outcome.NotRun,
		"the requests in flight did not end in time for a trial").WithRetryAfter(rejectionRetryAfter)
}

// run passes an admitted call to next and reports a crash before the caller gets the
// response.
func (g *Guard) run(w http.ResponseWriter, r *http.Request, c *call, next http.Handler) {
	gated := &gate{ResponseWriter: w, reportCrash: func() { g.reportCrash(c) }}
	returned := false
	// Deferred so that a panic in next also releases the semaphore.
	defer func() {
		if !returned && g.cfg.Crashed(r.Context()) {
			g.reportCrash(c)
		}
		g.finish(c, gated.outcome(returned))
	}()
	next.ServeHTTP(gated, r)
	returned = true
}

// finish removes the call from the calls in flight. It clears the fingerprint of a trial
// that was run without a crash.
func (g *Guard) finish(c *call, o outcome.Outcome) {
	g.mu.Lock()
	delete(g.inFlight, c)
	survived := c.crash == nil
	if c.tracked && survived && o == outcome.Unknown {
		g.prune()
		if len(g.lingering) < maxLingering {
			g.lingering = append(g.lingering, lingeringCall{c.fingerprint, time.Now().Add(g.cfg.Linger)})
		}
	}
	g.mu.Unlock()
	if c.trial && survived && o == outcome.Run {
		g.clear(c.fingerprint)
	}
	g.admission.Release(c.weight())
}

// clear marks a suspect as cleared and reports it in the background. It need not wait
// for the peers: until they receive the report, they redirect the request to this
// node, which runs it.
func (g *Guard) clear(fingerprint uint64) {
	e := g.table.clear(fingerprint)
	if e == nil {
		return
	}
	g.events.Emit(event.RequestCleared, event.Fields{"fingerprint": strconv.FormatUint(fingerprint, 16)})
	g.clearances.Go(func() { g.report([]*pb.QuarantineEntry{e}) })
}

// reportCrash reports all requests in flight and all lingering ones as suspects. It
// returns when the peers have acknowledged the report or ReportTimeout has passed. Calls
// for the same crash use the same report.
func (g *Guard) reportCrash(c *call) {
	g.mu.Lock()
	previous := c.crash
	if previous != nil {
		g.mu.Unlock()
		<-previous.reported
		return
	}
	current := &crash{reported: make(chan struct{})}
	entries := g.markSuspects(c, current)
	g.mu.Unlock()
	defer close(current.reported)
	g.events.Emit(event.UpstreamCrashed, event.Fields{"suspects": len(entries)})
	if len(entries) > 0 {
		g.report(entries)
	}
}

// markSuspects assigns the crash to all calls in flight. It marks their fingerprints and
// those of lingering calls as suspect, or as blocked if a trial was the only request, and
// returns their entries. The caller holds mu.
func (g *Guard) markSuspects(failed *call, current *crash) []*pb.QuarantineEntry {
	fingerprints := map[uint64]State{}
	for c := range g.inFlight {
		c.crash = current
		if c.tracked {
			fingerprints[c.fingerprint] = StateSuspect
		}
	}
	g.prune()
	for _, l := range g.lingering {
		fingerprints[l.fingerprint] = StateSuspect
	}
	g.lingering = nil
	if failed.trial && len(g.inFlight) == 1 && len(fingerprints) == 1 {
		fingerprints[failed.fingerprint] = StateBlocked
		g.events.Emit(event.RequestBlocked, event.Fields{"fingerprint": strconv.FormatUint(failed.fingerprint, 16)})
	}
	var entries []*pb.QuarantineEntry
	for f, s := range fingerprints {
		entries = append(entries, g.table.recordCrash(f, s))
	}
	return entries
}

// prune removes the expired lingering calls. The caller holds mu.
func (g *Guard) prune() {
	now := time.Now()
	n := 0
	for n < len(g.lingering) && !now.Before(g.lingering[n].until) {
		n++
	}
	g.lingering = g.lingering[n:]
}

func (g *Guard) report(entries []*pb.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), ReportTimeout)
	defer cancel()
	// Peers that do not acknowledge count as unreachable. They receive the entries by
	// gossip later.
	_ = g.peers.Report(ctx, g.cfg.Service(), entries)
}

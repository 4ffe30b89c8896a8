package routing

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// choices is how many random upstreams are compared for one request. More
	// choices make all ingresses choose the same upstream from old reports.
	choices = 3
	// nearEqual is the share by which costs may differ and still be equal.
	nearEqual = 0.1
	// sweepInterval is the time between removals of upstreams that are gone.
	sweepInterval = 10 * time.Second
)

// Config holds the settings of a Picker.
type Config struct {
	// NodeID names this ingress in the choice of subsets.
	NodeID string
	// FailureDomain of this ingress.
	FailureDomain string
	// DomainDelay returns the one-way delay between failure domains. May be nil.
	DomainDelay func() time.Duration
}

// Picker chooses upstreams. It is safe for concurrent use: one mutex is held for
// about a microsecond per call.
type Picker struct {
	cfg   Config
	epoch time.Time

	mu        sync.Mutex
	upstreams map[string]*upstream
	subsets   subsets
	// usual is the moving average of the latency of each service.
	usual     map[string]time.Duration
	lastSweep time.Duration
	seen      map[string]time.Duration
	// routed is the time of the last send of each service.
	routed map[string]time.Duration
}

// NewPicker returns a picker without knowledge.
func NewPicker(cfg Config) *Picker {
	return &Picker{
		cfg: cfg, epoch: time.Now(), upstreams: map[string]*upstream{},
		subsets: subsets{}, usual: map[string]time.Duration{}, seen: map[string]time.Duration{},
		routed: map[string]time.Duration{},
	}
}

func (p *Picker) now() time.Duration { return time.Since(p.epoch) }

// Query is what one choice depends on.
type Query struct {
	Service    string
	Candidates []Candidate
	// Tried upstreams are left out.
	Tried map[string]bool
	// LeastLoaded compares all upstreams instead of a few random ones.
	LeastLoaded bool
}

// Send is one request at an upstream. Done must be called exactly once.
type Send struct {
	Candidate Candidate
	// Cost is the expected time that decided the choice.
	Cost time.Duration
	// Trial is set if the circuit breaker let this request through as a test.
	Trial bool

	picker   *Picker
	state    *upstream
	start    time.Duration
	answered bool
}

// Pick chooses an upstream and counts the request in.
func (p *Picker) Pick(q Query) (*Send, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	subset := p.subsets.of(p.cfg.NodeID, q.Service, q.Candidates)
	now := p.now()
	usable := p.usable(now, q, subset)
	if len(usable) == 0 && len(subset) < len(q.Candidates) {
		usable = p.usable(now, q, q.Candidates)
	}
	p.sweep(now)
	if len(usable) == 0 {
		return nil, false
	}
	if !q.LeastLoaded {
		usable = sample(usable)
	}
	c, cost := p.cheapest(now, q.Service, usable)
	return p.begin(now, q.Service, c, cost), true
}

// Use counts in a request to a given upstream, such as the one that a token names.
func (p *Picker) Use(service string, c Candidate) *Send {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(p.now(), service, c, 0)
}

func (p *Picker) begin(now time.Duration, service string, c Candidate, cost time.Duration) *Send {
	u := p.state(now, c)
	u.service = service
	p.routed[service] = now
	u.begin(now)
	return &Send{Candidate: c, Cost: cost, Trial: u.breaker.begin(now), picker: p, state: u, start: now}
}

func (p *Picker) usable(now time.Duration, q Query, from []Candidate) []Candidate {
	out := make([]Candidate, 0, len(from))
	for _, c := range from {
		if !q.Tried[c.NodeID] && p.state(now, c).breaker.allows(now) {
			out = append(out, c)
		}
	}
	return out
}

// sample moves a few random candidates to the front and returns them.
func sample(from []Candidate) []Candidate {
	n := min(choices, len(from))
	for i := range n {
		j := i + rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// cheapest returns a random one of those candidates whose costs are near the lowest.
func (p *Picker) cheapest(now time.Duration, service string, from []Candidate) (Candidate, time.Duration) {
	costs := make([]time.Duration, len(from))
	for i, c := range from {
		costs[i] = p.state(now, c).cost(now, c, p.prior(service, c))
	}
	limit := time.Duration(float64(slices.Min(costs)) * (1 + nearEqual))
	chosen, n := 0, 0
	for i, cost := range costs {
		if cost > limit {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			chosen = i
		}
	}
	return from[chosen], costs[chosen]
}

// prior is the latency expected of an upstream that was not used lately: the
// usual one of its service. Observed latencies of an upstream include the
// network, so the delay is added here only.
func (p *Picker) prior(service string, c Candidate) time.Duration {
	latency, known := p.usual[service]
	if !known {
		latency = priorLatency
	}
	if c.FailureDomain == p.cfg.FailureDomain || p.cfg.DomainDelay == nil {
		return latency
	}
	return latency + 2*p.cfg.DomainDelay()
}

func (p *Picker) observe(now time.Duration, u *upstream, latency time.Duration) {
	usual, known := p.usual[u.service]
	if !known {
		usual = latency
	}
	u.observe(now, latency, usual)
	p.usual[u.service] = ewma(usual, latency)
}

// state returns the state of the candidate's incarnation.
func (p *Picker) state(now time.Duration, c Candidate) *upstream {
	p.seen[c.NodeID] = now
	u := p.upstreams[c.NodeID]
	if u == nil || u.incarnation < c.Incarnation {
		u = &upstream{incarnation: c.Incarnation}
		p.upstreams[c.NodeID] = u
	}
	return u
}

func (p *Picker) sweep(now time.Duration) {
	if now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, at := range p.seen {
		if now-at >= sweepInterval && p.upstreams[id].inFlight == 0 {
			delete(p.seen, id)
			delete(p.upstreams, id)
		}
	}
}

// Verdict is what the end of a send says about the upstream.
type Verdict int

// Verdicts.
const (
	// Completed means that the answer, reported with Answer, was complete.
	Completed Verdict = iota
	// Refused means that the sidecar did not run the request.
	Refused
	// Failed means that the node or upstream was unreachable or broke off.
	Failed
	// Abandoned means that this node gave up the request.
	Abandoned
)

// fastFailureFactor is how many times faster than its peers an upstream's errors
// must come to count as its own fault. Errors that a request provokes usually
// take as long as other answers.
const fastFailureFactor = 2

// Answer learns from the header of an answer of a request that was run. The load
// may be nil. The request stays in flight until Done.
func (s *Send) Answer(status int, l *pb.Load) {
	p, u := s.picker, s.state
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s.stopWaiting()
	if l != nil {
		u.setReport(now, l)
	}
	if status >= http.StatusInternalServerError {
		p.serverError(now, s, now-s.start)
		return
	}
	p.observe(now, u, now-s.start)
	u.breaker.success(s.Trial)
}

func (s *Send) stopWaiting() {
	if !s.answered {
		s.answered = true
		s.state.stopWaiting(s.start)
	}
}

// Done counts the request out and learns from its end. The load may be nil.
func (s *Send) Done(v Verdict, l *pb.Load) {
	p, u := s.picker, s.state
	p.mu.Lock()
	defer p.mu.Unlock()
	now, answered := p.now(), s.answered
	s.stopWaiting()
	u.inFlight--
	if l != nil {
		u.setReport(now, l)
	}
	switch v {
	case Completed:
	case Failed:
		u.observeFailure(now)
		u.breaker.failure(now, s.Trial, true)
	case Refused:
		u.breaker.abandon(s.Trial)
	case Abandoned:
		if latency := now - s.start; !answered && latency > u.latency {
			u.observe(now, latency, u.latency)
		}
		u.breaker.abandon(s.Trial)
	}
}

func (p *Picker) serverError(now time.Duration, s *Send, latency time.Duration) {
	peers, known, ejected, total := p.peerLatency(s.state)
	if known && latency*fastFailureFactor >= peers {
		p.observe(now, s.state, latency)
		s.state.breaker.success(s.Trial)
		return
	}
	s.state.observeFailure(now)
	// Errors of the requests themselves must not eject a whole service.
	s.state.breaker.failure(now, s.Trial, 2*(ejected+1) <= total)
}

func (p *Picker) peerLatency(u *upstream) (mean time.Duration, known bool, ejected, total int) {
	var sum time.Duration
	n := 0
	for _, other := range p.upstreams {
		if other.service != u.service {
			continue
		}
		total++
		if other.breaker.open() {
			ejected++
		}
		if other != u && other.samples > 0 {
			sum += other.latency
			n++
		}
	}
	if n == 0 {
		return 0, false, ejected, total
	}
	return sum / time.Duration(n), true, ejected, total
}

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
	// sampleSize is the number of random upstreams that are compared for one request.
	// With a larger sample, all ingresses would select the same upstream based on the
	// same old reports.
	sampleSize = 3
	// costTolerance is the ratio by which costs may differ and still count as equal.
	costTolerance = 0.1
	// sweepInterval is the time between two removals of the state of unused upstreams.
	sweepInterval = 10 * time.Second
)

// Config holds the settings of a Picker.
type Config struct {
	// NodeID identifies this ingress. Its subsets depend on it.
	NodeID string
	// FailureDomain of this ingress.
	FailureDomain string
	// DomainDelay returns the one-way delay between failure domains. May be nil.
	DomainDelay func() time.Duration
}

// Picker selects upstreams. It is safe for concurrent use: one mutex is held for
// about a microsecond per call.
type Picker struct {
	cfg   Config
	epoch time.Time

	mu        sync.Mutex
	upstreams map[string]*upstream
	subsets   subsetCache
	// meanLatency is the moving average of the latency of each service.
	meanLatency map[string]time.Duration
	lastSweep   time.Duration
	// lastAccess is the time of the last access to the state of each upstream.
	lastAccess map[string]time.Duration
	// lastAttempt is the time of the last attempt for each service.
	lastAttempt map[string]time.Duration
}

// NewPicker returns a picker without information about upstreams.
func NewPicker(cfg Config) *Picker {
	return &Picker{
		cfg: cfg, epoch: time.Now(), upstreams: map[string]*upstream{},
		subsets: subsetCache{}, meanLatency: map[string]time.Duration{}, lastAccess: map[string]time.Duration{},
		lastAttempt: map[string]time.Duration{},
	}
}

func (p *Picker) now() time.Duration { return time.Since(p.epoch) }

// Query describes one selection.
type Query struct {
	Service    string
	Candidates []Candidate
	// Excluded holds the IDs of the nodes that must not be selected.
	Excluded map[string]bool
	// LeastLoaded compares all upstreams instead of a few random ones.
	LeastLoaded bool
}

// Attempt is one request sent to one upstream. Done must be called exactly once.
type Attempt struct {
	Candidate Candidate
	// Cost is the expected time on which the selection was based.
	Cost time.Duration
	// Trial is set if the circuit breaker admitted this request as a trial.
	Trial bool

	picker *Picker
	state  *upstream
	start  time.Duration
	// responded is set when the response header has arrived or the request has ended.
	responded bool
}

// Pick selects an upstream and counts the request as in flight. It returns false if no
// upstream is usable.
func (p *Picker) Pick(q Query) (*Attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	subset := p.subsets.get(p.cfg.NodeID, q.Service, q.Candidates)
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

// StartAttempt counts a request to a given upstream as in flight. The upstream may be
// the one that a token names.
func (p *Picker) StartAttempt(service string, c Candidate) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begin(p.now(), service, c, 0)
}

// begin counts a request as in flight. The caller holds mu.
func (p *Picker) begin(now time.Duration, service string, c Candidate, cost time.Duration) *Attempt {
	u := p.state(now, c)
	u.service = service
	p.lastAttempt[service] = now
	u.begin(now)
	return &Attempt{Candidate: c, Cost: cost, Trial: u.breaker.begin(now), picker: p, state: u, start: now}
}

// usable returns the candidates that are not excluded and whose breaker admits a request.
func (p *Picker) usable(now time.Duration, q Query, from []Candidate) []Candidate {
	out := make([]Candidate, 0, len(from))
	for _, c := range from {
		if !q.Excluded[c.NodeID] && p.state(now, c).breaker.allows(now) {
			out = append(out, c)
		}
	}
	return out
}

// sample moves a few random candidates to the front and returns them.
func sample(from []Candidate) []Candidate {
	n := min(sampleSize, len(from))
	for i := range n {
		j := i + rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n]
}

// cheapest returns a random candidate among those whose cost is close to the lowest.
func (p *Picker) cheapest(now time.Duration, service string, from []Candidate) (Candidate, time.Duration) {
	costs := make([]time.Duration, len(from))
	for i, c := range from {
		costs[i] = p.state(now, c).cost(now, c, p.prior(service, c))
	}
	limit := time.Duration(float64(slices.Min(costs)) * (1 + costTolerance))
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

// prior returns the expected latency of an upstream that was not used recently: the mean
// of its service. The network delay is added here only, since observed latencies
// include it.
func (p *Picker) prior(service string, c Candidate) time.Duration {
	latency, known := p.meanLatency[service]
	if !known {
		latency = priorLatency
	}
	if c.FailureDomain == p.cfg.FailureDomain || p.cfg.DomainDelay == nil {
		return latency
	}
	return latency + 2*p.cfg.DomainDelay()
}

// observe adds a latency sample to the averages of the upstream and its service.
func (p *Picker) observe(now time.Duration, u *upstream, latency time.Duration) {
	mean, known := p.meanLatency[u.service]
	if !known {
		mean = latency
	}
	u.observe(now, latency, mean)
	p.meanLatency[u.service] = ewma(mean, latency)
}

// state returns the state of the candidate's incarnation. It creates the state if it
// does not exist.
func (p *Picker) state(now time.Duration, c Candidate) *upstream {
	p.lastAccess[c.NodeID] = now
	u := p.upstreams[c.NodeID]
	if u == nil || u.incarnation < c.Incarnation {
		u = &upstream{incarnation: c.Incarnation}
		p.upstreams[c.NodeID] = u
	}
	return u
}

// sweep removes the state of upstreams that was not accessed for sweepInterval, except
// while requests are in flight.
func (p *Picker) sweep(now time.Duration) {
	if now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, at := range p.lastAccess {
		if now-at >= sweepInterval && p.upstreams[id].inFlight == 0 {
			delete(p.lastAccess, id)
			delete(p.upstreams, id)
		}
	}
}

// Verdict is the result of an attempt, as evidence about the upstream.
type Verdict int

// Verdicts.
const (
	// Completed means that the complete response was received. RecordResponse was called
	// for its header.
	Completed Verdict = iota
	// Rejected means that the sidecar did not run the request.
	Rejected
	// Failed means that the node or upstream was unreachable or aborted the exchange.
	Failed
	// Abandoned means that the request ended on this side or without evidence against
	// the upstream, for example at its deadline.
	Abandoned
)

// fastFailureFactor is how many times faster than the responses of its peers an
// upstream's server errors must be to count as a fault of the upstream. Errors caused
// by a request usually take as long as other responses.
const fastFailureFactor = 2

// RecordResponse records the response header of a request that was run. The load may be
// nil. The request stays in flight until Done.
func (a *Attempt) RecordResponse(status int, l *pb.Load) {
	p, u := a.picker, a.state
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	a.stopWaiting()
	if l != nil {
		u.setReport(now, l)
	}
	if status >= http.StatusInternalServerError {
		p.observeServerError(now, a, now-a.start)
		return
	}
	p.observe(now, u, now-a.start)
	u.breaker.success(a.Trial)
}

// stopWaiting takes effect only once per attempt.
func (a *Attempt) stopWaiting() {
	if !a.responded {
		a.responded = true
		a.state.stopWaiting(a.start)
	}
}

// Done ends the attempt and records its result. The load may be nil.
func (a *Attempt) Done(v Verdict, l *pb.Load) {
	p, u := a.picker, a.state
	p.mu.Lock()
	defer p.mu.Unlock()
	now, responded := p.now(), a.responded
	a.stopWaiting()
	u.inFlight--
	if l != nil {
		u.setReport(now, l)
	}
	switch v {
	case Completed:
	case Failed:
		u.observeFailure(now)
		u.breaker.failure(now, a.Trial, true)
	case Rejected:
		u.breaker.abandon(a.Trial)
	case Abandoned:
		if latency := now - a.start; !responded && latency > u.latency {
			u.observe(now, latency, u.latency)
		}
		u.breaker.abandon(a.Trial)
	}
}

// observeServerError records a response with a 5xx status. It counts as a failure of
// the upstream only if it came much faster than the responses of its peers.
func (p *Picker) observeServerError(now time.Duration, a *Attempt, latency time.Duration) {
	peerMean, known, ejected, total := p.peerLatency(a.state)
	if known && latency*fastFailureFactor >= peerMean {
		p.observe(now, a.state, latency)
		a.state.breaker.success(a.Trial)
		return
	}
	a.state.observeFailure(now)
	// Server errors eject at most half of the upstreams: errors caused by the requests
	// themselves must not eject a whole service.
	a.state.breaker.failure(now, a.Trial, 2*(ejected+1) <= total)
}

// peerLatency returns the mean latency of the other upstreams of the service, the number
// of its upstreams that are ejected, and the number of its upstreams.
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

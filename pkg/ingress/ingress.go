// Package ingress takes requests from callers, routes each to the sidecar of an
// upstream, and returns the whole answer or says what became of the request.
package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/retry"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
	"github.com/mulberrytray/mulberrytray/pkg/throttle"
)

// Directory tells which upstreams serve a service. It is safe for concurrent use.
type Directory interface {
	Candidates(service string) []routing.Candidate
}

// Intents gives the intent in force, or nil before the first one.
type Intents interface {
	Intent() *intent.Intent
}

// Members finds the node that a token or a quarantine names, whatever the state
// of its upstream. It is safe for concurrent use.
type Members interface {
	Member(nodeID string) (*pb.Member, bool)
}

// TokenResolver reads the owner of a token. It is safe for concurrent use.
type TokenResolver interface {
	// Parse reports false for keys that are not tokens.
	Parse(key string) (nodeID string, incarnation uint64, ok bool)
}

// TokenIssuer asks the sidecar of an upstream for a token. It is safe for
// concurrent use.
type TokenIssuer interface {
	Issue(ctx context.Context, address string, incarnation uint64, service string) (token string, expiresIn time.Duration, err error)
}

// Config holds the settings and optional parts of an Ingress.
type Config struct {
	// DefaultTimeout applies to requests without a timeout of their own. Default 10 s.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest accepted timeout. Default 300 s.
	MaxTimeout time.Duration
	// NodeID and FailureDomain of this node.
	NodeID, FailureDomain string
	// Members is needed for tokens and quarantined requests. May be nil.
	Members Members
	// Tokens and Issuer are nil if tokens are not supported.
	Tokens TokenResolver
	Issuer TokenIssuer
	// RequireEcho refuses answers that don't repeat the request id and attempt.
	// Answers that repeat wrong ones are always refused.
	RequireEcho bool
	// Registry takes the metrics. Default: a new one.
	Registry metrics.Registry
}

const (
	defaultTimeout = 10 * time.Second
	longestTimeout = maxTimeoutMs * time.Millisecond
	// drainTimeout is how long the rest of a body is read after the answer: a caller
	// that still sends needs a few round trips to see the answer.
	drainTimeout = time.Second
)

// Ingress is the http.Handler for callers. It is safe for concurrent use.
type Ingress struct {
	cfg       Config
	directory Directory
	intents   Intents
	picker    *routing.Picker
	budget    *retry.Budget
	peers     *http.Transport
	latencies *latencies
	throttle  *throttle.Throttle
	journal   *journal
	metrics   *meters
}

// New returns an ingress that forwards through the transport, which should come
// from NewTransport: with another one, a failed request counts as possibly run
// unless no connection was made.
func New(cfg Config, d Directory, i Intents, peers *http.Transport) *Ingress {
	if cfg.DefaultTimeout == 0 {
		cfg.DefaultTimeout = defaultTimeout
	}
	if cfg.MaxTimeout == 0 {
		cfg.MaxTimeout = longestTimeout
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	g := &Ingress{
		cfg: cfg, directory: d, intents: i, peers: peers, budget: retry.NewBudget(),
		latencies: newLatencies(), throttle: throttle.New(), journal: newJournal(), metrics: newMeters(cfg.Registry),
	}
	g.picker = routing.NewPicker(routing.Config{
		NodeID: cfg.NodeID, FailureDomain: cfg.FailureDomain, DomainDelay: g.domainDelay,
	})
	return g
}

// Picker returns the picker, for load probes.
func (g *Ingress) Picker() *routing.Picker { return g.picker }

// Budget returns the counts of the retry budget.
func (g *Ingress) Budget() retry.Stats { return g.budget.Stats() }

func (g *Ingress) domainDelay() time.Duration {
	in := g.intents.Intent()
	if in == nil {
		return 0
	}
	return time.Duration(in.Network.DomainOneWayMs * float64(time.Millisecond))
}

// boundDrain bounds the time in which the server reads what is left of a body after
// the answer. Without it, a caller that stops sending once it has the answer and keeps
// its connection holds the connection for ever.
func boundDrain(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// A connection that can't have a deadline is already closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
}

// ServeHTTP handles one request of a caller.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer boundDrain(w, r)
	start := time.Now()
	id, p := requestID(r)
	w.Header().Set(outcome.HeaderRequestID, id)
	if p == nil {
		p = checkProtocol(r)
	}
	x := &exchange{call: &call{id: id}, r: r, start: start}
	if p == nil {
		p = g.serve(w, x)
	}
	if p != nil {
		p.RequestID = id
		g.note(x, "answer", "", p.Error())
		p.Write(w)
	}
	g.metrics.finish(x, p)
}

func (g *Ingress) serve(w http.ResponseWriter, x *exchange) *outcome.Problem {
	in := g.intents.Intent()
	if in == nil {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, outcome.NotRun, "no intent is in force").WithRetryAfter(time.Second)
	}
	if x.r.URL.Path == tokenPath {
		return g.serveToken(w, x, in)
	}
	c, p := checkCall(x.r, x.call.id, in, g.cfg.DefaultTimeout)
	if p != nil {
		return p
	}
	x.call = c
	x.deadline = x.start.Add(min(c.timeout, g.cfg.MaxTimeout))
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if p := g.readStart(w, x); p != nil {
		return p
	}
	node, incarnation, token := g.token(c.key)
	if c.service.RequireToken && !token && needsToken(x.r.Method) {
		return refuse(http.StatusPreconditionRequired, outcome.ReasonTokenRequired, outcome.HeaderIdempotencyKey, "the service requires a token for POST and PATCH")
	}
	if c.attempt == 0 {
		g.budget.Send()
	}
	var a *answer
	if token {
		a = g.routeToken(ctx, x, node, incarnation)
	} else {
		a = g.routeThrottled(ctx, x)
	}
	if a.problem != nil {
		return a.problem
	}
	g.deliver(w, x, a)
	return nil
}

// throttleRetryAfter is the delay suggested to a throttled caller.
const throttleRetryAfter = time.Second

// routeThrottled refuses the request here if the upstreams refuse most requests
// like it. Requests with a token are exempt: an earlier send may have run, so that
// a refusal here could not say "not run".
func (g *Ingress) routeThrottled(ctx context.Context, x *exchange) *answer {
	k := throttle.Key{Service: x.service.Name, Rank: x.rank.Name, Caller: x.caller}
	if !g.throttle.Allow(k) {
		p := outcome.New(http.StatusServiceUnavailable, outcome.ReasonOverload, outcome.NotRun, "the upstreams refuse most requests of this rank and caller")
		return failed(p.WithRetryAfter(throttleRetryAfter))
	}
	a := g.route(ctx, x)
	if a.problem == nil || !lacksCapacity(a.problem.Reason) {
		g.throttle.Accepted(k)
	}
	return a
}

func lacksCapacity(r outcome.Reason) bool {
	return r == outcome.ReasonBusy || r == outcome.ReasonOverload || r == outcome.ReasonDeadline
}

// readDeadlineSlack keeps the read deadline behind the request's deadline, so
// that the latter is what ends a late request.
const readDeadlineSlack = 100 * time.Millisecond

// readStart reads the start of the body.
func (g *Ingress) readStart(w http.ResponseWriter, x *exchange) *outcome.Problem {
	// Not every ResponseWriter has read deadlines; without one the server's apply.
	_ = http.NewResponseController(w).SetReadDeadline(x.deadline.Add(readDeadlineSlack))
	began := time.Now()
	b, err := readPrefix(x.r, x.call.service.MaxBodyBytes)
	x.outside += time.Since(began)
	switch {
	case errors.Is(err, errBodyLimit):
		return tooLarge(x.call.service.MaxBodyBytes, outcome.NotRun)
	case err != nil && !time.Now().Before(x.deadline):
		return refuse(http.StatusRequestTimeout, outcome.ReasonDeadline, "body", "the body did not come before the deadline")
	case err != nil:
		return badRequest("body", "the body broke off")
	}
	x.body = b
	x.fingerprint = strconv.FormatUint(fingerprint(x.r, x.call.service.Name, b), 16)
	return nil
}

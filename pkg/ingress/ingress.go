// Package ingress accepts requests from callers, routes each to the sidecar of an
// upstream, and returns the complete response or a problem that states whether the
// request was run.
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

// Directory returns the upstreams that serve a service. It is safe for concurrent use.
type Directory interface {
	Candidates(service string) []routing.Candidate
}

// Intents returns the current intent, or nil before the first one.
type Intents interface {
	Intent() *intent.Intent
}

// Members looks up the node named by a token or a quarantine, regardless of the state
// of its upstream. It is safe for concurrent use.
type Members interface {
	Member(nodeID string) (*pb.Member, bool)
}

// TokenResolver returns the node that issued a token. It is safe for concurrent use.
type TokenResolver interface {
	// Parse reports false for keys that are not tokens.
	Parse(key string) (nodeID string, incarnation uint64, ok bool)
}

// TokenIssuer requests a token from the sidecar of an upstream. It is safe for
// concurrent use.
type TokenIssuer interface {
	Issue(ctx context.Context, address string, incarnation uint64, service string) (token string, expiresIn time.Duration, err error)
}

// Config holds the settings and optional parts of an Ingress.
type Config struct {
	// DefaultTimeout applies to requests that set no timeout. Default 10 s.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest accepted timeout. Default 300 s.
	MaxTimeout time.Duration
	// NodeID and FailureDomain describe this node.
	NodeID, FailureDomain string
	// Members is required for tokens and quarantined requests. May be nil.
	Members Members
	// Tokens and Issuer are nil if tokens are not supported.
	Tokens TokenResolver
	Issuer TokenIssuer
	// RequireEcho rejects responses that don't repeat the request id and attempt number.
	// Responses that repeat wrong values are always rejected.
	RequireEcho bool
	// Registry is where metrics are registered. Default: a new registry.
	Registry metrics.Registry
}

const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = maxTimeoutMs * time.Millisecond
	// drainTimeout is how long the rest of a request body is read after the response. A
	// caller that is still sending needs a few round trips to receive the response.
	drainTimeout = time.Second
)

// Ingress is the http.Handler for callers. It is safe for concurrent use.
type Ingress struct {
	cfg       Config
	directory Directory
	intents   Intents
	picker    *routing.Picker
	budget    *retry.Budget
	transport *http.Transport
	latencies *latencies
	throttle  *throttle.Throttle
	decisions *decisionLog
	metrics   *ingressMetrics
}

// New returns an ingress that forwards requests through the transport, which should
// come from NewTransport. With any other transport, a failed request counts as possibly
// run unless no connection was established.
func New(cfg Config, d Directory, i Intents, transport *http.Transport) *Ingress {
	if cfg.DefaultTimeout == 0 {
		cfg.DefaultTimeout = defaultTimeout
	}
	if cfg.MaxTimeout == 0 {
		cfg.MaxTimeout = maxTimeout
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	g := &Ingress{
		cfg: cfg, directory: d, intents: i, transport: transport, budget: retry.NewBudget(),
		latencies: newLatencies(), throttle: throttle.New(), decisions: newDecisionLog(), metrics: newIngressMetrics(cfg.Registry),
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

// setDrainDeadline bounds the time in which the server reads the rest of a request body
// after the response. Without it, a caller that stops sending after the response but
// keeps its connection open occupies the connection forever.
func setDrainDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// Setting a deadline fails only if the connection is already closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
}

// ServeHTTP handles a request of a caller.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer setDrainDeadline(w, r)
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
		g.record(x, "answer", "", p.Error())
		p.Write(w)
	}
	g.metrics.countFinished(x, p)
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
	if p := g.readBodyPrefix(w, x); p != nil {
		return p
	}
	node, incarnation, token := g.parseToken(c.key)
	if c.service.RequireToken && !token && needsToken(x.r.Method) {
		return reject(http.StatusPreconditionRequired, outcome.ReasonTokenRequired, outcome.HeaderIdempotencyKey, "the service requires a token for POST and PATCH")
	}
	if c.earlierRetries == 0 {
		g.budget.RecordFirstAttempt()
	}
	var a *attemptResult
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

// routeThrottled rejects the request locally if the upstreams reject most requests of
// this service, rank and caller. Requests with a token are exempt: an earlier attempt
// may have run, so a local rejection could not state "not run".
func (g *Ingress) routeThrottled(ctx context.Context, x *exchange) *attemptResult {
	k := throttle.Key{Service: x.service.Name, Rank: x.rank.Name, Caller: x.caller}
	if !g.throttle.Allow(k) {
		p := outcome.New(http.StatusServiceUnavailable, outcome.ReasonOverload, outcome.NotRun, "the upstreams refuse most requests of this rank and caller")
		return failedResult(p.WithRetryAfter(throttleRetryAfter))
	}
	a := g.route(ctx, x)
	if a.problem == nil || !lacksCapacity(a.problem.Reason) {
		g.throttle.RecordAccepted(k)
	}
	return a
}

func lacksCapacity(r outcome.Reason) bool {
	return r == outcome.ReasonBusy || r == outcome.ReasonOverload || r == outcome.ReasonDeadline
}

// readDeadlineSlack puts the read deadline after the request's deadline, so that a late
// request ends with the latter.
const readDeadlineSlack = 100 * time.Millisecond

// readBodyPrefix reads the prefix of the request body and computes the fingerprint.
func (g *Ingress) readBodyPrefix(w http.ResponseWriter, x *exchange) *outcome.Problem {
	// If the ResponseWriter doesn't support read deadlines, the server's apply.
	_ = http.NewResponseController(w).SetReadDeadline(x.deadline.Add(readDeadlineSlack))
	began := time.Now()
	b, err := readPrefix(x.r, x.call.service.MaxBodyBytes)
	x.externalTime += time.Since(began)
	switch {
	case errors.Is(err, errBodyLimit):
		return tooLarge(x.call.service.MaxBodyBytes, outcome.NotRun)
	case err != nil && !time.Now().Before(x.deadline):
		return reject(http.StatusRequestTimeout, outcome.ReasonDeadline, "body", "the body did not come before the deadline")
	case err != nil:
		return badRequest("body", "the body broke off")
	}
	x.body = b
	x.fingerprint = strconv.FormatUint(fingerprint(x.r, x.call.service.Name, b), 16)
	return nil
}

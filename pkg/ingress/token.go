package ingress

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
)

// tokenPath is where callers get tokens.
const tokenPath = "/.well-known/mulberrytray/token"

// needsToken reports whether a service that requires tokens does so for the method.
func needsToken(method string) bool {
	return method == http.MethodPost || method == http.MethodPatch
}

func (g *Ingress) token(key string) (nodeID string, incarnation uint64, ok bool) {
	if key == "" || g.cfg.Tokens == nil {
		return "", 0, false
	}
	return g.cfg.Tokens.Parse(key)
}

func tokenLost() *outcome.Problem {
	return outcome.New(http.StatusGone, outcome.ReasonTokenLost, outcome.Unknown,
		"the node that issued the token is gone, and with it what became of the request").WithField(outcome.HeaderIdempotencyKey)
}

// routeToken sends the request to the sidecar that issued the token. No other
// one may run it, and without an answer nobody knows whether it ran before.
func (g *Ingress) routeToken(ctx context.Context, x *exchange, nodeID string, incarnation uint64) *answer {
	m, ok := g.member(nodeID)
	if !ok || m.Incarnation > incarnation {
		return failed(tokenLost())
	}
	b, _ := x.body.attempt()
	// This node may not have heard of a new incarnation that issued the token. The
	// sidecar refuses the request if the token is not its own.
	c := candidate(m)
	c.Incarnation = incarnation
	s := g.picker.Use(x.service.Name, c)
	g.note(x, "token", nodeID, "the token's node")
	a := g.send(ctx, x, s, b, outcome.QueueWait, x.number())
	if a.problem == nil {
		return a
	}
	switch a.problem.Reason {
	case outcome.ReasonIncarnation:
		a.problem = tokenLost()
	case outcome.ReasonNodeUnreachable, outcome.ReasonDeadline, outcome.ReasonCancelled, outcome.ReasonTooLarge:
		a.problem.Outcome = outcome.Unknown
	}
	return a
}

// tokenTimeout bounds the time to get one token.
const tokenTimeout = 2 * time.Second

type tokenAnswer struct {
	Token       string `json:"token"`
	ExpiresInMs int64  `json:"expires_in_ms"`
}

// serveToken answers POST /.well-known/mulberrytray/token?service=S.
func (g *Ingress) serveToken(w http.ResponseWriter, x *exchange, in *intent.Intent) *outcome.Problem {
	if x.r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return refuse(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, "", "tokens are issued on POST")
	}
	service := x.r.URL.Query().Get("service")
	if _, ok := in.Service(service); !ok {
		return refuse(http.StatusNotFound, outcome.ReasonUnknownService, "service", "unknown service")
	}
	if g.cfg.Issuer == nil {
		return refuse(http.StatusNotImplemented, outcome.ReasonTokenInvalid, "", "this node issues no tokens")
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), tokenTimeout)
	defer cancel()
	answer, p := g.issue(ctx, x, service)
	if p != nil {
		return p
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(answer)
	return nil
}

// issue asks up to three sidecars for a token. Issuing runs nothing, so that a
// failed one may be followed by another.
func (g *Ingress) issue(ctx context.Context, x *exchange, service string) (*tokenAnswer, *outcome.Problem) {
	began := time.Now()
	defer func() { x.outside += time.Since(began) }()
	tried := map[string]bool{}
	detail := "no upstream is ready"
	for range maxReroutes {
		s, ok := g.picker.Pick(routing.Query{Service: service, Candidates: g.directory.Candidates(service), Tried: tried})
		if !ok {
			break
		}
		c := s.Candidate
		tried[c.NodeID] = true
		token, expires, err := g.cfg.Issuer.Issue(ctx, c.PeerAddress, c.Incarnation, service)
		if err == nil {
			s.Done(routing.Refused, nil)
			return &tokenAnswer{Token: token, ExpiresInMs: expires.Milliseconds()}, nil
		}
		s.Done(routing.Failed, nil)
		detail = err.Error()
	}
	return nil, outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, outcome.NotRun, detail).WithRetryAfter(time.Second)
}

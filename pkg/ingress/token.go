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

// tokenPath is the path at which callers request tokens.
const tokenPath = "/.well-known/mulberrytray/token"

// needsToken reports whether a service with RequireToken requires a token for the method.
func needsToken(method string) bool {
	return method == http.MethodPost || method == http.MethodPatch
}

// parseToken returns the node and incarnation that issued the token, or false if the
// idempotency key is not a token.
func (g *Ingress) parseToken(key string) (nodeID string, incarnation uint64, ok bool) {
	if key == "" || g.cfg.Tokens == nil {
		return "", 0, false
	}
	return g.cfg.Tokens.Parse(key)
}

func tokenLost() *outcome.Problem {
	return outcome.New(http.StatusGone, outcome.ReasonTokenLost, outcome.Unknown,
		"the node that issued the token is gone, and with it what became of the request").WithField(outcome.HeaderIdempotencyKey)
}

// routeToken sends the request to the sidecar that issued the token. No other sidecar
// may run it. Without a response from that sidecar, it is unknown whether an earlier
// attempt ran the request.
func (g *Ingress) routeToken(ctx context.Context, x *exchange, nodeID string, incarnation uint64) *attemptResult {
	m, ok := g.member(nodeID)
	if !ok || m.Incarnation > incarnation {
		return failedResult(tokenLost())
	}
	b, _ := x.body.newReader()
	// The token may come from an incarnation that this node has not yet observed. The
	// sidecar rejects the request if it did not issue the token.
	c := candidate(m)
	c.Incarnation = incarnation
	attempt := g.picker.StartAttempt(x.service.Name, c)
	g.record(x, "token", nodeID, "the token's node")
	a := g.timedAttempt(ctx, x, attempt, b, outcome.QueueWait, x.attemptNumber())
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

// tokenTimeout bounds the time to obtain a token.
const tokenTimeout = 2 * time.Second

type tokenResponse struct {
	Token       string `json:"token"`
	ExpiresInMs int64  `json:"expires_in_ms"`
}

// serveToken handles POST /.well-known/mulberrytray/token?service=S.
func (g *Ingress) serveToken(w http.ResponseWriter, x *exchange, in *intent.Intent) *outcome.Problem {
	if x.r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return reject(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, "", "tokens are issued on POST")
	}
	service := x.r.URL.Query().Get("service")
	if _, ok := in.Service(service); !ok {
		return reject(http.StatusNotFound, outcome.ReasonUnknownService, "service", "unknown service")
	}
	if g.cfg.Issuer == nil {
		return reject(http.StatusNotImplemented, outcome.ReasonTokenInvalid, "", "this node issues no tokens")
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), tokenTimeout)
	defer cancel()
	response, p := g.issueToken(ctx, x, service)
	if p != nil {
		return p
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(response)
	return nil
}

// issueToken requests a token from up to three sidecars. Issuing a token runs no
// request, so it is safe to attempt it on another sidecar after a failure.
func (g *Ingress) issueToken(ctx context.Context, x *exchange, service string) (*tokenResponse, *outcome.Problem) {
	began := time.Now()
	defer func() { x.externalTime += time.Since(began) }()
	attempted := map[string]bool{}
	detail := "no upstream is ready"
	for range maxReroutes {
		attempt, ok := g.picker.Pick(routing.Query{Service: service, Candidates: g.directory.Candidates(service), Excluded: attempted})
		if !ok {
			break
		}
		c := attempt.Candidate
		attempted[c.NodeID] = true
		token, expiresIn, err := g.cfg.Issuer.Issue(ctx, c.PeerAddress, c.Incarnation, service)
		if err == nil {
			attempt.Done(routing.Rejected, nil)
			return &tokenResponse{Token: token, ExpiresInMs: expiresIn.Milliseconds()}, nil
		}
		attempt.Done(routing.Failed, nil)
		detail = err.Error()
	}
	return nil, outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, outcome.NotRun, detail).WithRetryAfter(time.Second)
}

// Package ingress takes requests from callers, routes each to the sidecar of an
// upstream, and returns the whole answer or says what became of the request.
package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// Directory tells which upstreams serve a service. It is safe for concurrent use.
type Directory interface {
	Candidates(service string) []routing.Candidate
}

// Intents gives the intent in force, or nil before the first one.
type Intents interface {
	Intent() *intent.Intent
}

// Config holds the settings of an Ingress.
type Config struct {
	// DefaultTimeout applies to requests without a timeout of their own. Default 10 s.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest accepted timeout. Default 300 s.
	MaxTimeout time.Duration
}

// Ingress is the http.Handler for callers. It is safe for concurrent use.
type Ingress struct {
	cfg       Config
	directory Directory
	intents   Intents
	picker    *routing.Picker
	peers     http.RoundTripper
}

// New returns an ingress that forwards through the round tripper.
func New(cfg Config, d Directory, i Intents, peers http.RoundTripper) *Ingress {
	return &Ingress{cfg: cfg, directory: d, intents: i, picker: routing.NewPicker(), peers: peers}
}

// maxAttempts bounds the sidecars that are asked for one request.
const maxAttempts = 3

// ServeHTTP handles one request of a caller.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(outcome.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
		r.Header.Set(outcome.HeaderRequestID, id)
	}
	w.Header().Set(outcome.HeaderRequestID, id)
	if p := g.serve(w, r); p != nil {
		p.RequestID = id
		p.Write(w)
	}
}

func (g *Ingress) serve(w http.ResponseWriter, r *http.Request) *outcome.Problem {
	in := g.intents.Intent()
	if in == nil {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, outcome.NotRun, "no intent is in force").WithRetryAfter(time.Second)
	}
	service := r.Header.Get(outcome.HeaderService)
	if service == "" {
		service, _, _ = strings.Cut(r.Host, ".")
	}
	if _, ok := in.Service(service); !ok {
		return outcome.New(http.StatusNotFound, outcome.ReasonUnknownService, outcome.NotRun, "unknown service "+strconv.Quote(service)).WithField(outcome.HeaderService)
	}
	rank := r.Header.Get(outcome.HeaderRank)
	if _, ok := in.Rank(rank); !ok {
		return outcome.New(http.StatusBadRequest, outcome.ReasonUnknownRank, outcome.NotRun, "unknown rank "+strconv.Quote(rank)).WithField(outcome.HeaderRank)
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.cfg.DefaultTimeout)
	defer cancel()
	return g.route(ctx, w, r, service)
}

func (g *Ingress) route(ctx context.Context, w http.ResponseWriter, r *http.Request, service string) *outcome.Problem {
	tried := map[string]bool{}
	var last *outcome.Problem
	for range maxAttempts {
		c, ok := g.picker.Pick(g.directory.Candidates(service), tried)
		if !ok {
			break
		}
		tried[c.NodeID] = true
		var again bool
		again, last = g.attempt(ctx, w, r, c)
		if last == nil || !again {
			return last
		}
	}
	if last == nil {
		last = outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, outcome.NotRun, "no upstream is ready").WithRetryAfter(time.Second)
	}
	return last
}

// attempt forwards the request to one sidecar. It reports whether another one may be asked.
func (g *Ingress) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c routing.Candidate) (bool, *outcome.Problem) {
	defer g.picker.Done(c.NodeID)
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", c.PeerAddress
	out.Header.Set(outcome.HeaderTargetIncarnation, strconv.FormatUint(c.Incarnation, 10))
	resp, err := g.peers.RoundTrip(out)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return false, outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, outcome.Unknown, "the deadline passed")
		}
		return false, outcome.New(http.StatusBadGateway, outcome.ReasonNodeUnreachable, outcome.Unknown, err.Error())
	}
	defer resp.Body.Close()
	if outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)) == outcome.NotRun {
		reason := outcome.Reason(resp.Header.Get(outcome.HeaderReason))
		return true, outcome.New(resp.StatusCode, reason, outcome.NotRun, "refused by "+c.NodeID)
	}
	stream.CopyHeader(w.Header(), resp.Header)
	w.Header().Set(outcome.HeaderServedBy, c.NodeID)
	w.WriteHeader(resp.StatusCode)
	if err := stream.CopyBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return false, nil
}

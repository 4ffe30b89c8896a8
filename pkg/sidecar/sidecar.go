// Package sidecar forwards requests to the upstream beside the node. It is
// authoritative for the upstream's slots, drain state, at-most-once execution and
// crash detection.
package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// defaultLeaseTTL applies when Config.LeaseTTL is zero.
const defaultLeaseTTL = 2500 * time.Millisecond

// Config holds the settings of a Sidecar. Nil functions select the defaults.
type Config struct {
	// Incarnation identifies this start of the node.
	Incarnation uint64
	// LeaseTTL is the duration of the upstream's lease. Default 2.5 s.
	LeaseTTL time.Duration
	// Intent returns the intent in effect, or nil. It is called for each request
	// and must be fast. Default: no intent; all ranks are then equal.
	Intent func() *intent.Intent
	// ConfigVersion is reported in the load. Default 0.
	ConfigVersion func() uint64
	// Execute wraps the handler that runs a request that holds a slot. The wrapped
	// handler writes no failure responses: the sidecar writes the failure if the
	// outer handler returns without a response. Default: no wrapper.
	Execute func(next http.Handler) http.Handler
	// Registry receives the metrics. Default: a new registry.
	Registry metrics.Registry
}

// Sidecar is an http.Handler for forwarded requests. It is safe for concurrent use.
type Sidecar struct {
	cfg       Config
	events    *event.Logger
	transport *http.Transport
	lease     lease
	admission *admission.Controller
	execute   http.Handler
	metrics   sidecarMetrics
	intent    atomic.Pointer[intent.Intent]
	draining  atomic.Bool
	active    activity
	// announceMu serialises announcements and their effects.
	announceMu sync.Mutex
}

// New returns a sidecar without an upstream.
func New(cfg Config, events *event.Logger) *Sidecar {
	if cfg.LeaseTTL == 0 {
		cfg.LeaseTTL = defaultLeaseTTL
	}
	if cfg.Intent == nil {
		cfg.Intent = func() *intent.Intent { return nil }
	}
	if cfg.ConfigVersion == nil {
		cfg.ConfigVersion = func() uint64 { return 0 }
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	s := &Sidecar{
		cfg: cfg, events: events, lease: lease{ttl: cfg.LeaseTTL},
		admission: admission.New(nil), transport: newTransport(),
	}
	s.execute = http.HandlerFunc(s.dispatch)
	if cfg.Execute != nil {
		s.execute = cfg.Execute(s.execute)
	}
	s.metrics = newMetrics(cfg.Registry, s.admission)
	return s
}

// SetDrain starts or ends the drain. During a drain, new and queued requests are
// rejected immediately.
func (s *Sidecar) SetDrain(drain bool) {
	s.draining.Store(drain)
	a, _ := s.lease.get(time.Now())
	s.admission.SetDrain(drain || a.State == StateDraining)
}

// WaitIdle waits until no request is in progress. It returns the context's error
// if the context ends first.
func (s *Sidecar) WaitIdle(ctx context.Context) error { return s.active.wait(ctx) }

// Load returns the upstream's load.
func (s *Sidecar) Load() *pb.Load {
	a, valid := s.lease.get(time.Now())
	stats := s.admission.Stats()
	return &pb.Load{
		InFlight: uint32(stats.InFlight), Queued: uint32(stats.Queued), Slots: uint32(stats.Slots),
		ServiceTimeUs: uint32(min(stats.Service, maxTimeout).Microseconds()),
		State:         s.upstreamState(a, valid), ConfigVersion: s.cfg.ConfigVersion(),
	}
}

// Service returns the service that the upstream announced, or "".
func (s *Sidecar) Service() string {
	a, _ := s.lease.get(time.Now())
	return a.Service
}

func (s *Sidecar) upstreamState(a Announcement, valid bool) pb.UpstreamState {
	switch {
	case a.Service == "":
		return pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
	case !valid:
		return pb.UpstreamState_UPSTREAM_STATE_LAPSED
	case s.draining.Load() || a.State == StateDraining:
		return pb.UpstreamState_UPSTREAM_STATE_DRAINING
	case a.State == StateWarming:
		return pb.UpstreamState_UPSTREAM_STATE_WARMING
	}
	return pb.UpstreamState_UPSTREAM_STATE_READY
}

// ServeHTTP runs a forwarded request at the upstream.
func (s *Sidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.enter()
	defer s.active.leave()
	response := &responseWriter{ResponseWriter: w, sidecar: s}
	c := &call{}
	defer s.recoverPanic(response, c)
	problem := s.serve(response, r, c)
	if problem == nil || response.wroteHeader {
		return
	}
	problem.RequestID = c.forwarded.requestID
	s.metrics.rejected(problem.Reason)
	problem.Write(response)
}

// recoverPanic responds to a request whose handler panicked. The slot was released
// while the panic unwound the stack.
func (s *Sidecar) recoverPanic(w *responseWriter, c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	s.events.Emit(event.HandlerPanic, event.Fields{"panic": panicText(cause), "request_id": c.forwarded.requestID})
	if w.wroteHeader {
		panic(http.ErrAbortHandler)
	}
	result := outcome.NotRun
	if c.gate != nil && c.gate.seal() {
		result = outcome.Unknown
	}
	outcome.New(http.StatusInternalServerError, outcome.ReasonInternal, result, "the request handler failed").Write(w)
}

// call is the state of one request in the sidecar.
type call struct {
	forwarded forwarded
	// gate is nil until the request is dispatched.
	gate *writeGate
	// problem is the failure that the outer handler may handle, or nil.
	problem *outcome.Problem
	crashed bool
	// replaced is closed when another incarnation announces itself after the dispatch
	// has started.
	replaced <-chan struct{}
}

type callKey struct{}

// Crashed reports whether the upstream crashed while it ran the request of this
// context. It is meant for Config.Execute, after the wrapped handler has returned or
// has panicked with http.ErrAbortHandler, as it does on a truncated response.
func Crashed(ctx context.Context) bool {
	c, ok := ctx.Value(callKey{}).(*call)
	return ok && c.crashed
}

// Failure returns the problem that the handler wrapped by Config.Execute stored for
// the request of this context, or nil. The wrapper may handle it and write it itself,
// before the caller receives it.
func Failure(ctx context.Context) *outcome.Problem {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return nil
	}
	return c.problem
}

func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request, c *call) (problem *outcome.Problem) {
	c.forwarded, problem = parseForwarded(r)
	if problem != nil {
		return problem
	}
	if got := r.Header.Get(outcome.HeaderTargetIncarnation); got != strconv.FormatUint(s.cfg.Incarnation, 10) {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonIncarnation, outcome.NotRun, "the request is for another incarnation of the node")
	}
	if problem = s.unavailable(); problem != nil {
		return problem
	}
	deadline := time.Now().Add(c.forwarded.timeout)
	ctx, cancel := context.WithDeadline(context.WithValue(r.Context(), callKey{}, c), deadline)
	defer cancel()
	s.applyIntent()
	release, err := s.admission.Acquire(ctx, admission.Request{
		Rank: c.forwarded.rank, Caller: c.forwarded.caller, Deadline: deadline, NoWait: c.forwarded.noWait,
		Repeat: c.forwarded.repeat,
	})
	if err != nil {
		return rejectionProblem(err)
	}
	defer release()
	defer s.metrics.observe(c.forwarded.rank, s.intent.Load(), time.Now())
	s.execute.ServeHTTP(w, r.WithContext(ctx))
	return c.problem
}

// unavailable returns the reason why the upstream must not get requests now, or nil.
func (s *Sidecar) unavailable() *outcome.Problem {
	a, valid := s.lease.get(time.Now())
	switch s.upstreamState(a, valid) {
	case pb.UpstreamState_UPSTREAM_STATE_READY, pb.UpstreamState_UPSTREAM_STATE_WARMING:
		return nil
	case pb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonDraining, outcome.NotRun, "the upstream is draining")
	}
	return outcome.New(http.StatusServiceUnavailable, outcome.ReasonLeaseLapsed, outcome.NotRun, "the upstream's lease is not valid")
}

// applyIntent updates the ranks of admission if the intent changed.
func (s *Sidecar) applyIntent() {
	old, current := s.intent.Load(), s.cfg.Intent()
	if current != nil && current != old && s.intent.CompareAndSwap(old, current) {
		s.admission.SetRanks(current.Ranks)
	}
}

// Package sidecar runs requests at the upstream beside the node. It is
// authoritative for the upstream's slots, drain, at-most-once execution and
// crash evidence.
package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// Config holds the settings of a Sidecar.
type Config struct {
	// Incarnation of this node.
	Incarnation uint64
	// LeaseTTL is how long an announcement is valid. Default 2.5 s.
	LeaseTTL time.Duration
}

// Sidecar is an http.Handler for forwarded requests. It is safe for concurrent use.
type Sidecar struct {
	cfg      Config
	events   *event.Logger
	client   *http.Transport
	lease    lease
	inFlight atomic.Int32
	draining atomic.Bool
}

// New returns a sidecar without an upstream.
func New(cfg Config, events *event.Logger) *Sidecar {
	return &Sidecar{
		cfg: cfg, events: events, lease: lease{ttl: cfg.LeaseTTL},
		client: &http.Transport{MaxIdleConnsPerHost: 200, MaxConnsPerHost: 200, DisableCompression: true},
	}
}

// Announce takes an upstream's announcement.
func (s *Sidecar) Announce(a Announcement) AnnounceResponse {
	nonce := s.lease.renew(a, time.Now())
	return AnnounceResponse{Nonce: nonce, LeaseMs: s.cfg.LeaseTTL.Milliseconds()}
}

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// ServeAnnounce handles POST /v1/announce.
func (s *Sidecar) ServeAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, outcome.NotRun, err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Announce(a))
}

// SetDrain stops or resumes new work.
func (s *Sidecar) SetDrain(drain bool) { s.draining.Store(drain) }

// Load returns the upstream's load.
func (s *Sidecar) Load() *pb.Load {
	a, valid := s.lease.get(time.Now())
	return &pb.Load{
		InFlight: uint32(s.inFlight.Load()), Slots: uint32(a.Slots), State: s.upstreamState(a, valid),
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
	problem := s.serve(w, r)
	if problem != nil {
		problem.Write(w)
	}
}

func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) *outcome.Problem {
	if got := r.Header.Get(outcome.HeaderTargetIncarnation); got != strconv.FormatUint(s.cfg.Incarnation, 10) {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonIncarnation, outcome.NotRun, "the request is for another incarnation of the node")
	}
	a, valid := s.lease.get(time.Now())
	switch s.upstreamState(a, valid) {
	case pb.UpstreamState_UPSTREAM_STATE_READY, pb.UpstreamState_UPSTREAM_STATE_WARMING:
	case pb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonDraining, outcome.NotRun, "the upstream is draining")
	default:
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonLeaseLapsed, outcome.NotRun, "the upstream's lease is not valid")
	}
	if int(s.inFlight.Add(1)) > a.Slots {
		s.inFlight.Add(-1)
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonBusy, outcome.NotRun, "all slots are taken")
	}
	defer s.inFlight.Add(-1)
	return s.forward(w, r, a.Address)
}

func (s *Sidecar) forward(w http.ResponseWriter, r *http.Request, address string) *outcome.Problem {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", address
	resp, err := s.client.RoundTrip(out)
	if err != nil {
		return upstreamFailure(r.Context(), err)
	}
	defer resp.Body.Close()
	stream.CopyHeader(w.Header(), resp.Header)
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Run))
	w.WriteHeader(resp.StatusCode)
	if err := stream.CopyBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func upstreamFailure(ctx context.Context, err error) *outcome.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, outcome.Unknown, "the deadline passed while the request was running")
	}
	return outcome.New(http.StatusBadGateway, outcome.ReasonUpstreamFailed, outcome.Unknown, err.Error())
}

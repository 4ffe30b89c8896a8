package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/ident"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// State is the state that an upstream announces for itself.
type State string

// States of an upstream.
const (
	StateWarming  State = "warming"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Announcement is the message that an upstream posts to the node beside it.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:port on which the upstream accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs concurrently, 1 to 10000.
	Slots int `json:"slots"`
	// Incarnation identifies this start of the upstream.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Nonce is the nonce of the last response, or empty in the first announcement.
	Nonce string `json:"nonce"`
}

// AnnounceResponse is the response to an announcement.
type AnnounceResponse struct {
	// Nonce is the value that the next announcement must echo.
	Nonce string `json:"nonce"`
	// LeaseMs is the duration of the lease, counted from the issue of the nonce.
	LeaseMs int64 `json:"lease_ms"`
}

// Limits of an announcement.
const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 10000
)

// FieldError names the invalid field of an announcement, or the invalid header.
type FieldError struct {
	Field string
	Rule  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("sidecar: %s must be %s", e.Field, e.Rule)
}

// Validate returns a *FieldError for the first invalid field.
func (a Announcement) Validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case !ident.Valid(a.Service):
		return &FieldError{"service", ident.Rule}
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return &FieldError{"address", "an IP:port"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &FieldError{"slots", fmt.Sprintf("1 to %d", maxSlots)}
	case !ident.Valid(a.Incarnation):
		return &FieldError{"incarnation", ident.Rule}
	case a.State != StateWarming && a.State != StateReady && a.State != StateDraining:
		return &FieldError{"state", "warming, ready or draining"}
	case a.Nonce != "" && !ident.Valid(a.Nonce):
		return &FieldError{"nonce", "empty or " + ident.Rule}
	}
	return nil
}

// Announce applies a valid announcement and returns the next nonce.
func (s *Sidecar) Announce(a Announcement) AnnounceResponse {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	now := time.Now()
	before, wasValid := s.lease.get(now)
	nextNonce, applied := s.lease.renew(a, now)
	if applied {
		s.apply(before, wasValid)
	}
	return AnnounceResponse{Nonce: nextNonce, LeaseMs: s.cfg.LeaseTTL.Milliseconds()}
}

// apply updates admission from the current announcement and logs the changes since the
// previous one.
func (s *Sidecar) apply(before Announcement, wasValid bool) {
	current, _ := s.lease.get(time.Now())
	fields := event.Fields{"service": current.Service, "incarnation": current.Incarnation, "slots": current.Slots}
	if before.Incarnation != current.Incarnation || !wasValid {
		s.events.Emit(event.UpstreamAnnounced, fields)
		s.admission.SetSlots(0, false)
		before.State = ""
	}
	s.admission.SetSlots(min(current.Slots, maxConnections), current.State == StateWarming)
	s.admission.SetDrain(s.draining.Load() || current.State == StateDraining)
	switch {
	case before.State == current.State:
	case current.State == StateReady:
		s.events.Emit(event.UpstreamReady, fields)
	case current.State == StateDraining:
		s.events.Emit(event.UpstreamDraining, fields)
	}
}

// ServeAnnounce handles POST /v1/announce.
func (s *Sidecar) ServeAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		outcome.New(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, outcome.NotRun, "use POST").Write(w)
		return
	}
	a, problem := ReadAnnouncement(w, r)
	if problem != nil {
		problem.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Announce(a))
}

// ReadAnnouncement decodes and validates an announcement.
func ReadAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, *outcome.Problem) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		if tooLarge := new(http.MaxBytesError); asError(err, &tooLarge) {
			return a, outcome.New(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, outcome.NotRun, err.Error()).WithField("body")
		}
		field := "body"
		if wrongType := new(json.UnmarshalTypeError); asError(err, &wrongType) {
			field = wrongType.Field
		}
		return a, badField(field, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return a, badField("body", "data follows the announcement")
	}
	if err := a.Validate(); err != nil {
		return a, fieldProblem(err)
	}
	return a, nil
}

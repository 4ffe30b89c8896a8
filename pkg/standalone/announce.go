package standalone

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// leaseTime is the lease reported to upstreams, the same as mtnode grants. A mesh node
// does not rely on it: it detects a stopped upstream by the connection.
const leaseTime = 2500 * time.Millisecond

// Announcements returns a constructor of the handler that receives announcements of
// the upstream in the format of mtnode. Announcements of another service or address
// are rejected.
func Announcements(service, address string, events *event.Logger) func(*relay.Sidecar) http.Handler {
	return func(s *relay.Sidecar) http.Handler {
		h := &announceHandler{service: service, address: address, sidecar: s, events: events}
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/announce", h.serve)
		return mux
	}
}

// incarnationStart is the start time of all incarnations: their ids alone identify them.
const incarnationStart = 1

// announceHandler passes announcements to the sidecar. Their order is that of their arrival,
// since they don't contain any.
type announceHandler struct {
	service, address string
	sidecar          *relay.Sidecar
	events           *event.Logger
	sequence         atomic.Int64
}

func (h *announceHandler) serve(w http.ResponseWriter, r *http.Request) {
	a, problem := sidecar.ReadAnnouncement(w, r)
	if problem != nil {
		problem.Write(w)
		return
	}
	if a.Service != h.service || a.Address != h.address {
		h.events.Emit(event.AnnouncementInvalid, event.Fields{"upstream": a.Incarnation, "service": a.Service, "address": a.Address})
		outcome.New(http.StatusUnprocessableEntity, outcome.ReasonBadRequest, outcome.NotRun, "another service or address than that of the node's settings").Write(w)
		return
	}
	if h.forward(a) == announce.Refused {
		h.events.Emit(event.AnnouncementStale, event.Fields{"upstream": a.Incarnation})
		outcome.New(http.StatusServiceUnavailable, outcome.ReasonDraining, outcome.NotRun, "the incarnation may have ended").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(sidecar.AnnounceResponse{Nonce: uuid.NewString(), LeaseMs: leaseTime.Milliseconds()}); err != nil {
		h.events.Emit(event.AnswerNotDelivered, event.Fields{"upstream": a.Incarnation, "error": err.Error()})
	}
}

// forward passes the announcement to the sidecar. An incarnation that drains doesn't become ready
// again, so a later announcement of that is late.
func (h *announceHandler) forward(a sidecar.Announcement) announce.Verdict {
	if a.State == sidecar.StateDraining {
		return h.sidecar.ApplyStop(a.Incarnation, incarnationStart)
	}
	return h.sidecar.ApplyAnnouncement(announce.Announcement{
		ID: a.Incarnation, State: announce.Ready, Slots: a.Slots, StartUnixMillis: incarnationStart, Sequence: h.sequence.Add(1),
	})
}

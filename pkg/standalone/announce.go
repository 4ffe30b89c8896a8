package standalone

import (
	"encoding/json"
	"net/http"
	"sync"
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

// announceHandler orders the incarnations of the upstream by the time of their first
// announcement, since an incarnation id contains no order.
type announceHandler struct {
	service, address string
	sidecar          *relay.Sidecar
	events           *event.Logger

	mu                 sync.Mutex
	currentIncarnation string
	startUnixMillis    int64
	sequence           int64
	// ended contains the incarnation before the current one.
	ended map[string]bool
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
	if h.forward(a) == announce.Stale {
		h.events.Emit(event.AnnouncementStale, event.Fields{"upstream": a.Incarnation})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(sidecar.AnnounceResponse{Nonce: uuid.NewString(), LeaseMs: leaseTime.Milliseconds()}); err != nil {
		h.events.Emit(event.AnswerNotDelivered, event.Fields{"upstream": a.Incarnation, "error": err.Error()})
	}
}

// forward passes the announcement to the sidecar. Announcements of an incarnation
// that was replaced are stale.
func (h *announceHandler) forward(a sidecar.Announcement) announce.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended[a.Incarnation] {
		return announce.Stale
	}
	if a.Incarnation != h.currentIncarnation {
		h.startIncarnation(a.Incarnation)
	}
	h.sequence++
	state := announce.Ready
	if a.State == sidecar.StateDraining {
		state = announce.Draining
	}
	return h.sidecar.ApplyAnnouncement(announce.Announcement{ID: a.Incarnation, State: state, Slots: a.Slots, StartUnixMillis: h.startUnixMillis, Sequence: h.sequence})
}

// startIncarnation replaces the current incarnation. The caller holds mu.
func (h *announceHandler) startIncarnation(incarnation string) {
	if h.currentIncarnation != "" {
		// Only the previous incarnation can still have announcements in flight.
		h.ended = map[string]bool{h.currentIncarnation: true}
	}
	h.currentIncarnation, h.sequence = incarnation, 0
	h.startUnixMillis = max(time.Now().UnixMilli(), h.startUnixMillis+1)
}

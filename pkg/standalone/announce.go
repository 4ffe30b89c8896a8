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

// leaseTime is what upstreams are told about their lease; mtnode grants the same. A
// mesh node learns from the connection itself that an upstream is gone.
const leaseTime = 2500 * time.Millisecond

// Announcements returns the handler that takes announcements of an upstream of the
// service and address, in the format of mtnode.
func Announcements(service, address string, events *event.Logger) func(*relay.Sidecar) http.Handler {
	return func(s *relay.Sidecar) http.Handler {
		h := &announcements{service: service, address: address, sidecar: s, events: events}
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/announce", h.serve)
		return mux
	}
}

// announcements orders the starts of the upstream by the time of their first
// announcement, since they carry no order of their own.
type announcements struct {
	service, address string
	sidecar          *relay.Sidecar
	events           *event.Logger

	mu       sync.Mutex
	current  string
	born     int64
	sequence int64
	ended    map[string]bool
}

func (h *announcements) serve(w http.ResponseWriter, r *http.Request) {
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
	if h.take(a) == announce.Stale {
		h.events.Emit(event.AnnouncementStale, event.Fields{"upstream": a.Incarnation})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(sidecar.AnnounceResponse{Nonce: uuid.NewString(), LeaseMs: leaseTime.Milliseconds()}); err != nil {
		h.events.Emit(event.AnswerNotDelivered, event.Fields{"upstream": a.Incarnation, "error": err.Error()})
	}
}

// take passes the announcement on. A start that another one has replaced stays ended.
func (h *announcements) take(a sidecar.Announcement) announce.Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended[a.Incarnation] {
		return announce.Stale
	}
	if a.Incarnation != h.current {
		h.replace(a.Incarnation)
	}
	h.sequence++
	state := announce.Ready
	if a.State == sidecar.StateDraining {
		state = announce.Draining
	}
	return h.sidecar.Announce(announce.Announcement{ID: a.Incarnation, State: state, Slots: a.Slots, Born: h.born, Sequence: h.sequence})
}

// replace notes a new start. The lock is held.
func (h *announcements) replace(incarnation string) {
	if h.current != "" {
		// Only the last one can still have announcements on the way.
		h.ended = map[string]bool{h.current: true}
	}
	h.current, h.sequence = incarnation, 0
	h.born = max(time.Now().UnixMilli(), h.born+1)
}

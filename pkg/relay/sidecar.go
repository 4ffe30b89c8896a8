package relay

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/exchange"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

const (
	// responseSlack is how long after its deadline the response of a running request
	// is awaited, since upstreams themselves respond at the deadline.
	responseSlack = 100 * time.Millisecond
	// advanceInterval is how often the gate checks whether the deadline or the deferral of
	// a waiting request has ended.
	advanceInterval = 10 * time.Millisecond
	// stallThreshold is the time without a tick after which a stall of the process is
	// logged.
	stallThreshold = 60 * time.Millisecond
	// minLoadChange is the change of the number of requests above which the load is
	// reported to other nodes.
	minLoadChange = 1
	// downRetry is the Retry-After if the upstream is down.
	downRetry = 300 * time.Millisecond
)

// Sidecar runs calls at the upstream beside the node. It is the only sender of
// requests to this upstream, so it can count what runs there. It is safe for
// concurrent use.
type Sidecar struct {
	names   HeaderNames
	service string
	client  *exchange.Client
	events  *event.Logger
	start   time.Time
	// loadChanged is called when other nodes should receive the new load, stateChanged
	// when they must receive the new state at once. Both may be called with the lock
	// held and must not block.
	loadChanged, stateChanged func()
	// confirmDeparture waits until a departure of the upstream is stored, or is nil.
	confirmDeparture func(context.Context) error

	mu       sync.Mutex
	gate     *gate.Gate
	tracker  announce.Tracker
	down     bool
	stopping bool
	// held is set between Hold and Unhold.
	held bool
	// stopAt is when the node stops, or zero.
	stopAt      time.Duration
	waiting     map[*gate.Request]chan *Result
	failures    failureRatio
	meanService time.Duration
	slowdownAt  time.Duration
	lastLoad    UpstreamLoad
	// loadKnown is set by the first load report of the upstream.
	loadKnown    bool
	reportedLoad int
	// inFlight holds the fingerprints of the requests at the upstream.
	inFlight map[*gate.Request]uint64
	suspects *suspect.Table
}

// NewSidecar returns the sidecar of the upstream at the address. loadChanged is called
// when the load has changed noticeably, stateChanged when the upstream's state has.
func NewSidecar(names HeaderNames, service, address string, events *event.Logger, loadChanged, stateChanged func()) *Sidecar {
	return &Sidecar{
		names: names, service: service, client: exchange.NewClient(address), events: events, start: time.Now(),
		loadChanged: loadChanged, stateChanged: stateChanged, gate: gate.New(), waiting: map[*gate.Request]chan *Result{},
		inFlight: map[*gate.Request]uint64{}, suspects: suspect.New(),
	}
}

// SetBodies limits the memory for bodies. It must be called before the first call.
func (s *Sidecar) SetBodies(b *bodybuf.Budget) { s.client.Bodies = b }

// SetConfirmDeparture sets the function that ConfirmDeparture calls. It must be called before
// the first announcement.
func (s *Sidecar) SetConfirmDeparture(confirm func(context.Context) error) {
	s.confirmDeparture = confirm
}

// ConfirmDeparture waits until the departure that the upstream has announced is stored, so that
// it may be acknowledged. It returns nil at once if there is none.
func (s *Sidecar) ConfirmDeparture(ctx context.Context) error {
	if s.confirmDeparture == nil {
		return nil
	}
	return s.confirmDeparture(ctx)
}

func (s *Sidecar) now() time.Duration { return time.Since(s.start) }

// ApplyAnnouncement applies an announcement of the upstream. The announcement is in
// effect when ApplyAnnouncement returns.
func (s *Sidecar) ApplyAnnouncement(a announce.Announcement) announce.Verdict {
	s.mu.Lock()
	verdict := s.tracker.Observe(a)
	if verdict != announce.Stale {
		s.down = false
	}
	s.applyState()
	s.mu.Unlock()
	if verdict == announce.Changed {
		s.events.Emit(upstreamEvent(a.State), event.Fields{"upstream": a.ID, "born": a.StartUnixMillis, "sequence": a.Sequence, "slots": a.Slots, "state": a.State.String()})
		s.stateChanged()
	}
	return verdict
}

// ApplyStop applies the message in which the upstream reports that it is about to stop.
func (s *Sidecar) ApplyStop(id string, startUnixMillis int64) announce.Verdict {
	s.mu.Lock()
	verdict := s.tracker.ObserveStop(id, startUnixMillis, time.Now().UnixMilli())
	s.applyState()
	s.mu.Unlock()
	if verdict == announce.Changed {
		s.events.Emit(event.UpstreamDraining, event.Fields{"upstream": id, "born": startUnixMillis, "state": announce.Gone.String()})
		s.stateChanged()
	}
	return verdict
}

// ApplyDeparture applies a departure that an earlier process of the node has recorded.
func (s *Sidecar) ApplyDeparture(d roster.Departure) {
	s.mu.Lock()
	verdict := s.tracker.ObserveDeparture(d.Upstream, d.StartUnixMillis)
	s.applyState()
	s.mu.Unlock()
	s.events.Emit(event.UpstreamDraining, event.Fields{"upstream": d.Upstream, "born": d.StartUnixMillis, "state": announce.Gone.String(), "source": "registry"})
	if verdict == announce.Changed {
		s.stateChanged()
	}
}

// Hold keeps the upstream out of use until Unhold: it may have left before this process
// started.
func (s *Sidecar) Hold() { s.setHeld(true) }

// Unhold ends the effect of Hold.
func (s *Sidecar) Unhold() { s.setHeld(false) }

func (s *Sidecar) setHeld(held bool) {
	s.mu.Lock()
	changed := s.held != held && s.tracker.Current().State == announce.Ready
	s.held = held
	s.applyState()
	s.mu.Unlock()
	if changed {
		s.stateChanged()
	}
}

// Departure returns the id and the start time of the upstream if it has announced that it
// leaves. The start time is zero if it is not known.
func (s *Sidecar) Departure() (id string, startUnixMillis int64, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	return cur.ID, cur.StartUnixMillis, cur.State == announce.Draining || cur.State == announce.Gone
}

func upstreamEvent(st announce.State) event.Event {
	if st == announce.Ready {
		return event.UpstreamReady
	}
	return event.UpstreamDraining
}

// Stop rejects new and waiting calls. Running calls continue.
func (s *Sidecar) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.applyState()
	s.mu.Unlock()
	s.stateChanged()
}

// StopAt rejects all further calls that may last beyond the given time. Their ingresses
// send them to other upstreams.
func (s *Sidecar) StopAt(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = at.Sub(s.start)
}

// PruneServiceTimes lets the gate delete the service times of routes that the table does
// not contain.
func (s *Sidecar) PruneServiceTimes(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.PruneServiceTimes(t.HasRoute)
}

// CurrentUpstream returns the id and the start time of the upstream beside the node.
// The id is empty if it is unknown.
func (s *Sidecar) CurrentUpstream() (id string, startUnixMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	return cur.ID, cur.StartUnixMillis
}

// Stopped reports whether Stop was called.
func (s *Sidecar) Stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Dials returns the number of connections opened to the upstream so far.
func (s *Sidecar) Dials() int64 { return s.client.Dials() }

// Running returns the number of calls running at the upstream.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Running()
}

// applyState opens or closes the gate by the upstream's state. The lock must be held.
func (s *Sidecar) applyState() {
	cur := s.tracker.Current()
	if cur.State == announce.Ready && !s.down && !s.stopping && !s.held {
		s.deliver(s.gate.Open(s.now(), cur.Slots))
		return
	}
	s.deliver(s.gate.Close(s.now()))
}

// UpstreamState returns the state of the upstream for other nodes.
func (s *Sidecar) UpstreamState() roster.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	st := s.gate.State(now)
	u := roster.Upstream{
		ID: s.tracker.Current().ID, Accepting: st.Open, Limit: st.Limit, Running: st.Running, Queued: st.Queued,
		WaitMillis: int(st.Wait.Milliseconds()), ServiceMicros: int(s.meanService.Microseconds()),
		FailurePermille: int(s.failures.value(now) * 1000),
	}
	if s.slowdownAt > 0 {
		u.SlowdownPercent, u.SlowdownAgeMillis = int(st.Slowdown*100), int((now - s.slowdownAt).Milliseconds())
	}
	return u
}

package relay

import (
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/exchange"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

const (
	// answerSlack is how long after its deadline a running request is waited for,
	// since upstreams answer at their deadline themselves.
	answerSlack = 100 * time.Millisecond
	// deadlineTick is how often waiting requests are checked against time.
	deadlineTick = 10 * time.Millisecond
	// loadStep is the change of the number of requests that others are told of.
	loadStep = 1
	// downRetry is when requests that meet an upstream that is down should return.
	downRetry = 300 * time.Millisecond
)

// Sidecar runs calls at the upstream beside the node. It is the only one that
// sends to this upstream, so it knows what runs there. It is safe for concurrent use.
type Sidecar struct {
	names   Names
	service string
	client  *exchange.Client
	events  *event.Logger
	start   time.Time
	// changed is called when others should hear of the load, urgent when they should
	// hear of the state at once. Both may be called with the lock and don't block.
	changed, urgent func()

	mu          sync.Mutex
	gate        *gate.Gate
	tracker     announce.Tracker
	down        bool
	stopping    bool
	waiting     map[*gate.Request]chan *Result
	failures    failureShare
	meanService time.Duration
	paceAt      time.Duration
	declared    UpstreamLoad
	// loadKnown is set by the first load that the upstream stated.
	loadKnown bool
	toldLoad  int
	// inFlight holds the fingerprints of the requests at the upstream.
	inFlight map[*gate.Request]uint64
	suspects *suspect.Table
}

// NewSidecar returns the sidecar of the upstream at the address. Changed is called
// when the load has changed much, urgent when the upstream's state has.
func NewSidecar(names Names, service, address string, events *event.Logger, changed, urgent func()) *Sidecar {
	return &Sidecar{
		names: names, service: service, client: exchange.NewClient(address), events: events, start: time.Now(),
		changed: changed, urgent: urgent, gate: gate.New(), waiting: map[*gate.Request]chan *Result{},
		inFlight: map[*gate.Request]uint64{}, suspects: suspect.New(),
	}
}

func (s *Sidecar) now() time.Duration { return time.Since(s.start) }

// Announce takes an announcement of the upstream. It returns when the
// announcement is in force.
func (s *Sidecar) Announce(a announce.Announcement) announce.Verdict {
	s.mu.Lock()
	verdict := s.tracker.Observe(a)
	if verdict != announce.Stale {
		s.down = false
	}
	s.applyState()
	s.mu.Unlock()
	if verdict == announce.Changed {
		s.events.Emit(upstreamEvent(a.State), event.Fields{"upstream": a.ID, "born": a.Born, "sequence": a.Sequence, "slots": a.Slots, "state": a.State.String()})
		s.urgent()
	}
	return verdict
}

// Leave takes the statement of the upstream that it ends.
func (s *Sidecar) Leave(id string, born int64) announce.Verdict {
	s.mu.Lock()
	verdict := s.tracker.Leave(id, born, time.Now().UnixMilli())
	s.applyState()
	s.mu.Unlock()
	if verdict == announce.Changed {
		s.events.Emit(event.UpstreamDraining, event.Fields{"upstream": id, "born": born, "state": announce.Gone.String()})
		s.urgent()
	}
	return verdict
}

func upstreamEvent(st announce.State) event.Event {
	if st == announce.Ready {
		return event.UpstreamReady
	}
	return event.UpstreamDraining
}

// Stop refuses new calls and those that wait. Running calls go on.
func (s *Sidecar) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.applyState()
	s.mu.Unlock()
	s.urgent()
}

// Install tells which routes there are now.
func (s *Sidecar) Install(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Keep(t.Has)
}

// Known returns id and start of the upstream that the sidecar knows.
func (s *Sidecar) Known() (id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	return cur.ID, cur.Born
}

// Stopped reports whether Stop was called.
func (s *Sidecar) Stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Dials returns the number of connections that were opened to the upstream.
func (s *Sidecar) Dials() int64 { return s.client.Dials() }

// Running returns the number of calls at the upstream.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Running()
}

// applyState opens or closes the gate.
func (s *Sidecar) applyState() {
	cur := s.tracker.Current()
	if cur.State == announce.Ready && !s.down && !s.stopping {
		s.settle(s.gate.Open(s.now(), cur.Slots))
		return
	}
	s.settle(s.gate.Close(s.now()))
}

// Status returns what other nodes need to know of the upstream.
func (s *Sidecar) Status() roster.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	st := s.gate.State(now)
	u := roster.Upstream{
		ID: s.tracker.Current().ID, Open: st.Open, Limit: st.Limit, Running: st.Running, Queued: st.Queued,
		WaitMillis: int(st.Wait.Milliseconds()), ServiceMicros: int(s.meanService.Microseconds()),
		FailurePermille: int(s.failures.value(now) * 1000),
	}
	if s.paceAt > 0 {
		u.Pace, u.PaceAgeMillis = int(st.Pace*100), int((now - s.paceAt).Milliseconds())
	}
	return u
}

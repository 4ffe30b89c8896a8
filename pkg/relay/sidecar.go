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
	// standstillThreshold is the time without a tick after which the time does not count for the
	// delay of messages. On busy VMs a process waits for some 100 ms now and then.
	standstillThreshold = time.Second
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
	// held is set from Hold until EndHold or ConfirmRecords.
	held bool
	// evacuated is set while SetEvacuated has taken the upstream out of use.
	evacuated bool
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
	// inFlight holds the requests at the upstream.
	inFlight map[*gate.Request]runningRequest
	suspects *suspect.Table
	// upstreamStarts is the number of starts of the upstream that were noticed.
	upstreamStarts uint64
	// blockedLog limits the events on blocked requests.
	blockedLog event.Limiter
	cold       coldness
	// requests limits the calls of other nodes in progress.
	requests *RequestLimit
	// lastTick is the time of the last tick, or zero. standstill is the time for which the process
	// did not run.
	lastTick, standstill time.Duration
}

// NewSidecar returns the sidecar of the upstream at the address. loadChanged is called
// when the load has changed noticeably, stateChanged when the upstream's state has.
func NewSidecar(names HeaderNames, service, address string, events *event.Logger, loadChanged, stateChanged func()) *Sidecar {
	return &Sidecar{
		names: names, service: service, client: exchange.NewClient(address), events: events, start: time.Now(),
		loadChanged: loadChanged, stateChanged: stateChanged, gate: gate.New(), waiting: map[*gate.Request]chan *Result{},
		inFlight: map[*gate.Request]runningRequest{}, suspects: suspect.New(), blockedLog: event.Limiter{Interval: suspectLogInterval},
	}
}

// SetBodies limits the memory for bodies. It must be called before the first call.
func (s *Sidecar) SetBodies(b *bodybuf.Budget) { s.client.Bodies = b }

// SetRequestLimit limits the calls of other nodes in progress. It must be called before the first
// call.
func (s *Sidecar) SetRequestLimit(l *RequestLimit) { s.requests = l }

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

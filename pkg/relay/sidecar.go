package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/exchange"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/quarantine"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

const (
	// answerSlack is how long after its deadline a running request is waited for,
	// since upstreams answer at their deadline themselves.
	answerSlack = 100 * time.Millisecond
	// deadlineTick is how often waiting requests are checked against time.
	deadlineTick = 10 * time.Millisecond
	// failureWeight is the part of one result in the share of failures.
	failureWeight = 0.1
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

	mu       sync.Mutex
	gate     *gate.Gate
	tracker  announce.Tracker
	down     bool
	stopping bool
	waiting  map[*gate.Request]chan *Result
	failures float64
	service0 time.Duration
	paceAt   time.Duration
	declared UpstreamLoad
	toldLoad int
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

// Adopt sets the upstream's id and slots as read from the upstream itself, for a
// node that starts beside a running upstream. An announcement goes first.
func (s *Sidecar) Adopt(id string, load UpstreamLoad) {
	s.mu.Lock()
	adopted := s.tracker.Current().State == announce.Unknown && id != "" && load.Slots > 0
	if adopted {
		s.tracker.Observe(announce.Announcement{ID: id, State: announce.Ready, Slots: load.Slots})
		s.applyState()
	}
	s.mu.Unlock()
	s.Observe(load)
	if adopted {
		s.events.Emit(event.UpstreamReady, event.Fields{"upstream": id, "slots": load.Slots, "source": "health"})
		s.urgent()
	}
}

// Stop refuses new calls and those that wait. Running calls go on.
func (s *Sidecar) Stop() {
	s.mu.Lock()
	s.stopping = true
	s.applyState()
	s.mu.Unlock()
	s.urgent()
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
		WaitMillis: int(st.Wait.Milliseconds()), ServiceMicros: int(s.service0.Microseconds()),
		FailurePermille: int(s.failures * 1000),
	}
	if s.paceAt > 0 {
		u.Pace, u.PaceAgeMillis = int(st.Pace*100), int((now - s.paceAt).Milliseconds())
	}
	return u
}

// PaceAge returns the time since the upstream last stated its pace, 0 if it never did.
func (s *Sidecar) PaceAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paceAt == 0 {
		return 0
	}
	return s.now() - s.paceAt
}

// Observe takes the load that the upstream stated just now.
func (s *Sidecar) Observe(l UpstreamLoad) {
	if l.Pace <= 0 {
		return
	}
	s.mu.Lock()
	old := s.declared.Pace
	s.declared, s.paceAt = l, s.now()
	s.settle(s.gate.Pace(s.now(), l.Pace))
	s.mu.Unlock()
	if l.Pace > old*1.25 || l.Pace < old*0.8 {
		s.changed()
	}
}

// Run runs the call at the upstream. It never returns nil. The context's end
// withdraws a call that waits and cancels an idempotent one that runs; others
// run to their end.
func (s *Sidecar) Run(ctx context.Context, c *Call) *Result {
	result := s.admit(ctx, c)
	result.State = s.Status()
	return result
}

func (s *Sidecar) admit(ctx context.Context, c *Call) *Result {
	r, wait, result := s.enter(c)
	if result != nil {
		return result
	}
	if wait != nil {
		select {
		case result = <-wait:
		case <-ctx.Done():
			result = s.withdraw(r, wait)
		}
		if result != nil {
			result.Waited = s.now() - (r.Deadline - c.Timeout)
			return result
		}
	}
	began := s.now()
	result = s.run(ctx, c, r)
	result.Waited, result.Ran = r.Waited(), s.now()-began
	return result
}

// enter offers the call to the gate. A nil result and a nil channel mean that it
// may run now; the channel yields nil when it may, or a refusal.
func (s *Sidecar) enter(c *Call) (*gate.Request, chan *Result, *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	if c.Service != s.service || (c.Upstream != "" && c.Upstream != cur.ID) {
		return nil, nil, refused("other-upstream", 0)
	}
	c.Upstream = cur.ID
	now := s.now()
	r := &gate.Request{
		Class: c.Class, Rank: c.Rank, Length: c.Target,
		Target: now + c.TargetLeft, Deadline: now + c.Timeout,
	}
	started, refusal, o := s.gate.Offer(now, r)
	s.settle(o)
	s.tellLoad()
	if refusal != nil {
		return nil, nil, refused(string(refusal.Reason), refusal.RetryAfter)
	}
	if started {
		return r, nil, nil
	}
	wait := make(chan *Result, 1)
	s.waiting[r] = wait
	return r, wait, nil
}

// tellLoad has others told when the load moved far from what they were told. The
// lock is held; changed does not block.
func (s *Sidecar) tellLoad() {
	load := s.gate.Load()
	if load > s.toldLoad+loadStep || load < s.toldLoad-loadStep {
		s.toldLoad = load
		s.changed()
	}
}

// settle tells waiting calls what the gate decided. The lock is held.
func (s *Sidecar) settle(o gate.Outcome) {
	for _, r := range o.Started {
		s.waiting[r] <- nil
		delete(s.waiting, r)
	}
	for _, x := range o.Refused {
		s.waiting[x.Request] <- refused(string(x.Reason), x.RetryAfter)
		delete(s.waiting, x.Request)
	}
}

// withdraw removes a call whose caller left while it waited. A nil result means
// that it got its slot at the same moment.
func (s *Sidecar) withdraw(r *gate.Request, wait chan *Result) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate.Withdraw(r) {
		delete(s.waiting, r)
		return refused(string(gate.ReasonCanceled), 0)
	}
	return <-wait
}

func (s *Sidecar) run(ctx context.Context, c *Call, r *gate.Request) *Result {
	left := r.Deadline - s.now()
	if err := ctx.Err(); err != nil || left <= 0 {
		s.done(r, false)
		return refused(string(gate.ReasonDeadline), 0)
	}
	print := quarantine.Fingerprint(c.Service+c.Caller, c.Method, c.URI, c.Length, c.Body)
	if !s.begin(r, print) {
		s.done(r, false)
		return refused("crashes-upstreams", 0)
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+answerSlack)
	resp, err := s.client.Do(ctx, s.request(c, left))
	if err != nil {
		result := s.failure(ctx, err)
		cancel()
		s.checkCrash(result)
		s.done(r, false)
		return result
	}
	result := s.answer(c, resp)
	s.answered(print)
	ranToEnd := result.Kind == Answered && result.Status < http.StatusInternalServerError
	if result.Rest == nil {
		cancel()
		s.done(r, ranToEnd)
		return result
	}
	result.Rest = &closer{ReadCloser: result.Rest, done: func() { cancel(); s.done(r, ranToEnd) }}
	return result
}

// begin notes a request that is about to run, unless it crashes upstreams.
func (s *Sidecar) begin(r *gate.Request, print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Blocked(s.now(), print) {
		return false
	}
	s.inFlight[r] = print
	return true
}

func (s *Sidecar) answered(print uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Answered(print)
}

// checkCrash looks whether the upstream is gone after an answer was lost. If it is,
// all requests in flight are suspects.
func (s *Sidecar) checkCrash(lost *Result) {
	if lost.Kind != Failed || lost.TimedOut || s.Down() {
		return
	}
	err := s.client.Reachable()
	if err == nil {
		return
	}
	s.mu.Lock()
	var prints []uint64
	for _, print := range s.inFlight {
		prints = append(prints, print)
	}
	s.suspects.Crashed(s.now(), prints)
	s.mu.Unlock()
	s.events.Emit(event.UpstreamCrashed, event.Fields{"suspects": len(prints), "error": err.Error()})
	s.setDown(err)
}

// Suspects returns the requests that may have crashed the upstream.
func (s *Sidecar) Suspects() []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Own(s.now())
}

// Suspected takes the suspects of another node.
func (s *Sidecar) Suspected(node string, entries []suspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Told(s.now(), node, entries)
}

// request returns the call as the upstream gets it.
func (s *Sidecar) request(c *Call, left time.Duration) *exchange.Request {
	h := c.Header.Clone()
	h.Set(s.names.TimeoutMillis, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(s.names.CallerService, c.Caller)
	h.Set(s.names.ExpectUpstream, c.Upstream)
	return &exchange.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Rest: c.Rest, Length: c.Length,
		Once: !c.Idempotent, IDHeader: s.names.RequestID,
	}
}

// answer judges what the upstream sent.
func (s *Sidecar) answer(c *Call, resp *exchange.Response) *Result {
	if l, ok := s.names.ParseLoad(resp.Header.Get(s.names.Load)); ok {
		s.Observe(l)
	}
	result := &Result{Kind: Answered, Status: resp.Status, Header: endToEnd(resp.Header), Body: resp.Body, Rest: resp.Rest, Length: resp.Length}
	switch {
	case resp.Header.Get(s.names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest:
		result.close()
		result = &Result{Kind: Declined, Reason: "declined-by-upstream", RetryAfter: downRetry}
	case resp.Header.Get(s.names.Seal) == "" || resp.Header.Get("Content-Encoding") != "":
		result.close()
		result = failed("invalid-answer", false)
	}
	s.observeResult(result.Kind == Answered && result.Status < http.StatusInternalServerError)
	return result
}

// failure maps an error of the exchange.
func (s *Sidecar) failure(ctx context.Context, err error) *Result {
	switch {
	case errors.Is(err, exchange.ErrRefused) && ctx.Err() == nil:
		s.setDown(err)
		return refused("upstream-down", downRetry)
	case errors.Is(err, exchange.ErrNotSent):
		return refused("not-sent", downRetry)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		s.observeResult(false)
		return failed("no-answer-in-time", true)
	}
	s.observeResult(false)
	return failed("answer-lost", false)
}

func (s *Sidecar) setDown(err error) {
	s.mu.Lock()
	was := s.down
	s.down = true
	s.applyState()
	s.mu.Unlock()
	if !was {
		id, _ := s.Known()
		s.events.Emit(event.UpstreamDown, event.Fields{"upstream": id, "error": err.Error()})
		s.urgent()
	}
}

// Down reports whether the upstream takes no connections.
func (s *Sidecar) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Up notes that the upstream takes connections again.
func (s *Sidecar) Up() {
	s.mu.Lock()
	s.down = false
	s.applyState()
	s.mu.Unlock()
	id, born := s.Known()
	s.events.Emit(event.UpstreamUp, event.Fields{"upstream": id, "born": born})
	s.urgent()
}

func (s *Sidecar) observeResult(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := 1.0
	if ok {
		sample = 0
	}
	s.failures += failureWeight * (sample - s.failures)
}

func (s *Sidecar) done(r *gate.Request, ranToEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.settle(s.gate.Done(s.now(), r, ranToEnd))
	s.tellLoad()
	s.service0 = s.gate.Service(r.Class)
}

// Tick refuses waiting calls whose time has run out. It is called periodically.
func (s *Sidecar) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.settle(s.gate.Advance(s.now()))
	}
}

// Watch calls Tick until the context ends.
func (s *Sidecar) Watch(ctx context.Context) {
	t := time.NewTicker(deadlineTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Tick()
		}
	}
}

// Probe asks the upstream for its health and load.
func (s *Sidecar) Probe(ctx context.Context, path, host string) error {
	resp, err := s.client.Do(ctx, &exchange.Request{Method: http.MethodGet, URI: path, Host: host, Header: http.Header{}, IDHeader: s.names.RequestID})
	if err != nil {
		if errors.Is(err, exchange.ErrRefused) && ctx.Err() == nil {
			s.setDown(err)
		}
		return fmt.Errorf("probe: %w", err)
	}
	if resp.Rest != nil {
		_ = resp.Rest.Close()
	}
	if s.Down() {
		s.Up()
	}
	l, ok := s.names.ParseLoad(resp.Header.Get(s.names.Load))
	if ok && resp.Status == http.StatusOK {
		s.Adopt(resp.Header.Get(s.names.UpstreamID), l)
	}
	return nil
}

// closer calls done once when a body ends or is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Read implements io.Reader.
func (c *closer) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != nil {
		c.once.Do(c.done)
	}
	return n, err
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.done)
	return err
}

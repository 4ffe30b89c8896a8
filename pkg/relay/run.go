package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/exchange"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

const (
	// reasonBodyBroken is for calls whose body broke off or stalled while it was sent to the upstream.
	reasonBodyBroken = "body-broken"
	// reasonAnswerLost is for calls whose connection to the upstream ended before the response.
	reasonAnswerLost = "answer-lost"
)

// errUpstreamDown is the error of requests in flight at an upstream that is known to be down.
var errUpstreamDown = errors.New("upstream is down")

// Run runs the call at the upstream. It never returns nil. Cancelling the context
// withdraws a waiting call and cancels a running idempotent one; other running calls
// continue until they complete.
func (s *Sidecar) Run(ctx context.Context, c *Call) *Result {
	result := s.admit(ctx, c)
	result.State = s.UpstreamState()
	return result
}

// admit waits for a slot and runs the call in it.
func (s *Sidecar) admit(ctx context.Context, c *Call) *Result {
	r, wait, result := s.offer(c)
	if result != nil {
		return result
	}
	if wait != nil {
		// A request whose body has stopped must not hold the slot of one that is complete.
		s.requests.Evict(intake.Slot)
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
	result = s.run(ctx, c, r, began)
	result.Waited, result.RunTime = r.Waited(), s.now()-began
	return result
}

// offer offers the call to the gate. A non-nil result is a rejection. If both result and
// channel are nil, the call may run now. Otherwise the channel receives nil when the call
// may run, or a rejection.
func (s *Sidecar) offer(c *Call) (*gate.Request, chan *Result, *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	if c.Service != s.service || (c.Upstream != "" && c.Upstream != cur.ID) {
		return nil, nil, rejected("other-upstream", 0)
	}
	c.Upstream = cur.ID
	now := s.now()
	if s.stopAt > 0 && now+c.Timeout+responseSlack > s.stopAt {
		return nil, nil, rejected("stopping", 0)
	}
	r := &gate.Request{
		Class: c.Class, Organisation: c.Organisation, Rank: c.Rank, TargetLatency: c.Target,
		TargetTime: now + c.TargetLeft, Deadline: now + c.Timeout,
	}
	started, rejection, d := s.gate.Offer(now, r)
	s.deliver(d)
	s.reportLoad()
	if rejection != nil {
		return nil, nil, rejected(string(rejection.Reason), rejection.RetryAfter)
	}
	if started {
		return r, nil, nil
	}
	wait := make(chan *Result, 1)
	s.waiting[r] = wait
	return r, wait, nil
}

// reportLoad calls loadChanged if the load differs by more than minLoadChange from
// the last reported one. The lock must be held; loadChanged does not block.
func (s *Sidecar) reportLoad() {
	load := s.gate.Load()
	if load > s.reportedLoad+minLoadChange || load < s.reportedLoad-minLoadChange {
		s.reportedLoad = load
		s.loadChanged()
	}
}

// deliver sends the gate's decisions to the waiting calls. The lock must be held.
func (s *Sidecar) deliver(d gate.Decisions) {
	for _, r := range d.Started {
		s.waiting[r] <- nil
		delete(s.waiting, r)
	}
	for _, rejection := range d.Rejected {
		s.waiting[rejection.Request] <- rejected(string(rejection.Reason), rejection.RetryAfter)
		delete(s.waiting, rejection.Request)
	}
}

// withdraw removes a waiting call whose caller has disconnected. A nil result means
// that the call got its slot just before.
func (s *Sidecar) withdraw(r *gate.Request, wait chan *Result) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate.Withdraw(r) {
		delete(s.waiting, r)
		return rejected(string(gate.ReasonCanceled), 0)
	}
	return <-wait
}

// run runs a call that has had a slot since began, and frees the slot when the response is complete.
func (s *Sidecar) run(ctx context.Context, c *Call, r *gate.Request, began time.Duration) *Result {
	left := r.Deadline - s.now()
	if err := ctx.Err(); err != nil || left <= 0 {
		s.release(r, false)
		return rejected(string(gate.ReasonDeadline), 0)
	}
	fingerprint := fingerprintOf(c)
	if !s.registerInFlight(r, fingerprint) {
		s.release(r, false)
		return rejected(reasonCrashesUpstreams, 0)
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+responseSlack)
	resp, err := s.client.Do(ctx, s.upstreamRequest(c, left))
	if err != nil {
		result := s.classifyError(ctx, began, err)
		cancel()
		if result.Reason != reasonBodyBroken {
			s.checkCrash(result)
		}
		s.release(r, false)
		return result
	}
	result := s.classifyResponse(c, began, resp)
	completed := result.Kind == Completed && result.Status < http.StatusInternalServerError
	if result.Rest == nil {
		cancel()
		if result.Kind == Completed {
			s.recordCompletion(fingerprint)
		}
		s.release(r, completed)
		return result
	}
	rest := &closer{ReadCloser: &restWatcher{ReadCloser: result.Rest, ended: func(err error) { s.restEnded(ctx, fingerprint, err) }}, done: func() { cancel(); s.release(r, completed) }}
	// A reader may leave no room for more of the body.
	context.AfterFunc(ctx, func() { _ = rest.Close() })
	result.Rest = s.client.Bodies.ReadAhead(rest, maxAheadBytes)
	return result
}

// restEnded records how the rest of a response has ended: it is complete, or the upstream may have
// crashed while it sent it.
func (s *Sidecar) restEnded(ctx context.Context, fingerprint uint64, err error) {
	if errors.Is(err, io.EOF) {
		s.recordCompletion(fingerprint)
	} else if ctx.Err() == nil {
		s.checkCrash(failed(reasonAnswerLost, false))
	}
}

// upstreamRequest returns the request for the upstream.
func (s *Sidecar) upstreamRequest(c *Call, left time.Duration) *exchange.Request {
	h := c.Header.Clone()
	h.Set(s.names.TimeoutMillis, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(s.names.CallerService, c.Caller)
	h.Set(s.names.ExpectUpstream, c.Upstream)
	if c.Organisation != "" {
		h.Set(s.names.Organisation, c.Organisation)
	}
	return &exchange.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Rest: c.Rest, Length: c.Length,
		AtMostOnce: !c.Idempotent, IDHeader: s.names.ResponseID, IDOptional: s.names.ResponseIDOptional, NotRunHeader: s.names.NotRun,
	}
}

// classifyResponse converts the upstream's response to a result: Declined if the
// request was not run, Failed if the response is invalid or may be a repeated refusal of
// another request, Completed otherwise.
func (s *Sidecar) classifyResponse(c *Call, began time.Duration, resp *exchange.Response) *Result {
	if l, ok := s.names.ParseLoad(resp.Header.Get(s.names.Load)); ok {
		s.RecordLoad(l)
	}
	result := &Result{Kind: Completed, Status: resp.Status, Header: endToEnd(resp.Header), Body: resp.Body, Rest: resp.Rest, Length: resp.Length, buffer: resp.Buffer}
	switch {
	case resp.NotRun && !resp.Matched:
		result.close()
		result = failed("unmatched-refusal", false)
	case resp.NotRun:
		result.close()
		result = &Result{Kind: Declined, Reason: "declined-by-upstream", RetryAfter: downRetry}
	case (s.names.Seal != "" && resp.Header.Get(s.names.Seal) == "") || resp.Header.Get("Content-Encoding") != "":
		result.close()
		result = failed("invalid-answer", false)
	}
	s.observeResult(began, result.Kind == Completed && result.Status < http.StatusInternalServerError)
	return result
}

// classifyError converts an error of the exchange to a result.
func (s *Sidecar) classifyError(ctx context.Context, began time.Duration, err error) *Result {
	switch {
	case errors.Is(err, exchange.ErrConnRefused) && ctx.Err() == nil:
		s.markDown(err)
		return rejected("upstream-down", downRetry)
	case errors.Is(err, exchange.ErrNotSent):
		return rejected("not-sent", downRetry)
	case errors.Is(err, exchange.ErrBodyBroken):
		// This says nothing about the upstream.
		return failed(reasonBodyBroken, false)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		s.observeResult(began, false)
		return failed("no-answer-in-time", true)
	}
	s.observeResult(began, false)
	s.requestColdProbe()
	return failed(reasonAnswerLost, false)
}

// observeResult records the result of a request that began to run at the given time.
func (s *Sidecar) observeResult(began time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.observe(s.now(), began, ok)
}

// release frees the slot of the request.
func (s *Sidecar) release(r *gate.Request, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.deliver(s.gate.Done(s.now(), r, completed))
	s.reportLoad()
	s.meanService = s.gate.ServiceTime(r.Class)
}

// Tick starts waiting calls whose deferral has ended and rejects those that are too late.
// It must be called periodically.
func (s *Sidecar) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messageTime()
	s.lastTick = s.now()
	if len(s.waiting) > 0 {
		s.deliver(s.gate.Advance(s.now()))
	}
}

// RunTicker calls Tick periodically until the context ends. It logs when the process was
// not running for stallThreshold.
func (s *Sidecar) RunTicker(ctx context.Context) {
	t := time.NewTicker(advanceInterval)
	defer t.Stop()
	last := s.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := s.now()
			if gap := now - last; gap > stallThreshold {
				s.events.Emit(event.ProcessStalled, event.Fields{"gap_ms": gap.Milliseconds()})
			}
			last = now
			s.Tick()
		}
	}
}

// restWatcher calls ended when reading the body ends, with io.EOF if it is complete. It is not called
// if the body is closed before.
type restWatcher struct {
	io.ReadCloser
	once   sync.Once
	ended  func(error)
	closed atomic.Bool
}

func (w *restWatcher) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err != nil && !w.closed.Load() {
		w.once.Do(func() { w.ended(err) })
	}
	return n, err
}

func (w *restWatcher) Close() error {
	w.closed.Store(true)
	return w.ReadCloser.Close()
}

// closer calls done once when the body ends or is closed.
type closer struct {
	io.ReadCloser
	once sync.Once
	done func()
}

func (c *closer) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != nil {
		c.once.Do(c.done)
	}
	return n, err
}

func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.done)
	return err
}

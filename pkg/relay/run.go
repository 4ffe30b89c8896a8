package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/exchange"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/quarantine"
)

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
	fingerprint := quarantine.Fingerprint(c.Service+c.Caller, c.Method, c.URI, c.Length, c.Body)
	if !s.begin(r, fingerprint) {
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
	s.answered(fingerprint)
	ranToEnd := result.Kind == Answered && result.Status < http.StatusInternalServerError
	if result.Rest == nil {
		cancel()
		s.done(r, ranToEnd)
		return result
	}
	result.Rest = &closer{ReadCloser: result.Rest, done: func() { cancel(); s.done(r, ranToEnd) }}
	return result
}

// request returns the call as the upstream gets it.
func (s *Sidecar) request(c *Call, left time.Duration) *exchange.Request {
	h := c.Header.Clone()
	h.Set(s.names.TimeoutMillis, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	h.Set(s.names.CallerService, c.Caller)
	h.Set(s.names.ExpectUpstream, c.Upstream)
	return &exchange.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Rest: c.Rest, Length: c.Length,
		Once: !c.Idempotent, IDHeader: s.names.AnswerID,
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
	case (s.names.Seal != "" && resp.Header.Get(s.names.Seal) == "") || resp.Header.Get("Content-Encoding") != "":
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

func (s *Sidecar) observeResult(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.observe(s.now(), ok)
}

func (s *Sidecar) done(r *gate.Request, ranToEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.settle(s.gate.Done(s.now(), r, ranToEnd))
	s.tellLoad()
	s.meanService = s.gate.Service(r.Class)
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

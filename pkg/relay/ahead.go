package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/pipeline"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// maxStartedBytes of the rest of a response are read before its turn, as far as the budget allows. Downloads
// have up to 540 KB; what is left unread when the time limit of the request passes is lost.
const maxStartedBytes = 1 << 20

// reasonPanic is the outcome of a cancelled request that ended with a panic.
const reasonPanic = "panic"

// startedRequest is a request that was read behind others on its connection and started before its turn.
type startedRequest struct {
	in           *Ingress
	place        *place
	route        *route.Route
	organisation *route.Organisation
	cancel       context.CancelFunc
	// done is closed when the other fields are set.
	done chan struct{}
	// state is nil if the quota has no room, until retryAfter.
	state      *requestState
	retryAfter time.Duration
	result     *Result
	// panicked is set if the request ended with a panic.
	panicked bool
}

// StartAhead starts a request without a body whose turn on its connection has not come. It returns nil
// unless the route is idempotent and the request passes the checks that need no waiting. The other requests
// are left to ServeHTTP.
func (in *Ingress) StartAhead(r *http.Request) pipeline.Started {
	table := in.table.Load()
	if in.closing.Load() || in.stopAt.Load() != nil || table == nil {
		return nil
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil
	}
	rt := table.Match(r.Host, requestPath(r))
	if rt == nil || !rt.Idempotent {
		return nil
	}
	organisation, ok := in.identify(table, rt, r.Header)
	if !ok || !in.Bodies.HasRoom(bodyBufferBytes) {
		return nil
	}
	place := in.Requests.tryBegin()
	if place == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &startedRequest{in: in, place: place, route: rt, organisation: organisation, cancel: cancel, done: make(chan struct{})}
	in.active.Add(1)
	in.count("pipeline.started")
	go s.run(ctx, r, table)
	return s
}

// run admits the request and forwards it.
func (s *startedRequest) run(ctx context.Context, r *http.Request, table *route.Table) {
	defer close(s.done)
	defer s.recoverPanic(r)
	retryAfter, ok := s.in.admit(ctx, s.organisation)
	if !ok {
		s.retryAfter = retryAfter
		return
	}
	s.state = s.in.newRequestState(r, table, s.route, s.organisation)
	s.result = s.in.forwardUntilAbort(ctx, s.state)
	if s.result.Rest != nil {
		s.result.Rest = s.in.Bodies.ReadAhead(s.result.Rest, maxStartedBytes)
	}
}

// recoverPanic logs a panic. The server recovers only those of its handlers.
func (s *startedRequest) recoverPanic(r *http.Request) {
	if p := recover(); p != nil {
		s.panicked = true
		s.in.reportPanic(r, p)
	}
}

// Cancel implements pipeline.Started.
func (s *startedRequest) Cancel() {
	s.cancel()
	s.in.count("pipeline.cancelled")
	go func() {
		<-s.done
		fields := event.Fields{"route": s.route.Name, "outcome": reasonQuota}
		switch {
		case s.panicked:
			fields["outcome"] = reasonPanic
		case s.state != nil:
			s.result.close()
			fields["id"], fields["outcome"], fields["reason"] = s.state.call.ID, string(s.result.Kind), s.result.Reason
			fields["sends"], fields["took_ms"] = s.state.attempts, time.Since(s.state.started).Milliseconds()
		}
		s.in.Events.Emit(event.RequestAheadCancelled, fields)
		s.end()
	}()
}

// end releases what the request holds. Its result must be written or closed.
func (s *startedRequest) end() {
	s.cancel()
	if s.state != nil {
		s.in.closeRequest(s.state)
	}
	s.place.end()
	s.in.active.Add(-1)
}

// serveStarted responds with the result of a request that was started ahead.
func (in *Ingress) serveStarted(w http.ResponseWriter, r *http.Request, s *startedRequest) {
	in.count("pipeline.taken")
	defer s.end()
	select {
	case <-s.done:
	case <-r.Context().Done():
		s.cancel()
		<-s.done
	}
	if s.panicked {
		// The server closes the connection, as after a panic of a handler.
		panic(http.ErrAbortHandler)
	}
	if s.state == nil {
		in.rejectOverQuota(w, r, s.organisation, s.retryAfter)
		return
	}
	in.writeResult(w, r, s.state, s.result)
}

func (in *Ingress) count(name string) { metrics.GetOrRegisterCounter(name, in.Metrics).Inc(1) }

// takeStarted returns the request if it was started before its turn, or nil.
func (c *Connection) takeStarted(r *http.Request) *startedRequest {
	if p, ok := c.Conn.(*pipeline.Conn); ok {
		if s, ok := p.Take(r).(*startedRequest); ok {
			return s
		}
	}
	return nil
}

// startedAhead returns the number of requests that were started and whose turn has not come.
func (c *Connection) startedAhead() int {
	if p, ok := c.Conn.(*pipeline.Conn); ok {
		return p.Pending()
	}
	return 0
}

// permitAhead lets requests behind this one start, unless it must not run twice: a request behind it
// may depend on it. Behind one that closes the connection, none gets a response.
func (c *Connection) permitAhead(r *http.Request, rt *route.Route) {
	if p, ok := c.Conn.(*pipeline.Conn); ok && rt.Idempotent && r.ProtoAtLeast(1, 1) && !r.Close {
		p.Permit()
	}
}

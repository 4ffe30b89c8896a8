package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/retry"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
)

const (
	// maxReroutes bounds the sends after refusals that prove that nothing was run.
	// They are cheap, and don't count against the retry budget.
	maxReroutes = 3
	// refusalsBeforeWait is the number of refusals after which a request queues.
	refusalsBeforeWait = 2
)

// route is the state of the choice of upstreams for one request.
type route struct {
	// tried upstreams are not asked again.
	tried map[string]bool
	// busy upstreams may be asked again to queue the request.
	busy     map[string]bool
	refusals int
	reroutes int
	last     *outcome.Problem
	// unknown is the first problem after which the request may have been run.
	unknown *outcome.Problem
}

// route sends the request until an upstream answers or nothing more is allowed.
// A refusal of the last attempt proves nothing about earlier ones: if one of them
// may have run, that is what the caller is told.
func (g *Ingress) route(ctx context.Context, x *exchange) *answer {
	rt := &route{tried: map[string]bool{}, busy: map[string]bool{}}
	a := g.routeAttempts(ctx, x, rt)
	if a.problem != nil && a.problem.Outcome == outcome.NotRun && rt.unknown != nil {
		a.problem = rt.unknown
	}
	return a
}

func (g *Ingress) routeAttempts(ctx context.Context, x *exchange, rt *route) *answer {
	for {
		s, queue, ok := g.pick(x, rt, "")
		if !ok {
			return failed(rt.exhausted())
		}
		b, ok := x.body.attempt()
		if !ok {
			s.Done(routing.Refused, nil)
			return failed(rt.exhausted())
		}
		a := g.sendHedged(ctx, x, rt, s, b, queue)
		if a.problem == nil || !g.again(ctx, x, rt, a) {
			return a
		}
		if a.isolate != "" {
			return g.sendIsolated(ctx, x, a)
		}
	}
}

func (rt *route) exhausted() *outcome.Problem {
	if rt.last != nil {
		return rt.last
	}
	return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, outcome.NotRun, "no upstream is ready").WithRetryAfter(time.Second)
}

// pick chooses an upstream, and whether the request may wait in its queue.
func (g *Ingress) pick(x *exchange, rt *route, also string) (*routing.Send, string, bool) {
	q := routing.Query{Service: x.service.Name, Candidates: g.directory.Candidates(x.service.Name), Tried: map[string]bool{}}
	for id := range rt.tried {
		q.Tried[id] = true
	}
	if also != "" {
		q.Tried[also] = true
	}
	if rt.refusals < refusalsBeforeWait {
		for id := range rt.busy {
			q.Tried[id] = true
		}
		if s, ok := g.picker.Pick(q); ok {
			g.noteSend(x, s, outcome.QueueNoWait)
			return s, outcome.QueueNoWait, true
		}
		for id := range rt.busy {
			delete(q.Tried, id)
		}
	}
	q.LeastLoaded = true
	s, ok := g.picker.Pick(q)
	if ok {
		g.noteSend(x, s, outcome.QueueWait)
	}
	return s, outcome.QueueWait, ok
}

func (g *Ingress) noteSend(x *exchange, s *routing.Send, queue string) {
	g.note(x, "send", s.Candidate.NodeID, "cost "+s.Cost.String()+", "+queue)
}

// again decides whether the request may be sent once more after a problem.
func (g *Ingress) again(ctx context.Context, x *exchange, rt *route, a *answer) bool {
	rt.last = a.problem
	if rt.unknown == nil && a.problem.Outcome == outcome.Unknown {
		rt.unknown = a.problem
	}
	id := a.send.Candidate.NodeID
	g.note(x, "problem", id, string(a.problem.Outcome)+", "+a.problem.Error())
	if ctx.Err() != nil {
		return false
	}
	if a.problem.Outcome == outcome.NotRun {
		return g.mayReroute(rt, a, id)
	}
	rt.tried[id] = true
	if !retryReason(a.problem.Reason) || !idempotent(x.r.Method) || !retry.MayRetry(x.call.attempt) || !x.body.repeatable() {
		return false
	}
	if !g.budget.Retry() {
		g.note(x, "no-retry", id, "the retry budget is spent")
		return false
	}
	x.retries++
	g.metrics.retries.Inc(1)
	return true
}

func (g *Ingress) mayReroute(rt *route, a *answer, id string) bool {
	switch a.problem.Reason {
	case outcome.ReasonBusy:
		rt.busy[id] = true
	case outcome.ReasonDraining, outcome.ReasonLeaseLapsed, outcome.ReasonIncarnation, outcome.ReasonNodeUnreachable,
		outcome.ReasonUpstreamFailed:
		rt.tried[id] = true
	case outcome.ReasonQuarantined:
		if a.isolate == "" {
			return false
		}
	default:
		return false
	}
	if rt.reroutes >= maxReroutes {
		return false
	}
	rt.refusals++
	rt.reroutes++
	g.metrics.reroutes.Inc(1)
	return true
}

// retryReason reports whether another upstream may do better.
func retryReason(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonNodeUnreachable, outcome.ReasonUpstreamFailed, outcome.ReasonUpstreamCrashed, outcome.ReasonInvalidAnswer:
		return true
	}
	return false
}

// sendIsolated sends a quarantined request to the only node that may run it.
func (g *Ingress) sendIsolated(ctx context.Context, x *exchange, refused *answer) *answer {
	m, ok := g.member(refused.isolate)
	if !ok {
		return refused
	}
	b, ok := x.body.attempt()
	if !ok {
		return refused
	}
	s := g.picker.Use(x.service.Name, candidate(m))
	g.note(x, "isolate", m.NodeId, "quarantined request")
	return g.send(ctx, x, s, b, outcome.QueueWait, x.number())
}

func (g *Ingress) member(nodeID string) (*pb.Member, bool) {
	if g.cfg.Members == nil {
		return nil, false
	}
	m, ok := g.cfg.Members.Member(nodeID)
	if !ok || m.Status > pb.MemberStatus_MEMBER_STATUS_SUSPECT {
		return nil, false
	}
	return m, true
}

func candidate(m *pb.Member) routing.Candidate {
	return routing.Candidate{
		NodeID: m.NodeId, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress,
		FailureDomain: m.FailureDomain, Slots: int(m.Slots),
	}
}

// number is the attempt number on the next send. It counts system retries of this
// and of earlier hops, so that deeper hops know not to retry.
func (x *exchange) number() int { return x.call.attempt + x.retries }

// send is attempt with the time taken noted.
func (g *Ingress) send(ctx context.Context, x *exchange, s *routing.Send, b io.ReadCloser, queue string, number int) *answer {
	began := time.Now()
	a := g.attempt(ctx, x, s, b, queue, number)
	x.outside += time.Since(began)
	if a.problem == nil {
		g.latencies.add(x.service.Name, time.Since(began))
		g.note(x, "header", s.Candidate.NodeID, "status "+strconv.Itoa(a.resp.StatusCode))
	}
	return a
}

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
	// maxReroutes bounds the attempts after rejections that prove that the request was
	// not run. They are cheap and don't count against the retry budget.
	maxReroutes = 3
	// rejectionsBeforeQueueing is the number of rejections after which a request may queue.
	rejectionsBeforeQueueing = 2
)

// routeState is the state of upstream selection for one request.
type routeState struct {
	// excluded upstreams get no further attempt.
	excluded map[string]bool
	// busy upstreams may get a second attempt in which the request may queue.
	busy        map[string]bool
	rejections  int
	reroutes    int
	lastProblem *outcome.Problem
	// unknownProblem is the first problem after which the request may have been run.
	unknownProblem *outcome.Problem
}

// route sends the request until an upstream responds or no further attempt is allowed.
// A rejection of the last attempt proves nothing about earlier ones. If one of them may
// have run, the caller gets its problem.
func (g *Ingress) route(ctx context.Context, x *exchange) *attemptResult {
	rt := &routeState{excluded: map[string]bool{}, busy: map[string]bool{}}
	a := g.routeAttempts(ctx, x, rt)
	if a.problem != nil && a.problem.Outcome == outcome.NotRun && rt.unknownProblem != nil {
		a.problem = rt.unknownProblem
	}
	return a
}

func (g *Ingress) routeAttempts(ctx context.Context, x *exchange, rt *routeState) *attemptResult {
	for {
		attempt, queue, ok := g.pickUpstream(x, rt, "")
		if !ok {
			return failedResult(rt.exhausted())
		}
		b, ok := x.body.newReader()
		if !ok {
			attempt.Done(routing.Rejected, nil)
			return failedResult(rt.exhausted())
		}
		a := g.attemptHedged(ctx, x, rt, attempt, b, queue)
		if a.problem == nil || !g.mayAttemptAgain(ctx, x, rt, a) {
			return a
		}
		if a.isolationNode != "" {
			return g.attemptIsolated(ctx, x, a)
		}
	}
}

func (rt *routeState) exhausted() *outcome.Problem {
	if rt.lastProblem != nil {
		return rt.lastProblem
	}
	return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, outcome.NotRun, "no upstream is ready").WithRetryAfter(time.Second)
}

// pickUpstream selects an upstream other than the excluded one, and whether the request
// may wait in its queue. The request may wait only after repeated rejections or if no
// other upstream is left, and then at the upstream with the lowest cost.
func (g *Ingress) pickUpstream(x *exchange, rt *routeState, excluded string) (*routing.Attempt, string, bool) {
	q := routing.Query{Service: x.service.Name, Candidates: g.directory.Candidates(x.service.Name), Excluded: map[string]bool{}}
	for id := range rt.excluded {
		q.Excluded[id] = true
	}
	if excluded != "" {
		q.Excluded[excluded] = true
	}
	if rt.rejections < rejectionsBeforeQueueing {
		for id := range rt.busy {
			q.Excluded[id] = true
		}
		if attempt, ok := g.picker.Pick(q); ok {
			g.recordAttempt(x, attempt, outcome.QueueNoWait)
			return attempt, outcome.QueueNoWait, true
		}
		for id := range rt.busy {
			delete(q.Excluded, id)
		}
	}
	q.LeastLoaded = true
	attempt, ok := g.picker.Pick(q)
	if ok {
		g.recordAttempt(x, attempt, outcome.QueueWait)
	}
	return attempt, outcome.QueueWait, ok
}

func (g *Ingress) recordAttempt(x *exchange, attempt *routing.Attempt, queue string) {
	g.record(x, "send", attempt.Candidate.NodeID, "cost "+attempt.Cost.String()+", "+queue)
}

// mayAttemptAgain decides whether the request may be sent again after a problem, and
// charges the retry budget or the number of reroutes.
func (g *Ingress) mayAttemptAgain(ctx context.Context, x *exchange, rt *routeState, a *attemptResult) bool {
	rt.lastProblem = a.problem
	if rt.unknownProblem == nil && a.problem.Outcome == outcome.Unknown {
		rt.unknownProblem = a.problem
	}
	id := a.attempt.Candidate.NodeID
	g.record(x, "problem", id, string(a.problem.Outcome)+", "+a.problem.Error())
	if ctx.Err() != nil {
		return false
	}
	if a.problem.Outcome == outcome.NotRun {
		return g.mayReroute(rt, a, id)
	}
	rt.excluded[id] = true
	if !retryableReason(a.problem.Reason) || !idempotent(x.r.Method) || !retry.MayRetry(x.call.earlierRetries) || !x.body.repeatable() {
		return false
	}
	if !g.budget.TryRetry() {
		g.record(x, "no-retry", id, "the retry budget is spent")
		return false
	}
	x.retries++
	g.metrics.retries.Inc(1)
	return true
}

// mayReroute decides whether a request that was not run may be sent to another upstream.
func (g *Ingress) mayReroute(rt *routeState, a *attemptResult, id string) bool {
	switch a.problem.Reason {
	case outcome.ReasonBusy:
		rt.busy[id] = true
	case outcome.ReasonDraining, outcome.ReasonLeaseLapsed, outcome.ReasonIncarnation, outcome.ReasonNodeUnreachable,
		outcome.ReasonUpstreamFailed:
		rt.excluded[id] = true
	case outcome.ReasonQuarantined:
		if a.isolationNode == "" {
			return false
		}
	default:
		return false
	}
	if rt.reroutes >= maxReroutes {
		return false
	}
	rt.rejections++
	rt.reroutes++
	g.metrics.reroutes.Inc(1)
	return true
}

// retryableReason reports whether a retry at another upstream may succeed.
func retryableReason(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonNodeUnreachable, outcome.ReasonUpstreamFailed, outcome.ReasonUpstreamCrashed, outcome.ReasonInvalidAnswer:
		return true
	}
	return false
}

// attemptIsolated sends a quarantined request to the only node that may run it.
func (g *Ingress) attemptIsolated(ctx context.Context, x *exchange, rejected *attemptResult) *attemptResult {
	m, ok := g.member(rejected.isolationNode)
	if !ok {
		return rejected
	}
	b, ok := x.body.newReader()
	if !ok {
		return rejected
	}
	attempt := g.picker.StartAttempt(x.service.Name, candidate(m))
	g.record(x, "isolate", m.NodeId, "quarantined request")
	return g.timedAttempt(ctx, x, attempt, b, outcome.QueueWait, x.attemptNumber())
}

// member returns the node unless it is unknown, dead or has left.
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

// attemptNumber returns the number of the next attempt. It counts the retries by nodes at
// this and earlier hops, so that later hops don't retry as well.
func (x *exchange) attemptNumber() int { return x.call.earlierRetries + x.retries }

// timedAttempt calls sendAttempt and records its duration.
func (g *Ingress) timedAttempt(ctx context.Context, x *exchange, attempt *routing.Attempt, b io.ReadCloser, queue string, number int) *attemptResult {
	began := time.Now()
	a := g.sendAttempt(ctx, x, attempt, b, queue, number)
	x.externalTime += time.Since(began)
	if a.problem == nil {
		g.latencies.add(x.service.Name, time.Since(began))
		g.record(x, "header", attempt.Candidate.NodeID, "status "+strconv.Itoa(a.resp.StatusCode))
	}
	return a
}

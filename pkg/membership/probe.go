package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// maxUpdates is the largest number of updates in one message.
	maxUpdates = 8
	// indirectProbes is the number of members that are requested to probe a member
	// that did not respond.
	indirectProbes = 3
	// deadProbePeriods is the mean number of periods between two probes of a dead
	// member. Without these probes, a partition would never heal.
	deadProbePeriods = 30
	// isolatedProbePeriods replaces deadProbePeriods while all other members are dead
	// or have left.
	isolatedProbePeriods = 5
	// sweepPeriods is the number of periods between two removals of expired
	// tombstones.
	sweepPeriods = 60
)

// Run probes one member per period, compares lists and pushes urgent updates
// until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.runSync(ctx) })
	wg.Go(func() { a.runUrgent(ctx) })
	a.runProbes(ctx)
	wg.Wait()
}

func (a *Agent) runProbes(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Period)
	defer ticker.Stop()
	last := time.Now()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if late := time.Since(last) - a.cfg.Period; late > a.cfg.suspicionTimeout(a.Size()) {
			a.restartSuspicionTimers()
		}
		last = time.Now()
		a.expireSuspects()
		if tick%sweepPeriods == 0 {
			a.sweep()
		}
		a.probeNext(ctx)
		a.probeDead(ctx)
	}
}

// restartSuspicionTimers restarts the timers of all suspects after a pause of this
// process, during which no refutation could arrive.
func (a *Agent) restartSuspicionTimers() {
	a.metrics.pauses.Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.table.entries {
		if e.member.Status == pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			e.since = time.Now()
		}
	}
}

// sweep removes expired tombstones.
func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.dropTombstones(a.cfg.TombstoneTTL)
}

// expireSuspects marks suspects as dead after the suspicion timeout.
func (a *Agent) expireSuspects() {
	var accepted []transition
	a.mu.Lock()
	limit := a.cfg.suspicionTimeout(a.Size())
	for _, e := range a.table.entries {
		if e.member.Status != pb.MemberStatus_MEMBER_STATUS_SUSPECT || time.Since(e.since) <= limit {
			continue
		}
		dead := proto.Clone(e.member).(*pb.Member)
		dead.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
		if t, ok := a.apply(dead, time.Now()); ok {
			accepted = append(accepted, t)
		}
	}
	a.updateSize()
	a.mu.Unlock()
	a.notify(accepted)
}

// addToProbeOrder inserts a member at a random position of the probe order.
func (a *Agent) addToProbeOrder(id string) {
	at := rand.IntN(len(a.probeOrder) + 1)
	a.probeOrder = append(a.probeOrder, id)
	last := len(a.probeOrder) - 1
	a.probeOrder[at], a.probeOrder[last] = a.probeOrder[last], a.probeOrder[at]
}

// nextProbeTarget returns the next member of the probe order, or nil if there is
// none. It refills and shuffles the order when it is empty.
func (a *Agent) nextProbeTarget() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	for refilled := false; ; {
		if len(a.probeOrder) == 0 {
			if refilled {
				return nil
			}
			refilled = true
			for id := range a.table.entries {
				a.probeOrder = append(a.probeOrder, id)
			}
			rand.Shuffle(len(a.probeOrder), func(i, j int) { a.probeOrder[i], a.probeOrder[j] = a.probeOrder[j], a.probeOrder[i] })
			continue
		}
		id := a.popProbeOrder()
		if e := a.table.entries[id]; e != nil && !isTombstone(e.member) {
			return e.member
		}
	}
}

// popProbeOrder removes one of the last recentCandidates ids from the probe order and
// returns it. It chooses the member that was added to the list last. Without this
// preference, all nodes of a starting fleet would probe the few nodes that joined first
// at the same time.
func (a *Agent) popProbeOrder() string {
	last := len(a.probeOrder) - 1
	best := last
	for i := last; i >= 0 && i > last-recentCandidates; i-- {
		if a.table.addedBefore(a.probeOrder[i]) > a.table.addedBefore(a.probeOrder[best]) {
			best = i
		}
	}
	id := a.probeOrder[best]
	a.probeOrder[best] = a.probeOrder[last]
	a.probeOrder = a.probeOrder[:last]
	return id
}

// probeNext probes the next member, directly and then through others, and marks it as
// suspect if it was not reached.
func (a *Agent) probeNext(ctx context.Context) {
	target := a.nextProbeTarget()
	if target == nil {
		return
	}
	start := time.Now()
	err := a.ping(ctx, classProbe, target, target.Incarnation)
	if err == nil || err == ErrOverBudget || ctx.Err() != nil {
		return
	}
	if a.pingIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	// A timeout that fires late does not indicate a failure of the target: this
	// process was paused.
	if time.Since(start) > 2*a.cfg.Period {
		return
	}
	suspect := proto.Clone(target).(*pb.Member)
	suspect.Status = pb.MemberStatus_MEMBER_STATUS_SUSPECT
	a.Merge(suspect)
}

// probeDead probes a random dead member, of any incarnation, once in
// deadProbePeriods on average.
func (a *Agent) probeDead(ctx context.Context) {
	periods := deadProbePeriods
	if a.Size() == 1 {
		periods = isolatedProbePeriods
	}
	if rand.IntN(periods) != 0 {
		return
	}
	a.mu.Lock()
	found := a.table.random(1, func(m *pb.Member) bool { return m.Status == pb.MemberStatus_MEMBER_STATUS_DEAD })
	a.mu.Unlock()
	if len(found) == 1 {
		_ = a.ping(ctx, classUrgent, found[0], 0)
	}
}

// ping sends one probe with updates and merges the response.
func (a *Agent) ping(ctx context.Context, c class, target *pb.Member, incarnation uint64) error {
	req := &pb.PingRequest{Sender: a.Self(), TargetNodeId: target.NodeId, TargetIncarnation: incarnation}
	req.Updates = a.updates(c, target.NodeId, true)
	if !a.reserve(c, proto.Size(req)+RequestOverhead, pingResponseBytes) {
		return ErrOverBudget
	}
	defer a.release(pingResponseBytes)
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	resp, err := a.transport.Ping(ctx, target.PeerAddress, req)
	if err != nil {
		return err
	}
	a.recordReceived(proto.Size(resp) + ResponseOverhead)
	if r := resp.GetResponder(); r.GetNodeId() != target.NodeId || incarnation != 0 && r.GetIncarnation() != incarnation {
		return ErrWrongTarget
	}
	a.Merge(resp.Responder)
	a.Merge(resp.Updates[:min(len(resp.Updates), maxUpdates+1)]...)
	return nil
}

// maxUpdateBytes is the estimated size of maxUpdates updates.
const maxUpdateBytes = 1200

// pingResponseBytes is the number of bytes reserved for the response to a probe.
const pingResponseBytes = maxUpdateBytes + ResponseOverhead

// updates returns the updates to piggyback on a message to the node with the given
// id. With includeTarget, the first is the node's own entry if that is not alive, so
// that the node can refute it. The newest updates follow if the budget allows.
func (a *Agent) updates(c class, id string, includeTarget bool) []*pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*pb.Member
	e := a.table.entries[id]
	if includeTarget && e != nil && e.member.Status > pb.MemberStatus_MEMBER_STATUS_ALIVE {
		out = append(out, withAge(e.member, e.since))
	}
	if a.budget.available(c) < 2*maxUpdateBytes {
		return out
	}
	for _, m := range a.queue.take(maxUpdates-len(out), transmitLimit(a.Size())) {
		if e := a.table.entries[m.NodeId]; e != nil {
			m = withAge(m, e.since)
		}
		out = append(out, m)
	}
	return out
}

// pingIndirect requests other members to probe the target, and reports whether one
// of them reached it.
func (a *Agent) pingIndirect(ctx context.Context, target *pb.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*a.cfg.ProbeTimeout)
	defer cancel()
	helpers := a.Random(indirectProbes, func(m *pb.Member) bool { return m.NodeId != target.NodeId })
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() { results <- a.requestIndirectPing(ctx, h, target) }()
	}
	reached := false
	for range helpers {
		if <-results {
			reached = true
			cancel()
		}
	}
	return reached
}

func (a *Agent) requestIndirectPing(ctx context.Context, helper, target *pb.Member) bool {
	req := &pb.PingIndirectRequest{Target: target}
	if !a.reserve(classProbe, proto.Size(req)+RequestOverhead, ResponseOverhead) {
		return false
	}
	defer a.release(ResponseOverhead)
	resp, err := a.transport.PingIndirect(ctx, helper.PeerAddress, req)
	if err != nil {
		return false
	}
	a.recordReceived(proto.Size(resp) + ResponseOverhead)
	return resp.GetReachable()
}

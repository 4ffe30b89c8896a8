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
	// maxUpdates is the number of updates on one message.
	maxUpdates = 8
	// indirectProbes is the number of members asked to probe a silent one.
	indirectProbes = 3
	// deadProbePeriods is the mean number of periods between two probes of a dead
	// member; without them, the sides of a partition would never meet again.
	deadProbePeriods = 30
	// lonelyProbePeriods replaces it while no member is left.
	lonelyProbePeriods = 5
	// sweepPeriods is the number of periods between two sweeps of tombstones.
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
		if late := time.Since(last) - a.cfg.Period; late > a.cfg.suspicion(a.Size()) {
			a.forgetTimers()
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

// forgetTimers restarts all suspicions. After a pause of this process, members
// had no chance to refute them here.
func (a *Agent) forgetTimers() {
	a.meters.pauses.Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.table.entries {
		if e.member.Status == pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			e.since = time.Now()
		}
	}
}

func (a *Agent) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.dropTombstones(a.cfg.TombstoneTTL)
}

func (a *Agent) expireSuspects() {
	var done []transition
	a.mu.Lock()
	limit := a.cfg.suspicion(a.Size())
	for _, e := range a.table.entries {
		if e.member.Status != pb.MemberStatus_MEMBER_STATUS_SUSPECT || time.Since(e.since) <= limit {
			continue
		}
		dead := proto.Clone(e.member).(*pb.Member)
		dead.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
		if t, ok := a.apply(dead, time.Now()); ok {
			done = append(done, t)
		}
	}
	a.updateSize()
	a.mu.Unlock()
	a.report(done)
}

// addToRound puts a member at a random place of the probing order.
func (a *Agent) addToRound(id string) {
	at := rand.IntN(len(a.round) + 1)
	a.round = append(a.round, id)
	last := len(a.round) - 1
	a.round[at], a.round[last] = a.round[last], a.round[at]
}

// pick returns the next member of the shuffled order, or nil.
func (a *Agent) pick() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	for refilled := false; ; {
		if len(a.round) == 0 {
			if refilled {
				return nil
			}
			refilled = true
			for id := range a.table.entries {
				a.round = append(a.round, id)
			}
			rand.Shuffle(len(a.round), func(i, j int) { a.round[i], a.round[j] = a.round[j], a.round[i] })
			continue
		}
		id := a.nextOfRound()
		if e := a.table.entries[id]; e != nil && !gone(e.member) {
			return e.member
		}
	}
}

// nextOfRound removes one of the last members of the round: the one learned last, so
// that a node that all others learn first is not probed by all of them at once.
func (a *Agent) nextOfRound() string {
	last := len(a.round) - 1
	best := last
	for i := last; i >= 0 && i > last-recentChoices; i-- {
		if a.table.order(a.round[i]) > a.table.order(a.round[best]) {
			best = i
		}
	}
	id := a.round[best]
	a.round[best] = a.round[last]
	a.round = a.round[:last]
	return id
}

func (a *Agent) probeNext(ctx context.Context) {
	target := a.pick()
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
	// A late timeout is no evidence: this process was paused meanwhile.
	if time.Since(start) > 2*a.cfg.Period {
		return
	}
	suspect := proto.Clone(target).(*pb.Member)
	suspect.Status = pb.MemberStatus_MEMBER_STATUS_SUSPECT
	a.Merge(suspect)
}

// probeDead now and then probes a dead member, whatever its incarnation is now.
func (a *Agent) probeDead(ctx context.Context) {
	periods := deadProbePeriods
	if a.Size() == 1 {
		periods = lonelyProbePeriods
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

// ping sends one probe with updates and merges the answer.
func (a *Agent) ping(ctx context.Context, c class, target *pb.Member, incarnation uint64) error {
	req := &pb.PingRequest{Sender: a.Self(), TargetNodeId: target.NodeId, TargetIncarnation: incarnation}
	req.Updates = a.updates(c, target.NodeId, true)
	if !a.allow(c, proto.Size(req)+RequestOverhead, answerBytes) {
		return ErrOverBudget
	}
	defer a.release(answerBytes)
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	resp, err := a.transport.Ping(ctx, target.PeerAddress, req)
	if err != nil {
		return err
	}
	a.received(proto.Size(resp) + ResponseOverhead)
	if r := resp.GetResponder(); r.GetNodeId() != target.NodeId || incarnation != 0 && r.GetIncarnation() != incarnation {
		return ErrWrongTarget
	}
	a.Merge(resp.Responder)
	a.Merge(resp.Updates[:min(len(resp.Updates), maxUpdates+1)]...)
	return nil
}

// updateBytes is the room that a full set of updates takes.
const updateBytes = 1200

// answerBytes are held for the answer to a probe.
const answerBytes = updateBytes + ResponseOverhead

// updates returns what to piggyback on a message to a node: first what is known
// of it if that is bad, so that it can refute, then the newest updates.
func (a *Agent) updates(c class, id string, always bool) []*pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*pb.Member
	e := a.table.entries[id]
	if always && e != nil && e.member.Status > pb.MemberStatus_MEMBER_STATUS_ALIVE {
		out = append(out, withAge(e.member, e.since))
	}
	if a.budget.room(c) < 2*updateBytes {
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

// pingIndirect asks other members to probe the target, and reports whether one
// of them reached it.
func (a *Agent) pingIndirect(ctx context.Context, target *pb.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*a.cfg.ProbeTimeout)
	defer cancel()
	helpers := a.Random(indirectProbes, func(m *pb.Member) bool { return m.NodeId != target.NodeId })
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() { answers <- a.askHelper(ctx, h, target) }()
	}
	reached := false
	for range helpers {
		if <-answers {
			reached = true
			cancel()
		}
	}
	return reached
}

func (a *Agent) askHelper(ctx context.Context, helper, target *pb.Member) bool {
	req := &pb.PingIndirectRequest{Target: target}
	if !a.allow(classProbe, proto.Size(req)+RequestOverhead, ResponseOverhead) {
		return false
	}
	defer a.release(ResponseOverhead)
	resp, err := a.transport.PingIndirect(ctx, helper.PeerAddress, req)
	if err != nil {
		return false
	}
	a.received(proto.Size(resp) + ResponseOverhead)
	return resp.GetReachable()
}

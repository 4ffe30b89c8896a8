package membership

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// HandlePing answers a probe of another node. It returns ErrWrongTarget if the
// probe is meant for another node or incarnation at this address.
func (a *Agent) HandlePing(req *pb.PingRequest) (*pb.PingResponse, error) {
	a.received(proto.Size(req) + RequestOverhead)
	a.Merge(req.GetSender())
	a.Merge(req.GetUpdates()[:min(len(req.GetUpdates()), maxUpdates+1)]...)
	self := a.Self()
	if wrongTarget(req, self) {
		a.answered(ResponseOverhead)
		return nil, ErrWrongTarget
	}
	resp := &pb.PingResponse{Responder: self, Updates: a.updates(classUrgent, req.GetSender().GetNodeId(), true)}
	a.answered(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

func wrongTarget(req *pb.PingRequest, self *pb.Member) bool {
	if id := req.GetTargetNodeId(); id != "" && id != self.NodeId {
		return true
	}
	inc := req.GetTargetIncarnation()
	return inc != 0 && inc != self.Incarnation
}

// HandlePingIndirect probes the target for another node. It probes only valid
// addresses and within this node's own budget.
func (a *Agent) HandlePingIndirect(ctx context.Context, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	a.received(proto.Size(req) + RequestOverhead)
	target := req.GetTarget()
	if err := Validate(target); err != nil {
		a.meters.invalid.Inc(1)
		return nil, err
	}
	resp := &pb.PingIndirectResponse{}
	if target.NodeId == a.Self().NodeId {
		resp.Reachable = target.Incarnation == a.Self().Incarnation
	} else {
		resp.Reachable = a.ping(ctx, classProbe, target, target.Incarnation) == nil
	}
	a.answered(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

// HandleSync returns a page of the entries that differ from the sender's
// digests, as large as the budget allows. It returns ErrOverBudget if there is
// no room.
func (a *Agent) HandleSync(req *pb.SyncRequest) (*pb.SyncResponse, error) {
	a.received(proto.Size(req) + RequestOverhead)
	if req.GetSender() != nil {
		a.Merge(req.Sender)
	}
	if len(req.GetDigests()) == 0 {
		return a.handleFirst(req)
	}
	room := min(a.budget.room(syncClass(req))-ResponseOverhead, syncLimit*memberBytes)
	if room < updateBytes || len(req.GetDigests()) > maxBuckets || !a.budget.take(syncClass(req), room+ResponseOverhead) {
		a.meters.skipped.Inc(1)
		a.answered(ResponseOverhead)
		return nil, ErrOverBudget
	}
	defer a.release(room + ResponseOverhead)
	resp := a.page(req, room)
	a.answered(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

// handleFirst answers a first contact with a few random members, and with this
// node only if there are too few: a node that all others know first is also the
// one that they all probe. The bytes are borrowed from later messages of this node, within a bound.
func (a *Agent) handleFirst(req *pb.SyncRequest) (*pb.SyncResponse, error) {
	if float64(a.budget.room(classProbe)) < -joinDebtSeconds*a.cfg.BytesPerSecond {
		a.meters.skipped.Inc(1)
		a.answered(ResponseOverhead)
		return nil, ErrOverBudget
	}
	others := a.Random(joinLimit, func(m *pb.Member) bool { return m.NodeId != req.GetSender().GetNodeId() })
	if len(others) < joinLimit {
		others = append(others, a.Self())
	}
	resp := &pb.SyncResponse{Members: others}
	a.answered(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

func (a *Agent) page(req *pb.SyncRequest, room int) *pb.SyncResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &pb.SyncResponse{}
	limit := int(min(max(req.GetLimit(), 1), syncLimit))
	own := a.digests(len(req.GetDigests()))
	for _, m := range a.members() {
		if m.NodeId <= req.GetAfterNodeId() {
			continue
		}
		if n := len(own); n > 0 {
			b := bucketOf(m.NodeId, n)
			if own[b] == req.Digests[b] {
				continue
			}
		}
		if e := a.table.entries[m.NodeId]; e != nil {
			m = withAge(m, e.since)
		}
		room -= proto.Size(m)
		if len(resp.Members) > 0 && (len(resp.Members) == limit || room < 0) {
			resp.NextAfterNodeId = resp.Members[len(resp.Members)-1].NodeId
			break
		}
		resp.Members = append(resp.Members, m)
	}
	return resp
}

// digests returns the digest of each of n buckets. The caller holds the lock.
func (a *Agent) digests(n int) []uint32 {
	if n == 0 {
		return nil
	}
	out := make([]uint32, n)
	out[bucketOf(a.self.NodeId, n)] ^= digestOf(a.self)
	for id, e := range a.table.entries {
		out[bucketOf(id, n)] ^= digestOf(e.member)
	}
	return out
}

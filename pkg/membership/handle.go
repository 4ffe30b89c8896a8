package membership

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// HandlePing responds to a probe from another node. It returns ErrWrongTarget if
// the probe is for another node or incarnation at this address.
func (a *Agent) HandlePing(req *pb.PingRequest) (*pb.PingResponse, error) {
	a.recordReceived(proto.Size(req) + RequestOverhead)
	a.Merge(req.GetSender())
	a.Merge(req.GetUpdates()[:min(len(req.GetUpdates()), maxUpdates+1)]...)
	self := a.Self()
	if wrongTarget(req, self) {
		a.recordResponse(ResponseOverhead)
		return nil, ErrWrongTarget
	}
	resp := &pb.PingResponse{Responder: self, Updates: a.updates(classUrgent, req.GetSender().GetNodeId(), true)}
	a.recordResponse(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

func wrongTarget(req *pb.PingRequest, self *pb.Member) bool {
	if id := req.GetTargetNodeId(); id != "" && id != self.NodeId {
		return true
	}
	inc := req.GetTargetIncarnation()
	return inc != 0 && inc != self.Incarnation
}

// HandlePingIndirect probes the target on behalf of another node. It probes only
// valid addresses, and the probe counts against this node's budget.
func (a *Agent) HandlePingIndirect(ctx context.Context, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	a.recordReceived(proto.Size(req) + RequestOverhead)
	target := req.GetTarget()
	if err := Validate(target); err != nil {
		a.metrics.invalid.Inc(1)
		return nil, err
	}
	resp := &pb.PingIndirectResponse{}
	if target.NodeId == a.Self().NodeId {
		resp.Reachable = target.Incarnation == a.Self().Incarnation
	} else {
		resp.Reachable = a.ping(ctx, classProbe, target, target.Incarnation) == nil
	}
	a.recordResponse(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

// HandleSync returns a page of the entries in buckets whose digests differ from the
// sender's. The budget limits the size of the page. HandleSync returns ErrOverBudget
// if the budget is exhausted.
func (a *Agent) HandleSync(req *pb.SyncRequest) (*pb.SyncResponse, error) {
	a.recordReceived(proto.Size(req) + RequestOverhead)
	if req.GetSender() != nil {
		a.Merge(req.Sender)
	}
	if len(req.GetDigests()) == 0 {
		return a.handleJoin(req)
	}
	pageBytes := min(a.budget.available(syncClass(req))-ResponseOverhead, maxPageEntries*typicalMemberBytes)
	if pageBytes < maxUpdateBytes || len(req.GetDigests()) > maxBuckets || !a.budget.take(syncClass(req), pageBytes+ResponseOverhead) {
		a.metrics.skipped.Inc(1)
		a.recordResponse(ResponseOverhead)
		return nil, ErrOverBudget
	}
	defer a.release(pageBytes + ResponseOverhead)
	resp := a.page(req, pageBytes)
	a.recordResponse(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

// handleJoin responds to a first contact with a few random members. It includes this
// node only if there are too few: otherwise all joining nodes would have this node in
// their lists first and probe it at the same time. The response may overdraw the
// budget by up to joinDebtSeconds, which delays later messages of this node.
func (a *Agent) handleJoin(req *pb.SyncRequest) (*pb.SyncResponse, error) {
	if float64(a.budget.available(classProbe)) < -joinDebtSeconds*a.cfg.BytesPerSecond {
		a.metrics.skipped.Inc(1)
		a.recordResponse(ResponseOverhead)
		return nil, ErrOverBudget
	}
	others := a.Random(joinResponseEntries, func(m *pb.Member) bool { return m.NodeId != req.GetSender().GetNodeId() })
	if len(others) < joinResponseEntries {
		others = append(others, a.Self())
	}
	resp := &pb.SyncResponse{Members: others}
	a.recordResponse(proto.Size(resp) + ResponseOverhead)
	return resp, nil
}

// page returns the first entries after the requested id whose buckets differ from the
// sender's, up to bytesLeft bytes. It returns at least one entry if there is any.
func (a *Agent) page(req *pb.SyncRequest, bytesLeft int) *pb.SyncResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	resp := &pb.SyncResponse{}
	limit := int(min(max(req.GetLimit(), 1), maxPageEntries))
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
		bytesLeft -= proto.Size(m)
		if len(resp.Members) > 0 && (len(resp.Members) == limit || bytesLeft < 0) {
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

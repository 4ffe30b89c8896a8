package configlog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	maxRecentIDs = 1024
	maxAudit     = 1024
	maxHistory   = 64
	maxPending   = 64
)

// Replay applies records to a state in offset order. It is deterministic: the
// same records give the same state at every node. Not safe for concurrent use.
type Replay struct {
	state *pb.ConfigState
}

// NewReplay returns a replay that starts from the state given, which may be nil.
func NewReplay(state *pb.ConfigState) *Replay {
	if state == nil {
		state = &pb.ConfigState{}
	}
	return &Replay{state: state}
}

// State returns a copy of the current state.
func (r *Replay) State() *pb.ConfigState {
	return proto.Clone(r.state).(*pb.ConfigState)
}

// Apply applies the record at the offset.
func (r *Replay) Apply(offset uint64, data []byte) error {
	if offset < r.state.NextOffset {
		return nil
	}
	r.state.NextOffset = offset + 1
	var rec pb.Record
	if err := proto.Unmarshal(data, &rec); err != nil {
		return fmt.Errorf("record at offset %d: %w", offset, err)
	}
	if slices.Contains(r.state.RecentIds, rec.Id) {
		return nil
	}
	r.state.RecentIds = appendBounded(r.state.RecentIds, rec.Id, maxRecentIDs)
	switch body := rec.Body.(type) {
	case *pb.Record_Proposal:
		r.propose(offset, rec.Id, body.Proposal)
	case *pb.Record_Confirmation:
		r.confirm(offset, rec.Id, body.Confirmation)
	case *pb.Record_DrainOrder:
		r.drain(offset, rec.Id, body.DrainOrder)
	}
	return nil
}

func (r *Replay) propose(offset uint64, id string, p *pb.Proposal) {
	r.state.Pending = appendBounded(r.state.Pending, &pb.PendingProposal{Id: id, Proposal: p}, maxPending)
	r.audit(&pb.AuditEntry{
		Offset: offset, RecordId: id, Action: "propose", Operator: p.Operator, TimeUnixMs: p.TimeUnixMs,
		Outcome: "accepted", Version: p.BaseVersion, PlanDigest: p.PlanDigest,
	})
}

func (r *Replay) confirm(offset uint64, id string, c *pb.Confirmation) {
	entry := &pb.AuditEntry{
		Offset: offset, RecordId: id, Action: "confirm", Operator: c.Operator, TimeUnixMs: c.TimeUnixMs,
		Outcome: "accepted", PlanDigest: c.PlanDigest,
	}
	proposal := r.pending(c.ProposalId)
	switch {
	case proposal == nil:
		entry.Outcome, entry.Detail = "refused", "no such proposal: "+c.ProposalId
	case proposal.PlanDigest != c.PlanDigest:
		entry.Outcome, entry.Detail = "refused", "the digest is not that of the proposal's plan"
	case proposal.BaseVersion != r.state.Version:
		entry.Outcome, entry.Detail = "refused", r.movedBy(proposal.BaseVersion)
	default:
		r.accept(c, proposal)
	}
	entry.Version = r.state.Version
	r.audit(entry)
}

func (r *Replay) accept(c *pb.Confirmation, p *pb.Proposal) {
	r.state.Version++
	r.state.IntentYaml = p.IntentYaml
	r.state.History = appendBounded(r.state.History, &pb.Version{
		Version: r.state.Version, Operator: c.Operator, ProposalId: c.ProposalId,
		PlanDigest: c.PlanDigest, TimeUnixMs: c.TimeUnixMs, IntentYaml: p.IntentYaml,
	}, maxHistory)
	r.state.Pending = slices.DeleteFunc(r.state.Pending, func(x *pb.PendingProposal) bool {
		return x.Id == c.ProposalId
	})
}

// movedBy says who replaced the base version.
func (r *Replay) movedBy(base uint64) string {
	for _, v := range r.state.History {
		if v.Version == base+1 {
			return fmt.Sprintf("version %d was replaced by version %d, confirmed by %s", base, v.Version, v.Operator)
		}
	}
	return fmt.Sprintf("base version %d is not the current version %d", base, r.state.Version)
}

func (r *Replay) drain(offset uint64, id string, d *pb.DrainOrder) {
	action := "undrain"
	r.state.DrainedNodes = slices.DeleteFunc(r.state.DrainedNodes, func(n string) bool { return n == d.NodeId })
	if d.Drain {
		action = "drain"
		r.state.DrainedNodes = append(r.state.DrainedNodes, d.NodeId)
	}
	r.audit(&pb.AuditEntry{
		Offset: offset, RecordId: id, Action: action, Operator: d.Operator, TimeUnixMs: d.TimeUnixMs,
		Outcome: "accepted", Detail: d.NodeId, Version: r.state.Version,
	})
}

func (r *Replay) pending(id string) *pb.Proposal {
	for _, p := range r.state.Pending {
		if p.Id == id {
			return p.Proposal
		}
	}
	return nil
}

func (r *Replay) audit(e *pb.AuditEntry) {
	r.state.Audit = appendBounded(r.state.Audit, e, maxAudit)
}

// appendBounded appends and drops the oldest elements above the limit.
func appendBounded[T any](s []T, v T, limit int) []T {
	s = append(s, v)
	if len(s) > limit {
		s = slices.Delete(s, 0, len(s)-limit)
	}
	return s
}

package configlog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// GapError means that records between the last applied one and an entry are missing.
type GapError struct {
	// Next is the offset of the next record to apply; Got is the offset of the entry.
	Next, Got uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("the next record is at offset %d, got offset %d", e.Next, e.Got)
}

// Outcomes in the audit trail.
const (
	OutcomeAccepted = "accepted"
	OutcomeRefused  = "refused"
)

// Replay applies records to a state in offset order. It is deterministic: the
// same records give the same state at every node. It is not safe for concurrent use.
type Replay struct {
	state *pb.ConfigState
}

// NewReplay returns a replay that starts from the given state, which may be nil.
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

// Applied reports whether the id is among the most recently applied record ids.
func (r *Replay) Applied(id string) bool {
	return slices.Contains(r.state.RecentIds, id)
}

// Apply applies the record at the offset. A record below the next offset has
// already been applied and is ignored. A record above the next offset returns a
// *GapError and has no effect. An invalid record is skipped and returns an error.
func (r *Replay) Apply(offset uint64, data []byte) error {
	if offset < r.state.NextOffset {
		return nil
	}
	if offset > r.state.NextOffset {
		return &GapError{Next: r.state.NextOffset, Got: offset}
	}
	r.state.NextOffset = offset + 1
	rec, err := DecodeRecord(data)
	if err != nil {
		return fmt.Errorf("record at offset %d: %w", offset, err)
	}
	if r.Applied(rec.Id) {
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
	entry := &pb.AuditEntry{
		Offset: offset, RecordId: id, Action: "propose", Operator: p.Operator, TimeUnixMs: p.TimeUnixMs,
		Outcome: OutcomeAccepted, Version: p.BaseVersion, PlanDigest: p.PlanDigest,
	}
	if p.BaseVersion != r.state.Version {
		entry.Outcome, entry.Detail = OutcomeRefused, r.staleBaseReason(p.BaseVersion)
		r.audit(entry)
		return
	}
	pending := &pb.PendingProposal{Id: id, Proposal: p}
	r.state.Pending = appendBounded(r.state.Pending, pending, maxPendingProposals)
	r.state.Pending = trimBytes(r.state.Pending, maxPendingBytes)
	r.audit(entry)
}

func (r *Replay) confirm(offset uint64, id string, c *pb.Confirmation) {
	entry := &pb.AuditEntry{
		Offset: offset, RecordId: id, Action: "confirm", Operator: c.Operator, TimeUnixMs: c.TimeUnixMs,
		Outcome: OutcomeAccepted, PlanDigest: c.PlanDigest,
	}
	if reason := r.rejectionReason(c); reason != "" {
		entry.Outcome, entry.Detail = OutcomeRefused, reason
	} else {
		r.accept(c, r.pending(c.ProposalId))
	}
	entry.Version = r.state.Version
	r.audit(entry)
}

// rejectionReason returns why a confirmation is rejected, or "" if it is accepted.
func (r *Replay) rejectionReason(c *pb.Confirmation) string {
	if p := r.pending(c.ProposalId); p != nil {
		if p.PlanDigest != c.PlanDigest {
			return "the digest is not that of the proposal's plan"
		}
		if p.BaseVersion != r.state.Version {
			return r.staleBaseReason(p.BaseVersion)
		}
		return ""
	}
	for _, e := range r.state.Audit {
		if e.RecordId != c.ProposalId || e.Action != "propose" {
			continue
		}
		if e.Version != r.state.Version {
			return r.staleBaseReason(e.Version)
		}
		return "newer proposals displaced this one; propose it again"
	}
	return "no such proposal: " + c.ProposalId
}

// accept makes a pending proposal the current version. All pending proposals are
// based on the version that it replaces, so they become stale and are dropped.
func (r *Replay) accept(c *pb.Confirmation, p *pb.Proposal) {
	r.state.Version++
	r.state.IntentYaml = p.IntentYaml
	r.state.History = appendBounded(r.state.History, &pb.Version{
		Version: r.state.Version, Operator: c.Operator, ProposalId: c.ProposalId,
		PlanDigest: c.PlanDigest, TimeUnixMs: c.TimeUnixMs, IntentYaml: p.IntentYaml,
	}, maxHistoryVersions)
	trimHistoryIntents(r.state.History)
	r.state.Pending = nil
}

// staleBaseReason returns the reason for rejecting a proposal whose base is not the
// current version. It names the operator who replaced the base, if known.
func (r *Replay) staleBaseReason(base uint64) string {
	for _, v := range r.state.History {
		if v.Version == base+1 {
			return fmt.Sprintf("version %d was replaced by version %d, confirmed by %s", base, v.Version, v.Operator)
		}
	}
	return fmt.Sprintf("base version %d is not the current version %d", base, r.state.Version)
}

func (r *Replay) drain(offset uint64, id string, d *pb.DrainOrder) {
	entry := &pb.AuditEntry{
		Offset: offset, RecordId: id, Action: "undrain", Operator: d.Operator, TimeUnixMs: d.TimeUnixMs,
		Outcome: OutcomeAccepted, Detail: d.NodeId, Version: r.state.Version,
	}
	r.state.DrainedNodes = slices.DeleteFunc(r.state.DrainedNodes, func(n string) bool { return n == d.NodeId })
	if d.Drain {
		entry.Action = "drain"
		r.addDrained(d, entry)
	}
	r.audit(entry)
}

func (r *Replay) addDrained(d *pb.DrainOrder, entry *pb.AuditEntry) {
	if len(r.state.DrainedNodes) >= maxDrainedNodes {
		entry.Outcome = OutcomeRefused
		entry.Detail = fmt.Sprintf("%s: %d nodes are drained already", d.NodeId, maxDrainedNodes)
		return
	}
	r.state.DrainedNodes = append(r.state.DrainedNodes, d.NodeId)
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
	r.state.Audit = appendBounded(r.state.Audit, e, maxAuditEntries)
}

// appendBounded appends v and drops the oldest elements beyond the limit.
func appendBounded[T any](s []T, v T, limit int) []T {
	s = append(s, v)
	if len(s) > limit {
		s = slices.Delete(s, 0, len(s)-limit)
	}
	return s
}

package configlog

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Limits of the replayed state. Their sum in bytes, below 1.5 MiB (an audit entry has at most 512), lets a checkpoint fit
// in one record and a snapshot in one message between nodes.
const (
	maxRecentIDs    = 1024
	maxAudit        = 1024
	maxHistory      = 256
	maxHistoryBytes = 128 << 10
	maxPending      = 64
	maxPendingBytes = 384 << 10
	maxDrained      = 2048
	maxStateBytes   = MaxRecordBytes - 1024
)

// StateError tells why a state from a checkpoint or a peer is refused.
type StateError struct {
	Reason string
}

// Error implements error.
func (e *StateError) Error() string { return "invalid configuration state: " + e.Reason }

func stateErrorf(format string, args ...any) error {
	return &StateError{Reason: fmt.Sprintf(format, args...)}
}

// checkState checks the structure of a state that this node did not replay itself.
func checkState(s *pb.ConfigState) error {
	if s == nil {
		return stateErrorf("missing")
	}
	if n := proto.Size(s); n > maxStateBytes {
		return stateErrorf("%d bytes, more than %d", n, maxStateBytes)
	}
	if len(s.History) > maxHistory || len(s.Audit) > maxAudit || len(s.Pending) > maxPending {
		return stateErrorf("more entries than the replay keeps")
	}
	if len(s.RecentIds) > maxRecentIDs || len(s.DrainedNodes) > maxDrained {
		return stateErrorf("more entries than the replay keeps")
	}
	if s.Version > s.NextOffset {
		return stateErrorf("version %d needs more records than the %d applied", s.Version, s.NextOffset)
	}
	for _, p := range s.Pending {
		if p.GetProposal().GetBaseVersion() != s.Version {
			return stateErrorf("pending proposal %q is not based on version %d", p.GetId(), s.Version)
		}
	}
	return checkHistory(s)
}

// checkHistory checks that the history holds consecutive versions up to the current one.
func checkHistory(s *pb.ConfigState) error {
	if s.Version == 0 {
		if len(s.History) > 0 || s.IntentYaml != "" {
			return stateErrorf("version 0 with an intent")
		}
		return nil
	}
	if len(s.History) == 0 {
		return stateErrorf("version %d without history", s.Version)
	}
	want := s.Version - uint64(len(s.History)) + 1
	for i, v := range s.History {
		if v.GetVersion() != want+uint64(i) {
			return stateErrorf("history has version %d where %d is due", v.GetVersion(), want+uint64(i))
		}
	}
	return nil
}

// checkIntent checks that the intent of a state can be put in force.
func checkIntent(s *pb.ConfigState) error {
	if s.Version == 0 {
		return nil
	}
	if _, err := intent.Parse([]byte(s.IntentYaml)); err != nil {
		return stateErrorf("version %d: %v", s.Version, err)
	}
	return nil
}

// checkAgreement checks that two states can be results of the same log. One that
// applied more records has at least the version of the other, and versions that
// both know come from the same proposal.
func checkAgreement(mine, theirs *pb.ConfigState) error {
	if theirs.NextOffset <= mine.NextOffset && theirs.Version > mine.Version {
		return stateErrorf("version %d at offset %d, but offset %d has version %d here",
			theirs.Version, theirs.NextOffset, mine.NextOffset, mine.Version)
	}
	if theirs.NextOffset >= mine.NextOffset && theirs.Version < mine.Version {
		return stateErrorf("version %d at offset %d, but version %d was reached at offset %d",
			theirs.Version, theirs.NextOffset, mine.Version, mine.NextOffset)
	}
	if theirs.Version == mine.Version && theirs.IntentYaml != mine.IntentYaml {
		return stateErrorf("version %d has another intent", mine.Version)
	}
	known := map[uint64]string{}
	for _, v := range mine.History {
		known[v.Version] = v.ProposalId
	}
	for _, v := range theirs.History {
		if id, ok := known[v.Version]; ok && id != v.ProposalId {
			return stateErrorf("version %d comes from proposal %q, here from %q", v.Version, v.ProposalId, id)
		}
	}
	return nil
}

// trimBytes drops the oldest elements until the rest has at most limit bytes.
func trimBytes[T proto.Message](list []T, limit int) []T {
	total := 0
	for i := len(list) - 1; i >= 0; i-- {
		total += proto.Size(list[i])
		if total > limit {
			return list[i+1:]
		}
	}
	return list
}

// trimHistoryIntents drops the intent text of old versions until the rest has at
// most maxHistoryBytes. The newest version's text is the state's own intent.
func trimHistoryIntents(history []*pb.Version) {
	total := 0
	for i := len(history) - 1; i >= 0; i-- {
		total += len(history[i].IntentYaml)
		if total > maxHistoryBytes {
			history[i].IntentYaml = ""
		}
	}
}

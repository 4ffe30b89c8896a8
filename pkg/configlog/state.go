package configlog

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Limits of the replayed state, in entries or bytes. They keep it below 1.5 MiB (an
// audit entry has at most 512 bytes), so that a checkpoint fits in one record and a
// snapshot in one message between nodes.
const (
	maxRecentIDs        = 1024
	maxAuditEntries     = 1024
	maxHistoryVersions  = 256
	maxHistoryBytes     = 128 << 10
	maxPendingProposals = 64
	maxPendingBytes     = 384 << 10
	maxDrainedNodes     = 2048
	maxStateBytes       = MaxRecordBytes - 1024
)

// StateError states why a state from a checkpoint or a peer is rejected.
type StateError struct {
	Reason string
}

func (e *StateError) Error() string { return "invalid configuration state: " + e.Reason }

func stateErrorf(format string, args ...any) error {
	return &StateError{Reason: fmt.Sprintf(format, args...)}
}

// checkState checks the structure of a state that was received, not replayed here.
func checkState(s *pb.ConfigState) error {
	if s == nil {
		return stateErrorf("missing")
	}
	if n := proto.Size(s); n > maxStateBytes {
		return stateErrorf("%d bytes, more than %d", n, maxStateBytes)
	}
	if len(s.History) > maxHistoryVersions || len(s.Audit) > maxAuditEntries || len(s.Pending) > maxPendingProposals {
		return stateErrorf("more entries than the replay retains")
	}
	if len(s.RecentIds) > maxRecentIDs || len(s.DrainedNodes) > maxDrainedNodes {
		return stateErrorf("more entries than the replay retains")
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
			return stateErrorf("version 0 has a history or an intent")
		}
		return nil
	}
	if len(s.History) == 0 {
		return stateErrorf("version %d without history", s.Version)
	}
	want := s.Version - uint64(len(s.History)) + 1
	for i, v := range s.History {
		if v.GetVersion() != want+uint64(i) {
			return stateErrorf("history has version %d, want %d", v.GetVersion(), want+uint64(i))
		}
	}
	return nil
}

// checkIntent checks that the intent of a state is valid and can become active.
func checkIntent(s *pb.ConfigState) error {
	if s.Version == 0 {
		return nil
	}
	if _, err := intent.Parse([]byte(s.IntentYaml)); err != nil {
		return stateErrorf("version %d: %v", s.Version, err)
	}
	return nil
}

// checkConsistent checks that two states can result from the same log: the state
// with more records applied has at least the version of the other, and a version
// that is in both histories comes from the same proposal.
func checkConsistent(local, remote *pb.ConfigState) error {
	if remote.NextOffset <= local.NextOffset && remote.Version > local.Version {
		return stateErrorf("version %d at offset %d, but this node has applied offset %d and has version %d",
			remote.Version, remote.NextOffset, local.NextOffset, local.Version)
	}
	if remote.NextOffset >= local.NextOffset && remote.Version < local.Version {
		return stateErrorf("version %d at offset %d, but this node reached version %d at offset %d",
			remote.Version, remote.NextOffset, local.Version, local.NextOffset)
	}
	if remote.Version == local.Version && remote.IntentYaml != local.IntentYaml {
		return stateErrorf("version %d has a different intent than on this node", local.Version)
	}
	localProposals := map[uint64]string{}
	for _, v := range local.History {
		localProposals[v.Version] = v.ProposalId
	}
	for _, v := range remote.History {
		if id, ok := localProposals[v.Version]; ok && id != v.ProposalId {
			return stateErrorf("version %d comes from proposal %q, on this node from %q", v.Version, v.ProposalId, id)
		}
	}
	return nil
}

// trimBytes drops the oldest elements until the others have at most limit bytes.
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

// trimHistoryIntents drops the intent text of the oldest versions until the other
// texts have at most maxHistoryBytes. The state also holds the current text in
// IntentYaml.
func trimHistoryIntents(history []*pb.Version) {
	total := 0
	for i := len(history) - 1; i >= 0; i-- {
		total += len(history[i].IntentYaml)
		if total > maxHistoryBytes {
			history[i].IntentYaml = ""
		}
	}
}

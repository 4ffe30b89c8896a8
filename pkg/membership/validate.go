package membership

import (
	"errors"
	"fmt"
	"net/netip"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Limits of an entry received from a peer.
const (
	maxNameBytes = 64
	// maxCounter bounds incarnations and sequences and leaves room for increments
	// without overflow.
	maxCounter = 1 << 62
	// maxMembers limits the memory that entries from peers can take.
	maxMembers = 16384
)

// Errors of messages from peers.
var (
	// ErrWrongTarget means that a probe was for another node or incarnation.
	ErrWrongTarget = errors.New("probe is for another node or incarnation")
	// ErrOverBudget means that the control budget does not allow the message now.
	ErrOverBudget = errors.New("control budget exhausted")
	// ErrNoPeer means that no address responded to Join.
	ErrNoPeer = errors.New("membership join: no peer responded")
)

// InvalidMemberError reports an invalid field of a received entry.
type InvalidMemberError struct {
	Field string
}

func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("member entry: invalid %s", e.Field)
}

// Validate checks an entry received from a peer and returns an
// *InvalidMemberError for the first invalid field.
func Validate(m *pb.Member) error {
	if m == nil || m.NodeId == "" || len(m.NodeId) > maxNameBytes {
		return &InvalidMemberError{"node_id"}
	}
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"incarnation", m.Incarnation > 0 && m.Incarnation < maxCounter},
		{"sequence", m.Sequence < maxCounter},
		{"status", m.Status >= pb.MemberStatus_MEMBER_STATUS_ALIVE && m.Status <= pb.MemberStatus_MEMBER_STATUS_LEFT},
		{"peer_address", ValidAddress(m.PeerAddress)},
		{"admin_address", m.AdminAddress == "" || ValidAddress(m.AdminAddress)},
		{"region", len(m.Region) <= maxNameBytes},
		{"failure_domain", len(m.FailureDomain) <= maxNameBytes},
		{"service", len(m.Service) <= maxNameBytes},
		{"upstream_state", m.UpstreamState >= 0 && m.UpstreamState <= pb.UpstreamState_UPSTREAM_STATE_LAPSED},
	} {
		if !f.ok {
			return &InvalidMemberError{f.name}
		}
	}
	return nil
}

// ValidAddress reports whether the address is a specified IP address with a non-zero
// port.
func ValidAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Port() != 0 && !ap.Addr().IsUnspecified()
}

// Package membership keeps the list of nodes, each with the upstream beside it,
// and detects failed ones with the SWIM protocol. The port Transport carries its
// messages; package peer implements it.
package membership

import (
	"context"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Transport carries probes to other nodes. Implementations are safe for
// concurrent use and honour the context's deadline.
type Transport interface {
	Ping(ctx context.Context, address string, req *pb.PingRequest) (*pb.PingResponse, error)
	PingIndirect(ctx context.Context, address string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error)
	Sync(ctx context.Context, address string, req *pb.SyncRequest) (*pb.SyncResponse, error)
}

// Supersedes reports whether the update a replaces what is known as b.
// A larger incarnation always wins, then a larger sequence, then the worse
// status, then the higher configuration version. Each of them only grows at its
// owner, so all nodes keep the same entry whatever the order of arrival.
func Supersedes(a, b *pb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Status != b.Status {
		return a.Status > b.Status
	}
	return a.ConfigVersion > b.ConfigVersion
}

// gone reports whether the entry is a tombstone.
func gone(m *pb.Member) bool {
	return m.Status >= pb.MemberStatus_MEMBER_STATUS_DEAD
}

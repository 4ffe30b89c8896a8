// Package membership maintains the list of nodes, each with the upstream beside it,
// and detects failed nodes with the SWIM protocol. Messages go through the
// Transport interface, which package peer implements.
package membership

import (
	"context"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Transport sends membership messages to other nodes. Implementations are safe
// for concurrent use and honour the context's deadline.
type Transport interface {
	Ping(ctx context.Context, address string, req *pb.PingRequest) (*pb.PingResponse, error)
	PingIndirect(ctx context.Context, address string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error)
	Sync(ctx context.Context, address string, req *pb.SyncRequest) (*pb.SyncResponse, error)
}

// Supersedes reports whether the update a replaces the stored entry b.
// The larger incarnation wins, then the larger sequence, then the worse status,
// then the higher configuration version. The owner of an entry never decreases
// these values, so all nodes store the same entry in whatever order updates arrive.
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

// isTombstone reports whether the member is dead or has left.
func isTombstone(m *pb.Member) bool {
	return m.Status >= pb.MemberStatus_MEMBER_STATUS_DEAD
}

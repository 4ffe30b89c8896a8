package mesh

import (
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/connlimit"
)

// Guards against limits that callers within those of the configuration reach, and against shares that
// are together more than a process may have.
func TestConnectionLimitsLeaveRoomForCallers(t *testing.T) {
	// Some hundred callers, each with a few connections, that send headers of 16 KB in lines of 64 bytes.
	const callers, perCaller, headerBytes, sendingAtOnce = 300, 3, 16 << 10, 150
	for _, s := range []Settings{{}, {MemoryBytes: 184e6, MaxDescriptors: 4100}, {MemoryBytes: 184e6}, {MemoryBytes: 536e6, MaxDescriptors: 8192}} {
		caller, peer, small := s.connections(callerShare, callerConnectionBytes), s.connections(peerShare, peerConnectionBytes), s.connections(smallShare, callerConnectionBytes)
		if caller < callers*perCaller || peer < 300 || small < 50 {
			t.Errorf("%d MB and %d descriptors: %d connections of callers, %d of nodes, %d of others", s.MemoryBytes/1e6, s.MaxDescriptors, caller, peer, small)
		}
		if m := s.headerMemory(); m < sendingAtOnce*connlimit.HeaderCost(headerBytes, headerBytes/64) {
			t.Errorf("%d MB: %d bytes for headers", s.MemoryBytes/1e6, m)
		}
	}
	for _, s := range []Settings{{MaxDescriptors: reservedDescriptors + 1}, {MemoryBytes: 64e6, MaxDescriptors: 600}, {MaxDescriptors: 4100}} {
		total := s.connections(callerShare, callerConnectionBytes) + s.connections(peerShare, peerConnectionBytes) + 3*s.connections(smallShare, callerConnectionBytes)
		if free := s.MaxDescriptors - reservedDescriptors; total > max(free*3/4, 5*minConnections) {
			t.Errorf("%d of %d descriptors for connections that others open", total, free)
		}
	}
}

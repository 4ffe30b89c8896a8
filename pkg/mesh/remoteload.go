package mesh

import (
	"math/bits"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

const (
	// maxReportedRoom is the number of free slots beyond which other failure domains need no
	// update: a node there sends few requests before it gets the next status.
	maxReportedRoom = 3
	// waitStepMillis is the shortest wait that is reported. Longer ones are reported whenever they
	// double.
	waitStepMillis = 50
)

// remoteLoad is the part of an upstream's load whose changes nodes in other failure domains need at
// once. They send requests only if their own domain has no room, and traffic between domains is
// expensive, so that they get all other changes with the next periodic status.
type remoteLoad struct {
	accepting  bool
	room, wait int
}

func remoteLoadOf(u roster.Upstream) remoteLoad {
	return remoteLoad{
		accepting: u.Accepting,
		room:      max(0, min(maxReportedRoom, u.Limit-u.Running-u.Queued)),
		wait:      bits.Len(uint(u.WaitMillis / waitStepMillis)),
	}
}

// markUpdate records that the node's load has changed.
func (g *gossip) markUpdate(rounds *schedule) {
	if remoteLoadOf(g.status().Upstream) != g.remoteLoad {
		rounds.markPending()
		return
	}
	rounds.localPending = true
}

package node

import (
	"context"
	"time"
)

// firstReconcile is the delay of the first look for nodes that this one has not
// heard of. The delay doubles up to the interval of member records.
const firstReconcile = time.Second

// reconcileMembers joins nodes that are on the log's members stream but unknown
// here. Nodes that start together can form groups that don't know each other,
// since each of them stops looking for peers once it has one.
func (n *Node) reconcileMembers(ctx context.Context) {
	delay := firstReconcile
	for {
		wait(ctx, lengthen(delay))
		if ctx.Err() != nil {
			return
		}
		delay = min(2*delay, n.recordInterval())
		known := map[string]bool{}
		for _, m := range n.agent.Members() {
			known[m.PeerAddress] = true
		}
		for _, address := range n.newestAddresses(ctx) {
			if !known[address] {
				_ = n.agent.Join(ctx, []string{address})
				break
			}
		}
	}
}

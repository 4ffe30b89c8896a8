package node

import (
	"context"
	"slices"
	"sync"
	"time"
)

// drainInterval is the time between two looks at the drain orders. Together with
// the read of the log it stays well below the bound of 3 s.
const drainInterval = 100 * time.Millisecond

// drainState is the order that the sidecar follows.
type drainState struct {
	mu      sync.Mutex
	applied bool
}

// followDrain applies operators' drain orders for this node to the sidecar.
func (n *Node) followDrain(ctx context.Context) {
	for ctx.Err() == nil {
		n.applyOrder()
		wait(ctx, drainInterval)
	}
}

// applyOrder passes the order in force on to the sidecar if it changed. It is
// safe for concurrent use.
func (n *Node) applyOrder() {
	n.drain.mu.Lock()
	defer n.drain.mu.Unlock()
	ordered := slices.Contains(n.keeper.Current().State.DrainedNodes, n.settings.NodeID)
	if ordered != n.drain.applied {
		n.applyDrain(ordered)
		n.drain.applied = ordered
	}
}

// applyDrain sets the sidecar's drain. A node that stops stays drained, also if
// the stop begins while an order is cleared.
func (n *Node) applyDrain(drain bool) {
	n.sidecar.SetDrain(drain)
	if !n.lifecycle.Is(stateStarting) && !n.lifecycle.Is(stateServing) {
		n.sidecar.SetDrain(true)
	}
}

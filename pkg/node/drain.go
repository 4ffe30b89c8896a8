package node

import (
	"context"
	"slices"
	"sync"
	"time"
)

// drainCheckInterval is the time between two checks of the drain orders. Together with the
// read of the log it stays well below the 3 s bound for a drain.
const drainCheckInterval = 100 * time.Millisecond

// drainState is the drain order that was last applied to the sidecar.
type drainState struct {
	mu      sync.Mutex
	applied bool
}

// watchDrainOrders applies operators' drain orders for this node until the context
// ends.
func (n *Node) watchDrainOrders(ctx context.Context) {
	for ctx.Err() == nil {
		n.applyDrainOrder()
		wait(ctx, drainCheckInterval)
	}
}

// applyDrainOrder applies the drain order in force to the sidecar if it has changed.
// It is safe for concurrent use.
func (n *Node) applyDrainOrder() {
	n.drain.mu.Lock()
	defer n.drain.mu.Unlock()
	ordered := slices.Contains(n.replica.Current().State.DrainedNodes, n.settings.NodeID)
	if ordered != n.drain.applied {
		n.setSidecarDrain(ordered)
		n.drain.applied = ordered
	}
}

// setSidecarDrain sets the sidecar's drain state. A stopping node stays drained, even
// if the stop begins while an order is being cleared.
func (n *Node) setSidecarDrain(drain bool) {
	n.sidecar.SetDrain(drain)
	if !n.lifecycle.Is(stateStarting) && !n.lifecycle.Is(stateServing) {
		n.sidecar.SetDrain(true)
	}
}

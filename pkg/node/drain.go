package node

import (
	"context"
	"slices"
	"time"
)

// drainInterval is the time between two looks at the drain orders. Together with
// the read of the log it stays well below the bound of 3 s.
const drainInterval = 100 * time.Millisecond

// followDrain applies operators' drain orders for this node to the sidecar.
func (n *Node) followDrain(ctx context.Context) {
	applied := false
	for ctx.Err() == nil {
		ordered := slices.Contains(n.keeper.Current().State.DrainedNodes, n.settings.NodeID)
		if ordered != applied {
			n.applyDrain(ordered)
			applied = ordered
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainInterval):
		}
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

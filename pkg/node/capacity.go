package node

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/operator"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

// minMeasureInterval is the minimum time between two measurements of the fleet by
// one node. It limits their cost when proposals arrive in a burst.
const minMeasureInterval = time.Second

// capacityCache holds the last measurement of the fleet's capacity and demand. It is
// safe for concurrent use; concurrent callers share one measurement.
type capacityCache struct {
	mu         sync.Mutex
	measuredAt time.Time
	fleet      plan.Fleet
}

// get returns the cached measurement if it is younger than minMeasureInterval, and
// measures otherwise.
func (c *capacityCache) get(ctx context.Context, measure func(context.Context) plan.Fleet) plan.Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.measuredAt.IsZero() || time.Since(c.measuredAt) >= minMeasureInterval {
		// A caller that cancels must not abort the measurement for the others.
		c.fleet = measure(context.WithoutCancel(ctx))
		c.measuredAt = time.Now()
	}
	return c.fleet
}

// fleetCapacity measures the sidecars of the fleet, including this node's.
func (n *Node) fleetCapacity(ctx context.Context) plan.Fleet {
	return n.capacity.get(ctx, func(ctx context.Context) plan.Fleet {
		return operator.Measure(ctx, n.agent.Members(), n.peers)
	})
}

package node

import (
	"context"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/operator"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

// measureInterval is the shortest time between two measurements of the fleet by
// one node. It caps the cost of measuring when proposals arrive in a burst.
const measureInterval = time.Second

// fleetMeter measures capacity and demand of the fleet. It is safe for
// concurrent use; concurrent callers wait for one measurement.
type fleetMeter struct {
	mu    sync.Mutex
	at    time.Time
	fleet plan.Fleet
}

// measure returns the result of a measurement that ended within measureInterval.
func (f *fleetMeter) measure(ctx context.Context, ask func(context.Context) plan.Fleet) plan.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() || time.Since(f.at) >= measureInterval {
		// One caller that leaves must not spoil the result for the others.
		f.fleet = ask(context.WithoutCancel(ctx))
		f.at = time.Now()
	}
	return f.fleet
}

// fleetCapacity asks the sidecars of the fleet, this one included.
func (n *Node) fleetCapacity(ctx context.Context) plan.Fleet {
	return n.meter.measure(ctx, func(ctx context.Context) plan.Fleet {
		return operator.Measure(ctx, n.agent.Members(), n.peers)
	})
}

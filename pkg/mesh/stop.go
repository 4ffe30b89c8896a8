package mesh

import (
	"context"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
)

const (
	// unreadyDuration is how long a stopping node still accepts requests. Its callers switch
	// to another node after two failed readiness checks, which they make once per second.
	unreadyDuration = 2300 * time.Millisecond
	// upstreamFinishTime is the last part of unreadyDuration. The upstream accepts no more
	// calls in it and finishes the running ones.
	upstreamFinishTime = 700 * time.Millisecond
	// closeReserve is the part of the stop time that is reserved for closing connections.
	closeReserve = 600 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether all requests are done.
	stopPollInterval = 20 * time.Millisecond
	// handlerChecks is for how many checks, stopPollInterval apart, a stopping node waits for
	// the handlers of requests that it has aborted.
	handlerChecks = 5
)

// stop takes the node out of service without aborting requests. For at least unreadyDuration,
// the readiness check fails while callers are still served; the upstream beside the node
// accepts calls until upstreamFinishTime before the end of that time.
func (n *Node) stop() {
	start := time.Now()
	n.stopping.Store(true)
	n.deps.Events.Emit(event.NodeDraining, event.Fields{"active": n.ingress.Active(), "running": n.sidecar.Running()})
	n.ingress.CloseConnections()
	deadline := start.Add(n.settings.StopWithin - closeReserve)
	n.sidecar.StopAt(deadline)
	upstreamStopped := false
	for time.Now().Before(deadline) {
		n.requests.EvictStalled()
		if !upstreamStopped && time.Since(start) > unreadyDuration-upstreamFinishTime {
			n.sidecar.Stop()
			upstreamStopped = true
		}
		idle := n.ingress.Active() == 0 && n.sidecar.Running() == 0 && n.requests.Active() == 0
		if time.Since(start) > unreadyDuration {
			// Callers that still send requests may have no other node.
			n.ingress.StopAt(deadline)
			n.requests.EvictBodies(deadline)
			if idle {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
	// A stall of the process may have used up the time.
	if !upstreamStopped {
		n.sidecar.Stop()
	}
	n.ingress.StopAt(deadline)
	n.closeServers(deadline.Add(closeReserve / 2))
}

// closeServers closes the listener for callers, waits until the deadline for the requests
// on the connections that it has accepted, ends those that are left with an error, and then
// closes all connections.
func (n *Node) closeServers(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = n.listeners[0].Close()
	n.requests.EvictBodies(time.Now())
	// A connection without a handler has its response, and is only kept open until its caller has read that.
	if err := n.connections.drain(ctx); err != nil && n.ingress.Active() > 0 {
		n.deps.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error(), "during": "stop", "active": n.ingress.Active()})
		n.ingress.Abort()
		n.awaitHandlers()
	}
	n.connections.markAllClosed(relay.ClosedByStop)
	n.awaitPeerCalls(ctx)
	// The last bytes of responses to other nodes may still be on their way.
	time.Sleep(2 * stopPollInterval)
	for i, s := range n.servers {
		// The listener needs the server's lock, which Close holds, to close without delay.
		_ = n.listeners[i].Close()
		if err := s.Close(); err != nil {
			n.deps.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error(), "during": "stop"})
		}
	}
	n.awaitHandlers()
}

// awaitPeerCalls waits until the calls of other nodes have their whole responses or the context ends.
// The upstream may be done with them long before.
func (n *Node) awaitPeerCalls(ctx context.Context) {
	for n.requests.Active() > 0 {
		if ctx.Err() != nil {
			n.deps.Events.Emit(event.NodeFailed, event.Fields{"error": ctx.Err().Error(), "during": "stop", "peer_calls": n.requests.Active()})
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// awaitHandlers waits until the handlers of aborted requests have responded or logged them.
func (n *Node) awaitHandlers() {
	for range handlerChecks {
		if n.ingress.Active() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

package node

import (
	"context"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/probing"
)

const (
	// maxLoadAge is the age of a load report from which its upstream is probed again. The
	// weight of a report halves every 50 ms, so it is negligible at this age.
	maxLoadAge = time.Second
	// routedWindow is how long after the last request to a service its upstreams are
	// probed.
	routedWindow = 10 * time.Second
)

// probeLoads probes the load of upstreams, at this node's share of the fleet's probe
// budget.
func (n *Node) probeLoads(ctx context.Context) {
	probing.New(probing.Config{
		Rate: n.probeRate, Targets: n.probeTargets, Report: n.reportLoad, Registry: n.registry,
	}, n.peers).Run(ctx)
}

// probeRate returns the probes per second of this node, or 0 without an intent.
func (n *Node) probeRate() float64 {
	in := n.Intent()
	if in == nil {
		return 0
	}
	return probing.Rate(in.Probing)
}

// probeTargets returns the upstreams to probe: those without a recent load, of services
// that this node recently routed requests to.
func (n *Node) probeTargets() []probing.Target {
	var out []probing.Target
	picker := n.ingress.Picker()
	for _, service := range picker.RecentServices(routedWindow) {
		for _, c := range picker.Stale(service, n.Candidates(service), maxLoadAge) {
			out = append(out, probing.Target{
				NodeID: c.NodeID, Address: c.PeerAddress, Incarnation: c.Incarnation, LastUpdate: c.LastUpdate,
			})
		}
	}
	return out
}

// reportLoad passes the result of a probe to the picker.
func (n *Node) reportLoad(t probing.Target, l *pb.Load) {
	n.ingress.Picker().RecordLoad(t.NodeID, t.Incarnation, l)
}

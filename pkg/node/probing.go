package node

import (
	"context"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/probing"
)

const (
	// staleAfter is the age from which a load is worth asking for again. The weight
	// of a reported load halves each 50 ms, so that nothing is left of it by then.
	staleAfter = time.Second
	// routedWithin is the time after its last request for which the upstreams of a
	// service are probed.
	routedWithin = 10 * time.Second
)

// probeLoads asks upstreams for their load within this node's share of the budget.
func (n *Node) probeLoads(ctx context.Context) {
	probing.New(probing.Config{
		Rate: n.probeRate, Targets: n.probeTargets, Report: n.reportLoad, Registry: n.registry,
	}, n.peers).Run(ctx)
}

// probeRate returns the probes per second of this node; none without an intent.
func (n *Node) probeRate() float64 {
	in := n.Intent()
	if in == nil {
		return 0
	}
	return probing.Rate(in.Probing)
}

// probeTargets returns the upstreams without recent information of the services
// that this node routes to.
func (n *Node) probeTargets() []probing.Target {
	var out []probing.Target
	picker := n.ingress.Picker()
	for _, service := range picker.Recent(routedWithin) {
		for _, c := range picker.Stale(service, n.Candidates(service), staleAfter) {
			out = append(out, probing.Target{
				NodeID: c.NodeID, Address: c.PeerAddress, Incarnation: c.Incarnation, Known: c.Known,
			})
		}
	}
	return out
}

func (n *Node) reportLoad(t probing.Target, l *pb.Load) {
	n.ingress.Picker().Observe(t.NodeID, t.Incarnation, l)
}

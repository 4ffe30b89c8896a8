package node

import (
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/ingress"
)

// newIngress returns the handler for callers of this node.
func (n *Node) newIngress() *ingress.Ingress {
	return ingress.New(ingress.Config{
		DefaultTimeout: n.settings.DefaultTimeout, MaxTimeout: 300 * time.Second,
		NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain,
		Members: n, Registry: n.registry,
	}, n, n, ingress.NewTransport())
}

// Member implements ingress.Members.
func (n *Node) Member(nodeID string) (*pb.Member, bool) {
	for _, m := range n.agent.Members() {
		if m.NodeId == nodeID {
			return m, true
		}
	}
	return nil, false
}

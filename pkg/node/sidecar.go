package node

import (
	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// newSidecar returns the sidecar of this node. The keeper must exist.
func (n *Node) newSidecar() *sidecar.Sidecar {
	return sidecar.New(sidecar.Config{
		Incarnation: n.incarnation, LeaseTTL: leaseTTL, Registry: n.registry,
		Intent:        n.Intent,
		ConfigVersion: func() uint64 { return n.keeper.Current().Version },
	}, n.events)
}

package node

import (
	"context"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/idempotency"
	"github.com/mulberrytray/mulberrytray/pkg/ingress"
)

// newIngress returns the handler for requests of this node's callers.
func (n *Node) newIngress() *ingress.Ingress {
	return ingress.New(ingress.Config{
		DefaultTimeout: n.settings.DefaultTimeout, MaxTimeout: 300 * time.Second,
		NodeID: n.settings.NodeID, FailureDomain: n.settings.FailureDomain,
		Members: n, Registry: n.registry, RequireEcho: true,
		Tokens: tokenResolver{}, Issuer: tokenIssuer{n},
	}, n, n, ingress.NewTransport())
}

// Member returns the member with the ID. It implements ingress.Members.
func (n *Node) Member(nodeID string) (*pb.Member, bool) {
	for _, m := range n.agent.Members() {
		if m.NodeId == nodeID {
			return m, true
		}
	}
	return nil, false
}

// tokenResolver implements ingress.TokenResolver.
type tokenResolver struct{}

func (tokenResolver) Parse(key string) (nodeID string, incarnation uint64, ok bool) {
	return idempotency.Parse(key)
}

// tokenIssuer implements ingress.TokenIssuer through the peer service.
type tokenIssuer struct{ n *Node }

// Issue requests a token from the node at the address.
func (i tokenIssuer) Issue(ctx context.Context, address string, _ uint64, service string) (string, time.Duration, error) {
	resp, err := i.n.peers.IssueToken(ctx, address, &pb.IssueTokenRequest{Service: service})
	if err != nil {
		return "", 0, err
	}
	return resp.Token, time.Duration(resp.TtlMs) * time.Millisecond, nil
}

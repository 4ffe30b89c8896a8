package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// orderTimeout bounds the delivery of an order, below the drain bound of 3 s.
	orderTimeout = 2500 * time.Millisecond
	// orderAttemptTimeout bounds one attempt, so that a relay is tried in time.
	orderAttemptTimeout = 700 * time.Millisecond
	// orderRetry is the time between two attempts.
	orderRetry = 100 * time.Millisecond
	// orderRelays is the number of members asked to pass an order on.
	orderRelays = 3
)

var errNoMember = errors.New("no such member is alive")

// orderSender makes the node at an address read the log.
type orderSender interface {
	ReadLog(ctx context.Context, address string, req *pb.ReadLogRequest) (*pb.ReadLogResponse, error)
}

// deliverOrder makes the target read the log up to the offset and apply its order.
// The log stays the only source of orders: the call only shortens the wait until
// the target's next poll, which takes up to about 125 s in a fleet of 1,600 nodes.
func (n *Node) deliverOrder(ctx context.Context, nodeID string, nextOffset uint64) error {
	if nodeID == n.settings.NodeID {
		n.applyOrder()
		return nil
	}
	target := n.present(nodeID)
	if target == nil {
		return errNoMember
	}
	relays := n.agent.Random(orderRelays, func(m *pb.Member) bool { return m.NodeId != nodeID })
	return deliver(ctx, n.peers, target, relays, nextOffset)
}

// present returns the entry of a member that is not known to be gone, or nil.
func (n *Node) present(nodeID string) *pb.Member {
	for _, m := range n.agent.Members() {
		if m.NodeId == nodeID && m.Status <= pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			return m
		}
	}
	return nil
}

// deliver tries the target and the relays in turn until one succeeds or
// orderTimeout has passed. The last error of the target is returned.
func deliver(ctx context.Context, sender orderSender, target *pb.Member, relays []*pb.Member, nextOffset uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		err := send(ctx, sender, target.PeerAddress, target.NodeId, nextOffset)
		if err == nil || relay(ctx, sender, relays, target.NodeId, nextOffset) {
			return nil
		}
		wait(ctx, orderRetry)
		if ctx.Err() != nil {
			return fmt.Errorf("node: order for %s: %w", target.NodeId, err)
		}
	}
}

// relay asks all relays at once and reports whether one of them succeeded.
func relay(ctx context.Context, sender orderSender, relays []*pb.Member, nodeID string, nextOffset uint64) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(relays))
	for _, m := range relays {
		go func() { results <- send(ctx, sender, m.PeerAddress, nodeID, nextOffset) }()
	}
	for range relays {
		if <-results == nil {
			return true
		}
	}
	return false
}

func send(ctx context.Context, sender orderSender, address, nodeID string, nextOffset uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	_, err := sender.ReadLog(ctx, address, &pb.ReadLogRequest{TargetNodeId: nodeID, NextOffset: nextOffset})
	return err
}

// handleReadLog reads the log up to the offset and applies the order for this
// node. A call for another node is passed on once.
func (n *Node) handleReadLog(ctx context.Context, r *pb.ReadLogRequest) (*pb.ReadLogResponse, error) {
	if r.TargetNodeId != n.settings.NodeID {
		return n.passOn(ctx, r)
	}
	for n.keeper.Current().State.NextOffset < r.NextOffset {
		if err := n.keeper.Poll(ctx); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		if n.keeper.Current().State.NextOffset < r.NextOffset { // a stale replica answered
			wait(ctx, orderRetry)
		}
	}
	n.applyOrder()
	return &pb.ReadLogResponse{}, nil
}

func (n *Node) passOn(ctx context.Context, r *pb.ReadLogRequest) (*pb.ReadLogResponse, error) {
	target := n.present(r.TargetNodeId)
	if r.Relayed || target == nil {
		return nil, connect.NewError(connect.CodeNotFound, errNoMember)
	}
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	return n.peers.ReadLog(ctx, target.PeerAddress, &pb.ReadLogRequest{
		TargetNodeId: r.TargetNodeId, NextOffset: r.NextOffset, Relayed: true,
	})
}

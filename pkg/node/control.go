package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/membership"
)

const (
	// fleetPollsPerSecond bounds the rate at which the whole fleet reads the log.
	fleetPollsPerSecond = 20
	// minRecordInterval is the minimum time between two records of one node on the
	// members stream, fleetRecordInterval the minimum mean time between two records of the
	// whole fleet. At one record every 2 s the newest 32 addresses are about a minute old.
	minRecordInterval   = 30 * time.Second
	fleetRecordInterval = 2 * time.Second
	// recordRetryDelay is the delay after a failed append to the members stream.
	recordRetryDelay = time.Second
	// maxContactRecords is the number of newest records that are searched for contact
	// addresses.
	maxContactRecords = 64

	// fetchJitter is the maximum random delay before a fetch. It spreads the fetches
	// of a new configuration over the peers that have it.
	fetchJitter = 100 * time.Millisecond
	// fetchTimeout bounds one fetch. After a failed fetch another peer is used.
	fetchTimeout = 2 * time.Second
	// peerCheckInterval is the time between two checks for a peer with a newer version.
	peerCheckInterval = 500 * time.Millisecond
	// selfRefreshInterval is the time between two updates of this node's own membership
	// entry. It is well below the 3 s bound for a drain.
	selfRefreshInterval = 100 * time.Millisecond
)

// pollInterval returns the time until the next poll of the log. It grows with the
// fleet. Jitter spreads the polls of nodes that started together.
func (n *Node) pollInterval() time.Duration {
	return withJitter(max(time.Second, time.Duration(n.agent.Size())*time.Second/fleetPollsPerSecond))
}

// recordInterval returns the time until the next record on the members stream.
func (n *Node) recordInterval() time.Duration {
	return withJitter(max(minRecordInterval, time.Duration(n.agent.Size())*fleetRecordInterval))
}

// withJitter returns d plus a random duration of up to a quarter of d.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// wait returns after d, or earlier if the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// announceSelf regularly appends this node's address to the members stream and
// contacts other nodes.
func (n *Node) announceSelf(ctx context.Context) {
	data, err := proto.Marshal(&pb.MemberRecord{NodeId: n.settings.NodeID, Incarnation: n.incarnation, PeerAddress: n.settings.PeerAddress})
	if err != nil {
		return
	}
	var contacts sync.WaitGroup
	contacts.Go(func() { n.agent.RunDiscovery(ctx, n.settings.Peers, n.newestAddresses) })
	defer contacts.Wait()
	for ctx.Err() == nil {
		if _, err := n.log.Append(ctx, configlog.StreamMembers, data); err != nil {
			wait(ctx, withJitter(recordRetryDelay))
			continue
		}
		wait(ctx, n.recordInterval())
	}
}

// newestAddresses returns addresses of other nodes from the members stream, newest
// first.
func (n *Node) newestAddresses(ctx context.Context) []string {
	head, err := n.log.Read(ctx, configlog.StreamMembers, 0, 1)
	if err != nil {
		return nil
	}
	from := head.Earliest
	if head.End > from+maxContactRecords {
		from = head.End - maxContactRecords
	}
	batch, err := n.log.Read(ctx, configlog.StreamMembers, from, maxContactRecords)
	if err != nil {
		return nil
	}
	var out []string
	seen := map[string]bool{n.settings.NodeID: true}
	for i := len(batch.Entries) - 1; i >= 0; i-- {
		var rec pb.MemberRecord
		if err := proto.Unmarshal(batch.Entries[i].Data, &rec); err != nil || seen[rec.NodeId] || !membership.ValidAddress(rec.PeerAddress) {
			continue
		}
		seen[rec.NodeId] = true
		out = append(out, rec.PeerAddress)
	}
	return out
}

// onMemberUpdate wakes fetchFromPeers when a peer has a newer configuration. It is
// called for each accepted membership update and does not block.
func (n *Node) onMemberUpdate(m *pb.Member) {
	if m.ConfigVersion <= n.replica.Current().Version || m.Status > pb.MemberStatus_MEMBER_STATUS_SUSPECT {
		return
	}
	select {
	case n.newerPeers <- m.PeerAddress:
	default:
	}
}

// fetchFromPeers fetches newer configurations from peers, one fetch at a time.
func (n *Node) fetchFromPeers(ctx context.Context) {
	for {
		address := ""
		select {
		case <-ctx.Done():
			return
		case address = <-n.newerPeers:
		case <-time.After(peerCheckInterval):
			address = n.randomNewerPeer()
		}
		if address == "" {
			continue
		}
		wait(ctx, time.Duration(rand.Int64N(int64(fetchJitter))))
		if err := n.fetch(ctx, address); err != nil && !errors.Is(err, membership.ErrOverBudget) {
			if other := n.randomNewerPeer(); other != "" {
				_ = n.fetch(ctx, other)
			}
		}
	}
}

// randomNewerPeer returns the address of a random member with a newer configuration,
// or "".
func (n *Node) randomNewerPeer() string {
	have := n.replica.Current().Version
	for _, m := range n.agent.Random(1, func(m *pb.Member) bool { return m.ConfigVersion > have }) {
		return m.PeerAddress
	}
	return ""
}

// fetch installs the peer's configuration if it is newer. It then updates this node's
// membership entry at once, so that others can fetch the new version from here.
func (n *Node) fetch(ctx context.Context, address string) error {
	if !n.agent.AllowFetch() {
		return membership.ErrOverBudget
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := n.peers.FetchSnapshot(ctx, address, &pb.FetchSnapshotRequest{
		HaveVersion: n.replica.Current().Version, HaveOffset: n.replica.NextOffset(), HaveHistory: n.replica.LogHistory(),
	})
	if err != nil {
		return err
	}
	n.agent.ChargeFetch(proto.Size(resp))
	switch {
	case len(resp.Records) > 0:
		err = n.replica.MergeRecords(resp.LogHistory, entries(resp.Records))
	case len(resp.Snapshot) > 0:
		err = n.replica.MergeState(resp.Snapshot)
	}
	if err != nil {
		return err
	}
	n.publishSelf()
	return nil
}

func entries(records []*pb.LogRecord) []configlog.Entry {
	var out []configlog.Entry
	for _, r := range records {
		out = append(out, configlog.Entry{Offset: r.Offset, Data: r.Data})
	}
	return out
}

// refreshSelf updates this node's own membership entry until the context ends.
func (n *Node) refreshSelf(ctx context.Context) {
	for ctx.Err() == nil {
		n.publishSelf()
		wait(ctx, selfRefreshInterval)
	}
}

// publishSelf writes the local upstream's state and the configuration version to this
// node's membership entry.
func (n *Node) publishSelf() {
	load := n.sidecar.Load()
	n.agent.UpdateSelf(func(m *pb.Member) {
		m.Service, m.UpstreamState, m.Slots = n.sidecar.Service(), load.State, load.Slots
		m.ConfigVersion = max(m.ConfigVersion, n.replica.Current().Version)
	})
}

func (n *Node) handlePing(_ context.Context, r *pb.PingRequest) (*pb.PingResponse, error) {
	resp, err := n.agent.HandlePing(r)
	return resp, controlError(err)
}

func (n *Node) handleSync(_ context.Context, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	resp, err := n.agent.HandleSync(r)
	return resp, controlError(err)
}

// handleSnapshot responds with the log records that the peer lacks, or with the whole
// state if the records are no longer available.
func (n *Node) handleSnapshot(_ context.Context, r *pb.FetchSnapshotRequest) (*pb.FetchSnapshotResponse, error) {
	cur := n.replica.Current()
	if cur.Version <= r.HaveVersion {
		return &pb.FetchSnapshotResponse{}, nil
	}
	resp := &pb.FetchSnapshotResponse{LogHistory: cur.State.LogHistory}
	if r.HaveHistory == 0 || r.HaveHistory == resp.LogHistory {
		for _, e := range n.replica.RecordsFrom(r.HaveOffset) {
			resp.Records = append(resp.Records, &pb.LogRecord{Offset: e.Offset, Data: e.Data})
		}
	}
	if len(resp.Records) == 0 {
		data, err := proto.Marshal(cur.State)
		if err != nil {
			return nil, err
		}
		resp.Snapshot = data
	}
	if !n.agent.AllowServe(proto.Size(resp)) {
		return nil, controlError(membership.ErrOverBudget)
	}
	return resp, nil
}

// controlError maps membership errors to connect codes.
func controlError(err error) error {
	switch {
	case errors.Is(err, membership.ErrWrongTarget):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, membership.ErrOverBudget):
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return err
}

package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// syncLimit is the largest page of entries, about 4.5 KB.
	syncLimit = 30
	// maxBuckets bounds the digests on one request to 1 KB.
	maxBuckets = 256
	// bucketMembers is the number of members per bucket up to that bound.
	bucketMembers = 4
	// syncFailures ends a comparison.
	syncFailures = 10
	// memberBytes is the size of a usual entry.
	memberBytes = updateBytes / maxUpdates
	// joinLimit is the first page of a joining node, which learns there whom else
	// to ask.
	joinLimit = 8
	// firstRefusedWait doubles with each refusal, up to 80 s. With 10 s, 100 nodes
	// that join through one used 100 KB of its control bytes in 10 s.
	firstRefusedWait    = 20 * time.Second
	maxRefusedDoublings = 2
	// syncPause is the mean time to wait after a refused page.
	syncPause = time.Second
	// urgentPeers is the number of members that an urgent update is pushed to.
	urgentPeers = 3
	// urgentGap is the least time between two urgent pushes of one node.
	urgentGap = 200 * time.Millisecond
	// leavePeers is the number of members that a leaving node tells.
	leavePeers = 5
)

// Join fetches the member list, first from one of the addresses and then from
// members learned on the way, so that a single node does not pay for it all.
// It returns ErrNoPeer if no address answers, and ErrOverBudget if one answered
// but has no room; that one has noted this node and will probe it, so the caller
// does best to wait for RefusedWait.
func (a *Agent) Join(ctx context.Context, addresses []string) error {
	result := ErrNoPeer
	for _, addr := range addresses {
		if !ValidAddress(addr) || addr == a.Self().PeerAddress {
			continue
		}
		next, err := a.syncPage(ctx, addr, "", nil)
		if errors.Is(err, ErrOverBudget) {
			result = ErrOverBudget
		}
		if err != nil {
			continue
		}
		a.syncRest(ctx, next, nil)
		return nil
	}
	return result
}

// RefusedWait returns a random time to wait after the given number of refusals,
// from 0. Faster retries of many joining nodes would keep the only node that they
// know in debt, since it pays for each request that it refuses.
func RefusedWait(refusals int) time.Duration {
	return jitter(firstRefusedWait << min(refusals, maxRefusedDoublings))
}

// syncPage fetches one page and returns where the next one starts.
func (a *Agent) syncPage(ctx context.Context, addr, after string, digests []uint32) (string, error) {
	limit := uint32(syncLimit)
	if after == "" && digests == nil {
		limit = joinLimit
	}
	req := &pb.SyncRequest{Sender: a.Self(), AfterNodeId: after, Limit: limit, Digests: digests}
	held := int(limit)*memberBytes + ResponseOverhead
	if !a.allow(syncClass(req), proto.Size(req)+RequestOverhead, held) {
		return "", ErrOverBudget
	}
	defer a.release(held)
	ctx, cancel := context.WithTimeout(ctx, 2*a.cfg.Period)
	defer cancel()
	resp, err := a.transport.Sync(ctx, addr, req)
	if err != nil {
		return "", err
	}
	a.received(proto.Size(resp) + ResponseOverhead)
	a.Merge(resp.GetMembers()[:min(len(resp.GetMembers()), syncLimit)]...)
	if resp.GetNextAfterNodeId() <= after {
		return "", nil
	}
	return resp.GetNextAfterNodeId(), nil
}

// syncClass prefers joining nodes to the comparison of complete lists.
func syncClass(req *pb.SyncRequest) class {
	if len(req.GetDigests()) == 0 {
		return classUrgent
	}
	return classSync
}

func (a *Agent) syncRest(ctx context.Context, after string, digests []uint32) {
	for failures := 0; after != "" && failures < syncFailures; {
		peers := a.Random(1, func(*pb.Member) bool { return true })
		if len(peers) == 0 {
			return
		}
		next, err := a.syncPage(ctx, peers[0].PeerAddress, after, digests)
		if err == nil {
			after = next
			continue
		}
		failures++
		if !sleep(ctx, jitter(syncPause)) {
			return
		}
	}
}

// syncWith asks for a comparison with the member soon.
func (a *Agent) syncWith(addr string) {
	select {
	case a.syncSoon <- addr:
	default:
	}
}

// runSync compares the list with a random member at a slow rate. Only buckets
// whose digests differ are transferred.
func (a *Agent) runSync(ctx context.Context) {
	for {
		addr := ""
		select {
		case <-ctx.Done():
			return
		case addr = <-a.syncSoon:
			if !sleep(ctx, jitter(syncPause)) {
				return
			}
		case <-time.After(jitter(a.cfg.syncEvery(a.Size()))):
		}
		if addr == "" {
			peers := a.Random(1, func(*pb.Member) bool { return true })
			if len(peers) == 0 {
				continue
			}
			addr = peers[0].PeerAddress
		}
		a.mu.Lock()
		digests := a.digests(buckets(a.Size()))
		a.mu.Unlock()
		if next, err := a.syncPage(ctx, addr, "", digests); err == nil {
			a.syncRest(ctx, next, digests)
		}
	}
}

func buckets(n int) int { return min(maxBuckets, n/bucketMembers+1) }

// runUrgent pushes urgent updates to a few random members, at a bounded rate.
func (a *Agent) runUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgent:
		}
		a.push(ctx, urgentPeers)
		if !sleep(ctx, urgentGap) {
			return
		}
	}
}

// push sends the newest updates to n random members, first to those that are
// not known to have this node's configuration version.
func (a *Agent) push(ctx context.Context, n int) {
	version := a.Self().ConfigVersion
	peers := a.Random(n, func(m *pb.Member) bool { return m.ConfigVersion < version })
	if len(peers) < n {
		peers = append(peers, a.Random(n-len(peers), func(m *pb.Member) bool { return m.ConfigVersion >= version })...)
	}
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { _ = a.ping(ctx, classUrgent, p, p.Incarnation) })
	}
	wg.Wait()
}

// Leave tells several members that this node ends. Call it after the node has
// stopped to accept work.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	next := proto.Clone(a.self).(*pb.Member)
	next.Status = pb.MemberStatus_MEMBER_STATUS_LEFT
	next.Sequence++
	a.setSelf(next)
	a.mu.Unlock()
	a.push(ctx, leavePeers)
}

// AllowFetch reports whether the budget has room to fetch a configuration. The
// size of the answer is charged with ChargeFetch and delays later messages.
func (a *Agent) AllowFetch() bool { return a.allow(classFetch, RequestOverhead, 0) }

// ChargeFetch accounts for the bytes of a snapshot received from a peer.
func (a *Agent) ChargeFetch(n int) { a.received(n + ResponseOverhead) }

// AllowServe reports whether the budget has room to send a snapshot of n bytes,
// and charges it. A snapshot larger than the budget is sent when it is full.
func (a *Agent) AllowServe(n int) bool {
	a.received(RequestOverhead)
	if a.budget.room(classFetch) <= 0 {
		a.meters.skipped.Inc(1)
		return false
	}
	a.answered(n + ResponseOverhead)
	return true
}

// jitter returns a time between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

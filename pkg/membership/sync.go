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
	// minPage is the smallest page of a comparison. Asking always for the largest,
	// a node waited until most of its burst was free.
	minPage = 8
	// maxBuckets bounds the digests on one request to 1 KB.
	maxBuckets = 256
	// syncFailures ends a comparison.
	syncFailures = 10
	// memberBytes is the size of a usual entry.
	memberBytes = updateBytes / maxUpdates
	// joinLimit is the number of entries that a first contact returns: enough to
	// ask others for the list.
	joinLimit = 2
	// joinDebtSeconds of the byte rate may be borrowed to answer first contacts. A
	// refusal costs nearly as much as an answer, and each retry costs again: with
	// refusals, 100 nodes that joined through one took 86 s.
	joinDebtSeconds = 8
	// learnedSoon is the number of members not known before that make a node
	// compare its list again soon. A single new member comes by gossip.
	learnedSoon = 2
	// cleanSyncs is the number of comparisons that must bring nothing new before a
	// node returns to the slow rate. With one, a node of 100 that joined at the same
	// time sometimes missed one other for 30 s.
	cleanSyncs = 3
	// syncPause is the mean time to wait after a refused page.
	syncPause = 500 * time.Millisecond
	// urgentPeers is the number of members that an urgent update is pushed to.
	urgentPeers = 3
	// urgentGap is the least time between two urgent pushes of one node.
	urgentGap = 200 * time.Millisecond
	// leavePeers is the number of members that a leaving node tells.
	leavePeers = 5
)

// Join makes a first contact with one of the addresses and learns a few members
// there. Run then fetches the list from members at random, so that the contact
// does not pay for it. Join returns ErrNoPeer if no address answers, and
// ErrOverBudget if one answered but has no room; that one has noted this node and
// will probe it, so the caller does best to wait for refusedWait.
func (a *Agent) Join(ctx context.Context, addresses []string) error {
	result := ErrNoPeer
	for _, addr := range addresses {
		if !ValidAddress(addr) || addr == a.Self().PeerAddress {
			continue
		}
		_, err := a.syncPage(ctx, addr, "", nil)
		if errors.Is(err, ErrOverBudget) {
			result = ErrOverBudget
		}
		if err != nil {
			continue
		}
		a.syncWith("")
		return nil
	}
	return result
}

// syncPage fetches one page and returns where the next one starts.
func (a *Agent) syncPage(ctx context.Context, addr, after string, digests []uint32) (string, error) {
	req := &pb.SyncRequest{Sender: a.Self(), AfterNodeId: after, Digests: digests}
	limit := a.pageLimit(req)
	req.Limit = uint32(limit)
	held := limit*memberBytes + ResponseOverhead
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

// pageLimit returns the number of entries to ask for: what this node has room for.
func (a *Agent) pageLimit(req *pb.SyncRequest) int {
	if len(req.GetDigests()) == 0 {
		return joinLimit
	}
	room := a.budget.room(syncClass(req)) - proto.Size(req) - RequestOverhead - ResponseOverhead
	return min(max(room/memberBytes, minPage), syncLimit)
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
		peer := a.recent()
		if peer == nil {
			return
		}
		next, err := a.syncPage(ctx, peer.PeerAddress, after, digests)
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

// syncWith asks for a comparison soon, with the member at addr or, if that is
// empty, with a random one.
func (a *Agent) syncWith(addr string) {
	select {
	case a.syncSoon <- addr:
	default:
	}
}

// runSync compares the list with a random member at a slow rate. Only buckets
// whose digests differ are transferred.
func (a *Agent) runSync(ctx context.Context) {
	for again := 0; ; {
		if again > 0 {
			a.syncWith("")
		}
		addr, soon := "", false
		select {
		case <-ctx.Done():
			return
		case addr = <-a.syncSoon:
			soon = true
			if !sleep(ctx, jitter(syncPause)) {
				return
			}
		case <-time.After(jitter(a.cfg.syncEvery(a.Size()))):
		}
		if addr == "" {
			peer := a.recent()
			if peer == nil {
				continue
			}
			addr = peer.PeerAddress
		}
		a.learned.Store(0)
		a.mu.Lock()
		digests := a.digests(buckets(a.Size()))
		a.mu.Unlock()
		next, err := a.syncPage(ctx, addr, "", digests)
		if err != nil {
			if soon {
				again = max(again, 1)
			}
			continue
		}
		a.syncRest(ctx, next, digests)
		again = max(0, again-1)
		if a.learned.Load() > 0 {
			again = cleanSyncs
		}
	}
}

// buckets returns the number of digests for n members. With four members to a
// bucket, nodes that join at the same time transferred most of their lists again
// in each comparison.
func buckets(n int) int { return min(maxBuckets, 2*n+1) }

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

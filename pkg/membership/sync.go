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
	// maxPageEntries is the largest page of a list comparison, about 4.5 KB.
	maxPageEntries = 30
	// minPageEntries is the smallest page that a node requests. If it always requested
	// the largest, it would wait until most of its burst is available.
	minPageEntries = 8
	// maxBuckets limits the digests in one request to 1 KB.
	maxBuckets = 256
	// maxSyncFailures is the number of failed pages that ends a list comparison.
	maxSyncFailures = 10
	// typicalMemberBytes is the size of a typical entry.
	typicalMemberBytes = maxUpdateBytes / maxUpdates
	// joinResponseEntries is the number of entries in the response to a first contact.
	// The new node then requests the list from these members.
	joinResponseEntries = 2
	// joinDebtSeconds times the byte rate is the overdraft for responses to first
	// contacts. A rejection costs nearly as many bytes as a response, and each retry
	// costs the same again: with rejections, 100 nodes that joined through one took
	// 86 s.
	joinDebtSeconds = 8
	// syncAfterNewMembers is the number of new members after which a node compares its
	// list again soon. A single new member spreads by gossip.
	syncAfterNewMembers = 2
	// cleanSyncs is the number of consecutive list comparisons without new members
	// before a node returns to the regular interval. With one, when 100 nodes joined at
	// the same time, a node sometimes lacked a member for 30 s.
	cleanSyncs = 3
	// syncRetryPause is the mean pause before a requested list comparison and after a
	// failed page.
	syncRetryPause = 500 * time.Millisecond
	// urgentFanout is the number of members that an urgent update is pushed to.
	urgentFanout = 3
	// urgentInterval is the minimum time between two urgent pushes of one node.
	urgentInterval = 200 * time.Millisecond
	// leaveFanout is the number of members that a leaving node notifies.
	leaveFanout = 5
)

// Join contacts the addresses in turn until one responds with a few members. Run then
// fetches the list from random members, which spreads the cost. Join returns
// ErrNoPeer if no address responds, and ErrOverBudget if a node rejected the contact
// because of its budget. That node has stored this node's entry and will probe it, so
// the caller should wait for rejectionBackoff before it retries.
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
		a.requestSync("")
		return nil
	}
	return result
}

// syncPage fetches one page. It returns the node id after which the next page starts,
// or an empty string after the last page.
func (a *Agent) syncPage(ctx context.Context, addr, after string, digests []uint32) (string, error) {
	req := &pb.SyncRequest{Sender: a.Self(), AfterNodeId: after, Digests: digests}
	limit := a.pageLimit(req)
	req.Limit = uint32(limit)
	reserved := limit*typicalMemberBytes + ResponseOverhead
	if !a.reserve(syncClass(req), proto.Size(req)+RequestOverhead, reserved) {
		return "", ErrOverBudget
	}
	defer a.release(reserved)
	ctx, cancel := context.WithTimeout(ctx, 2*a.cfg.Period)
	defer cancel()
	resp, err := a.transport.Sync(ctx, addr, req)
	if err != nil {
		return "", err
	}
	a.recordReceived(proto.Size(resp) + ResponseOverhead)
	a.Merge(resp.GetMembers()[:min(len(resp.GetMembers()), maxPageEntries)]...)
	if resp.GetNextAfterNodeId() <= after {
		return "", nil
	}
	return resp.GetNextAfterNodeId(), nil
}

// pageLimit returns the number of entries to request, which depends on this node's
// available budget.
func (a *Agent) pageLimit(req *pb.SyncRequest) int {
	if len(req.GetDigests()) == 0 {
		return joinResponseEntries
	}
	available := a.budget.available(syncClass(req)) - proto.Size(req) - RequestOverhead - ResponseOverhead
	return min(max(available/typicalMemberBytes, minPageEntries), maxPageEntries)
}

// syncClass returns the class of a sync request. First contacts, which carry no
// digests, have priority over list comparisons.
func syncClass(req *pb.SyncRequest) class {
	if len(req.GetDigests()) == 0 {
		return classUrgent
	}
	return classSync
}

// syncRemaining fetches the pages after the first, each from a random member.
func (a *Agent) syncRemaining(ctx context.Context, after string, digests []uint32) {
	for failures := 0; after != "" && failures < maxSyncFailures; {
		peer := a.recentMember()
		if peer == nil {
			return
		}
		next, err := a.syncPage(ctx, peer.PeerAddress, after, digests)
		if err == nil {
			after = next
			continue
		}
		failures++
		if !sleep(ctx, jitter(syncRetryPause)) {
			return
		}
	}
}

// requestSync requests a list comparison soon, with the member at addr or, if addr
// is empty, with a random one. It has no effect if a request is pending.
func (a *Agent) requestSync(addr string) {
	select {
	case a.syncRequests <- addr:
	default:
	}
}

// runSync compares the list with another member at a regular interval and on request.
// Only entries in buckets whose digests differ are transferred. While repeats is
// positive, the next comparison follows soon.
func (a *Agent) runSync(ctx context.Context) {
	for repeats := 0; ; {
		if repeats > 0 {
			a.requestSync("")
		}
		addr, requested := "", false
		select {
		case <-ctx.Done():
			return
		case addr = <-a.syncRequests:
			requested = true
			if !sleep(ctx, jitter(syncRetryPause)) {
				return
			}
		case <-time.After(jitter(a.cfg.syncInterval(a.Size()))):
		}
		if addr == "" {
			peer := a.recentMember()
			if peer == nil {
				continue
			}
			addr = peer.PeerAddress
		}
		a.newMembers.Store(0)
		a.mu.Lock()
		digests := a.digests(bucketCount(a.Size()))
		a.mu.Unlock()
		next, err := a.syncPage(ctx, addr, "", digests)
		if err != nil {
			if requested {
				repeats = max(repeats, 1)
			}
			continue
		}
		a.syncRemaining(ctx, next, digests)
		repeats = max(0, repeats-1)
		if a.newMembers.Load() > 0 {
			repeats = cleanSyncs
		}
	}
}

// bucketCount returns the number of digests for n members. With four members per
// bucket, nodes that joined at the same time transferred most of their lists again
// in each comparison.
func bucketCount(n int) int { return min(maxBuckets, 2*n+1) }

// runUrgent pushes urgent updates to a few random members, at a bounded rate.
func (a *Agent) runUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgentSignal:
		}
		a.push(ctx, urgentFanout)
		if !sleep(ctx, urgentInterval) {
			return
		}
	}
}

// push sends the newest updates to n random members. It prefers members that have an
// older configuration version than this node.
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

// Leave notifies several members that this node is stopping. Call it after the node
// has stopped accepting requests.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	next := proto.Clone(a.self).(*pb.Member)
	next.Status = pb.MemberStatus_MEMBER_STATUS_LEFT
	next.Sequence++
	a.setSelf(next)
	a.mu.Unlock()
	a.push(ctx, leaveFanout)
}

// AllowFetch reports whether the budget allows a request for a configuration, and
// charges the request. ChargeFetch charges the response, which delays later messages.
func (a *Agent) AllowFetch() bool { return a.reserve(classFetch, RequestOverhead, 0) }

// ChargeFetch charges a snapshot of n bytes received from a peer.
func (a *Agent) ChargeFetch(n int) { a.recordReceived(n + ResponseOverhead) }

// AllowServe charges a request for a snapshot of n bytes. It reports whether this node
// may send the snapshot, and charges that too. A snapshot may be larger than the
// available budget, which only has to be positive.
func (a *Agent) AllowServe(n int) bool {
	a.recordReceived(RequestOverhead)
	if a.budget.available(classFetch) <= 0 {
		a.metrics.skipped.Inc(1)
		return false
	}
	a.recordResponse(n + ResponseOverhead)
	return true
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// sleep waits for d and returns true, or returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

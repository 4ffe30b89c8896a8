package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// joinSpread is the longest random delay before the first contact of a node that
	// has a single address from the settings and none from the log. It spreads the
	// contacts of nodes that start together: each first contact uses about 730 bytes
	// of the control budget of the node at that address.
	joinSpread = 40 * time.Second
	// contactBatch is the number of addresses passed to one Join call.
	contactBatch = 3
	// contactRetryInterval is the mean time between two attempts of a node without
	// peers.
	contactRetryInterval = time.Second
	// startupPhase is how long a node looks up unknown nodes at short intervals.
	// Nodes that start together first form small groups. Groups without a common
	// member would otherwise stay separate.
	startupPhase          = 30 * time.Second
	startupLookupInterval = 3 * time.Second
	// steadyLookupInterval is the minimum interval between lookups after startupPhase.
	steadyLookupInterval = time.Minute
	// startupLookupsPerSecond limits the lookups of the whole fleet during
	// startupPhase. Later, the fleet makes one lookup per steadyLookupSpacing.
	startupLookupsPerSecond = 20
	steadyLookupSpacing     = 2 * time.Second
	// initialRejectionBackoff doubles with each rejection, up to 80 s.
	initialRejectionBackoff = 20 * time.Second
	maxBackoffDoublings     = 2
)

// RunDiscovery joins the fleet and then periodically contacts nodes that are not in
// the list, until the context ends. findNewest returns the addresses of the newest
// nodes, or none if they are unavailable. peers are addresses from the settings.
func (a *Agent) RunDiscovery(ctx context.Context, peers []string, findNewest func(context.Context) []string) {
	start := time.Now()
	for attempt, rejections := 0, 0; ctx.Err() == nil; attempt++ {
		found := findNewest(ctx)
		unknown := a.unknown(found)
		if a.Size() > 1 {
			// Include the peers from the settings: while the log is down, a node that
			// joined through one of them may be in a group that lacks the others.
			a.joinRandom(ctx, a.unknown(append(found, peers...)))
			sleep(ctx, jitter(a.lookupInterval(time.Since(start))))
			continue
		}
		addresses := a.unknown(append(unknown, peers...))
		if len(unknown) == 0 && len(addresses) == 1 && attempt == 0 {
			sleep(ctx, rand.N(joinSpread))
		}
		if a.Size() == 1 && errors.Is(a.joinAny(ctx, addresses), ErrOverBudget) {
			sleep(ctx, rejectionBackoff(rejections))
			rejections++
			continue
		}
		sleep(ctx, jitter(contactRetryInterval))
	}
}

// lookupInterval returns the mean time between two lookups of unknown nodes, for a
// node that started the given time ago.
func (a *Agent) lookupInterval(age time.Duration) time.Duration {
	n := time.Duration(a.Size())
	if age < startupPhase {
		return max(startupLookupInterval, n*time.Second/startupLookupsPerSecond)
	}
	return max(steadyLookupInterval, n*steadyLookupSpacing)
}

// joinRandom contacts one of the addresses, chosen at random.
func (a *Agent) joinRandom(ctx context.Context, addresses []string) {
	if len(addresses) > 0 {
		_ = a.Join(ctx, []string{addresses[rand.IntN(len(addresses))]})
	}
}

// joinAny contacts the addresses in random order, contactBatch at a time, until a
// node responds or rejects the contact with ErrOverBudget.
func (a *Agent) joinAny(ctx context.Context, addresses []string) error {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	result := ErrNoPeer
	for len(addresses) > 0 && ctx.Err() == nil {
		group := addresses[:min(contactBatch, len(addresses))]
		addresses = addresses[len(group):]
		result = a.Join(ctx, group)
		if result == nil || errors.Is(result, ErrOverBudget) {
			break
		}
	}
	return result
}

// unknown returns the valid addresses that belong to no member in the list, without
// duplicates. Addresses of dead members count as unknown.
func (a *Agent) unknown(addresses []string) []string {
	skip := map[string]bool{}
	a.mu.Lock()
	skip[a.self.PeerAddress] = true
	for _, e := range a.table.entries {
		if e.member.Status != pb.MemberStatus_MEMBER_STATUS_DEAD {
			skip[e.member.PeerAddress] = true
		}
	}
	a.mu.Unlock()
	var out []string
	for _, addr := range addresses {
		if !skip[addr] && ValidAddress(addr) {
			skip[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// rejectionBackoff returns a random time to wait after a rejection; rejections is the
// number of earlier ones, from 0. Faster retries of many joining nodes through one node
// would keep that node over budget, because each rejected request is charged to it.
func rejectionBackoff(rejections int) time.Duration {
	return jitter(initialRejectionBackoff << min(rejections, maxBackoffDoublings))
}

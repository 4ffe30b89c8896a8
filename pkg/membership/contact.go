package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// joinSpread is the time over which nodes that start together spread their
	// first contacts if they know one address from the settings and none from the log. Each contact takes about 730
	// bytes of its control bytes.
	joinSpread = 40 * time.Second
	// contactAtOnce is the number of addresses tried in turn.
	contactAtOnce = 3
	// contactRetry is the time between two attempts of a node without peers.
	contactRetry = time.Second
	// youngTime is how long a node looks often for nodes that it does not know.
	// Nodes that start together find each other in small groups, which would stay
	// apart: they have no member in common.
	youngTime     = 30 * time.Second
	youngInterval = 3 * time.Second
	// oldInterval is the time between two looks after that.
	oldInterval = time.Minute
	// looksPerSecond bounds the looks of the whole fleet while it is young, and
	// oldSpacing after that.
	looksPerSecond = 20
	oldSpacing     = 2 * time.Second
	// firstRefusedWait doubles with each refusal, up to 80 s.
	firstRefusedWait    = 20 * time.Second
	maxRefusedDoublings = 2
)

// RunContacts makes the first contact and later contacts with nodes that this
// one does not know, until the context ends. The function find returns addresses
// of the newest nodes, or none if they cannot be had; peers are addresses from
// the settings.
func (a *Agent) RunContacts(ctx context.Context, peers []string, find func(context.Context) []string) {
	start := time.Now()
	for attempt, refusals := 0, 0; ctx.Err() == nil; attempt++ {
		found := find(ctx)
		unknown := a.unknown(found)
		if a.Size() > 1 {
			// The peers of the settings too: while the log is down, a node that joined
			// through one of them may be in a group that does not know the others.
			a.contactOne(ctx, a.unknown(append(found, peers...)))
			sleep(ctx, jitter(a.lookEvery(time.Since(start))))
			continue
		}
		addresses := a.unknown(append(unknown, peers...))
		if len(unknown) == 0 && len(addresses) == 1 && attempt == 0 {
			sleep(ctx, rand.N(joinSpread))
		}
		if a.Size() == 1 && errors.Is(a.contactSome(ctx, addresses), ErrOverBudget) {
			sleep(ctx, refusedWait(refusals))
			refusals++
			continue
		}
		sleep(ctx, jitter(contactRetry))
	}
}

// lookEvery returns the time between two looks for unknown nodes at an age.
func (a *Agent) lookEvery(age time.Duration) time.Duration {
	n := time.Duration(a.Size())
	if age < youngTime {
		return max(youngInterval, n*time.Second/looksPerSecond)
	}
	return max(oldInterval, n*oldSpacing)
}

// contactOne contacts one of the addresses.
func (a *Agent) contactOne(ctx context.Context, addresses []string) {
	if len(addresses) > 0 {
		_ = a.Join(ctx, []string{addresses[rand.IntN(len(addresses))]})
	}
}

// contactSome tries the addresses in random order, a few at a time, until one
// answers or refuses.
func (a *Agent) contactSome(ctx context.Context, addresses []string) error {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	result := ErrNoPeer
	for len(addresses) > 0 && ctx.Err() == nil {
		group := addresses[:min(contactAtOnce, len(addresses))]
		addresses = addresses[len(group):]
		result = a.Join(ctx, group)
		if result == nil || errors.Is(result, ErrOverBudget) {
			break
		}
	}
	return result
}

// unknown returns the addresses at which no member is known, each once.
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

// refusedWait returns a random time to wait after the given number of refusals,
// from 0. Faster retries of many joining nodes would keep the only node that they
// know in debt, since it pays for each request that it refuses.
func refusedWait(refusals int) time.Duration {
	return jitter(firstRefusedWait << min(refusals, maxRefusedDoublings))
}

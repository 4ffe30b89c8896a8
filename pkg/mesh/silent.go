package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

const (
	// missingPeriod is how often silent members are still told our status, so that a
	// node that restarts without the store finds the others.
	missingPeriod = time.Second
	// missingAfter is the least silence after which a member counts as silent.
	missingAfter = 2 * time.Second
	// goneAfter is the silence after which a member is taken as gone: it gets no
	// requests any more, and is told our status rarely.
	goneAfter = 2 * time.Minute
	// goneRounds is the mean number of missingPeriods between two statuses to a member
	// that is gone. Regions that were apart meet again within about a minute.
	goneRounds = 60
	// silentPerRound bounds the silent members that are told at a time: as many as the
	// statuses that a node sends per second without news.
	silentPerRound = 32
	// forgetAfter is the silence after which an address is dropped. Regions part for an
	// hour now and then, and some hundred nodes are replaced in a day.
	forgetAfter = 24 * time.Hour
	// unregisterQueue holds addresses that are to be removed from the registry.
	unregisterQueue = 64
)

// silentMember is a member that has not been heard for a while.
type silentMember struct {
	target
	silence time.Duration
}

// chooseSilent returns the silent members that are told in this round.
//
// Load pattern: a failure domain or a region falls silent and comes back, after
// seconds or after an hour, and nodes are replaced for good every day.
func chooseSilent(members []silentMember) []target {
	var list []target
	for _, m := range members {
		if m.silence <= goneAfter || rand.IntN(goneRounds) == 0 {
			list = append(list, m.target)
		}
	}
	if len(list) > silentPerRound {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:silentPerRound]
	}
	return list
}

// silentAfter returns the silence after which a member counts as silent.
func silentAfter(members int) time.Duration {
	return max(missingAfter, silentPeriods*statusPeriod(members))
}

// unregister removes the addresses of forgotten members from the registry. Only the
// readers of the store do.
func (n *Node) unregister(ctx context.Context) {
	for {
		var address string
		select {
		case <-ctx.Done():
			return
		case address = <-n.gossip.forgotten:
		}
		if _, reader := n.dir.reader(); !reader {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.ports.Registry.Unregister(call, address)
		cancel()
		if err != nil {
			// The next node that starts learns the address, and forgets it again.
			n.ports.Events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "unregister", "member": address})
		}
	}
}

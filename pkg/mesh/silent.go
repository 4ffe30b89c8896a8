package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

const (
	// silentSendPeriod is how often statuses are still sent to silent members. A node that
	// restarts without the store finds the other nodes this way.
	silentSendPeriod = time.Second
	// minSilence is the lower bound of silenceThreshold.
	minSilence = 2 * time.Second
	// downAfter is the silence after which a member is considered down. It gets no more
	// requests and rarely receives statuses.
	downAfter = 2 * time.Minute
	// downSendRounds is the mean number of silentSendPeriods between two statuses to a
	// member that is down. Regions find each other again within about a minute after a
	// network partition.
	downSendRounds = 60
	// maxSilentPerRound is the maximum number of silent members that receive a status in
	// one round. It is about the number of periodic statuses that a node sends per second.
	maxSilentPerRound = 32
	// memberExpiry is the silence after which a member is removed. Network partitions
	// between regions can last an hour, and some hundred nodes are replaced per day.
	memberExpiry = 24 * time.Hour
	// unregisterQueueSize is the maximum number of addresses that wait for their removal
	// from the registry.
	unregisterQueueSize = 64
)

// silentMember is a member that has sent no status for a while.
type silentMember struct {
	target
	silence time.Duration
}

// chooseSilent returns the silent members that receive a status in this round.
//
// Load pattern: a failure domain or a region becomes unreachable and returns after seconds
// or after an hour, and nodes are permanently replaced every day.
//
// intN returns a random number below its argument.
func chooseSilent(members []silentMember, intN func(int) int) []target {
	var list []target
	for _, m := range members {
		if m.silence <= downAfter || intN(downSendRounds) == 0 {
			list = append(list, m.target)
		}
	}
	if len(list) > maxSilentPerRound {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxSilentPerRound]
	}
	return list
}

// silenceThreshold returns the time without a status after which a member counts as
// silent.
func silenceThreshold(members int) time.Duration {
	return max(minSilence, silentPeriods*statusPeriod(members))
}

// unregister removes the addresses of removed members from the registry. Only store readers
// do this.
func (n *Node) unregister(ctx context.Context) {
	for {
		var address string
		select {
		case <-ctx.Done():
			return
		case address = <-n.gossip.removed:
		}
		if _, isReader := n.dir.storeReader(); !isReader {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.deps.Registry.Unregister(callCtx, address)
		cancel()
		if err != nil {
			// The address stays registered: the next node that starts reads it from the
			// registry and removes it after the expiry.
			n.deps.Events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "unregister", "member": address})
		}
	}
}

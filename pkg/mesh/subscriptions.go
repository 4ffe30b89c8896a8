package mesh

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/subscription"
)

const (
	// minSubscriptionInterval is the minimum time between two updates of the subscriptions.
	minSubscriptionInterval = 250 * time.Millisecond
	// maxSubscriptionAge is the time after which the subscriptions are updated even if the
	// set of members is unchanged, to leave out nodes that have become silent.
	maxSubscriptionAge = 3 * time.Second
)

// subscriberSet holds the addresses of the node's subscribers, with the time and the
// generation of the roster from which they were computed.
type subscriberSet struct {
	computedAt time.Duration
	generation uint64
	addresses  map[string]bool
}

// upToDate reports whether the set needs no update yet.
func (s *subscriberSet) upToDate(now time.Duration, generation uint64) bool {
	age := now - s.computedAt
	return s.addresses != nil && (age < minSubscriptionInterval || (generation == s.generation && age < maxSubscriptionAge))
}

// updateSubscriptions updates the node's subscribers and the Subscribed flag of all members,
// unless they are up to date. Silent members count as subscribed. The caller holds the lock.
func (d *directory) updateSubscriptions(now time.Duration) {
	if d.subscribers.upToDate(now, d.roster.Generation()) {
		return
	}
	var nodes []subscription.Node
	self := subscription.Node{Address: d.self, Domain: d.domain, Unused: d.evacuated[d.domain]}
	maxStatusAge := silenceThreshold(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		n := subscription.Node{Address: m.Status.Address, Domain: m.Status.Domain, Service: m.Status.Service, Unused: d.evacuated[m.Status.Domain]}
		if n.Address == d.self {
			self = n
		}
		if m.Status.Incarnation != 0 && now-m.LastSeen <= maxStatusAge {
			nodes = append(nodes, n)
		}
	})
	d.subscribers = subscriberSet{computedAt: now, generation: d.roster.Generation(), addresses: subscription.Subscribers(self, nodes)}
	subscribed := subscription.Subscriptions(self, nodes)
	recentlySeen := map[string]bool{}
	for _, n := range nodes {
		recentlySeen[n.Address] = true
	}
	d.roster.Each(func(m *roster.Member) {
		m.Subscribed = subscribed[m.Status.Address] || !recentlySeen[m.Status.Address]
	})
}

// inScope reports whether a status of the scope is sent to the member. The caller holds
// the lock.
func (d *directory) inScope(to scope, m *roster.Member) bool {
	if to == toAll {
		return true
	}
	return d.subscribers.addresses[m.Status.Address] && (to == toSubscribers || m.Status.Domain == d.domain)
}

// expectedPeriod returns the longest expected time between two statuses of the member. The
// caller holds the lock.
func (d *directory) expectedPeriod(m *roster.Member) time.Duration {
	if m.Subscribed {
		return subscriberPeriod(len(d.subscribers.addresses))
	}
	return statusPeriod(d.roster.Len())
}

// updateRecipients updates the subscriptions and counts the recipients of the node's statuses.
func (d *directory) updateRecipients() recipientCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateSubscriptions(d.now())
	r := recipientCounts{members: d.roster.Len()}
	d.roster.Each(func(m *roster.Member) {
		switch {
		case !d.subscribers.addresses[m.Status.Address]:
		case m.Status.Domain == d.domain:
			r.localSubscribers++
		default:
			r.remoteSubscribers++
		}
	})
	return r
}

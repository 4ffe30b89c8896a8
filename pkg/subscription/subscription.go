// Package subscription decides which upstreams a node subscribes to: it sends requests
// to these upstreams and receives every update of their status.
//
// Load pattern: a fleet of hundreds of nodes whose load shifts in milliseconds. If
// every node sent its status to every other node, the traffic of each node would grow
// with the fleet, and either the traffic or the age of the statuses would become too
// high. A node therefore subscribes to a bounded number of upstreams of each service:
// mainly upstreams of its own failure domain and a few of other domains. The choice
// depends on a hash of both addresses, so that the node of an upstream computes its
// subscribers without exchanging messages, and each upstream has about the same number
// of subscribers.
//
// The package has no clock, socket or log.
package subscription

import "github.com/cespare/xxhash/v2"

const (
	// upstreamsPerService is the number of upstreams of one service that a node
	// subscribes to, if there are as many. Of eight, one nearly always has a free slot.
	upstreamsPerService = 8
	// minRemote is the least number of upstreams in other failure domains that a node
	// subscribes to, for when the local domain is full or down.
	minRemote = 3
)

// Node is a node with the service of its upstream.
type Node struct {
	Address, Domain, Service string
	// Unused is set if the upstream is not used, because its failure domain is evacuated. Nodes
	// don't subscribe to it, but it doesn't change the subscriptions of its node.
	Unused bool
}

// score ranks the upstreams for a subscriber; it prefers higher scores.
func score(subscriber, upstream string) uint64 {
	return xxhash.Sum64String(subscriber + " " + upstream)
}

// remoteLimit returns the number of upstreams in other failure domains to subscribe
// to, given the number of upstreams in the local domain.
func remoteLimit(local int) int { return max(minRemote, upstreamsPerService-local) }

// subscribes reports whether the subscriber subscribes to the upstream, given all
// upstreams of its service.
func subscribes(subscriber, upstream Node, service []Node) bool {
	isLocal := subscriber.Domain == upstream.Domain
	own := score(subscriber.Address, upstream.Address)
	local, preferred := 0, 0
	for _, u := range service {
		if u.Domain == subscriber.Domain {
			local++
		}
		if (u.Domain == subscriber.Domain) == isLocal && u.Address != upstream.Address && score(subscriber.Address, u.Address) > own {
			preferred++
		}
	}
	if isLocal {
		return preferred < upstreamsPerService
	}
	return preferred < remoteLimit(local)
}

// Subscribers returns the addresses of the nodes that subscribe to the upstream of self.
func Subscribers(self Node, nodes []Node) map[string]bool {
	var service []Node
	for _, n := range nodes {
		if n.Service == self.Service && !n.Unused {
			service = append(service, n)
		}
	}
	out := map[string]bool{}
	for _, n := range nodes {
		if n.Address != self.Address && !self.Unused && subscribes(n, self, service) {
			out[n.Address] = true
		}
	}
	return out
}

// Subscriptions returns the addresses of the nodes whose upstreams self subscribes to.
func Subscriptions(self Node, nodes []Node) map[string]bool {
	services := map[string][]Node{}
	for _, n := range nodes {
		if !n.Unused {
			services[n.Service] = append(services[n.Service], n)
		}
	}
	out := map[string]bool{}
	for _, service := range services {
		for _, n := range service {
			if n.Address != self.Address && subscribes(self, n, service) {
				out[n.Address] = true
			}
		}
	}
	return out
}

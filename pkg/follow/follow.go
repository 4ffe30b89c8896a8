// Package follow decides which upstreams a node sends its requests to, and so whose
// load it has to hear of at once.
//
// Load pattern: a fleet of hundreds of nodes whose load shifts in milliseconds. If
// every node tells every other one, the bytes for each node grow with the fleet, and
// either the bytes or the age of what is known get out of hand. A node therefore
// follows a bounded number of upstreams of each service: those of its own failure
// domain first, and a few of other domains. Which ones follows from hashes of both
// addresses, so that the upstream's node finds its followers without a word, and each
// upstream has about the same number of them.
//
// The package has no clock, socket or log.
package follow

import "github.com/cespare/xxhash/v2"

const (
	// perService is the number of upstreams of one service that a node follows, if
	// there are so many: with eight, one nearly always has a free slot.
	perService = 8
	// minFar of them are in other failure domains, for when the own one is full or gone.
	minFar = 3
)

// Node is a node with the service of its upstream.
type Node struct {
	Address, Domain, Service string
}

// score orders the upstreams by how much the follower prefers them.
func score(follower, upstream string) uint64 { return xxhash.Sum64String(follower + " " + upstream) }

// far returns how many upstreams of other failure domains are followed beside those
// of the own one.
func far(near int) int { return max(minFar, perService-near) }

// follows reports whether the follower follows the upstream, given all upstreams of
// its service.
func follows(follower, upstream Node, service []Node) bool {
	isNear := follower.Domain == upstream.Domain
	own := score(follower.Address, upstream.Address)
	near, before := 0, 0
	for _, u := range service {
		if u.Domain == follower.Domain {
			near++
		}
		if (u.Domain == follower.Domain) == isNear && u.Address != upstream.Address && score(follower.Address, u.Address) > own {
			before++
		}
	}
	if isNear {
		return before < perService
	}
	return before < far(near)
}

// Followers returns the addresses of the nodes that follow the upstream beside self.
func Followers(self Node, nodes []Node) map[string]bool {
	var service []Node
	for _, n := range nodes {
		if n.Service == self.Service {
			service = append(service, n)
		}
	}
	out := map[string]bool{}
	for _, n := range nodes {
		if n.Address != self.Address && follows(n, self, service) {
			out[n.Address] = true
		}
	}
	return out
}

// Followed returns the addresses of the nodes whose upstreams self follows.
func Followed(self Node, nodes []Node) map[string]bool {
	services := map[string][]Node{}
	for _, n := range nodes {
		services[n.Service] = append(services[n.Service], n)
	}
	out := map[string]bool{}
	for _, service := range services {
		for _, n := range service {
			if n.Address != self.Address && follows(self, n, service) {
				out[n.Address] = true
			}
		}
	}
	return out
}

// Package routing selects the upstream for each request, based on load reports that
// are always out of date.
package routing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream that may be selected.
type Candidate struct {
	NodeID        string
	Incarnation   uint64
	PeerAddress   string
	FailureDomain string
	Slots         int
	Warming       bool
}

// subsetSize is the maximum number of upstreams of one service that one ingress uses
// while they are available. It bounds the connections and the number of upstreams
// whose load an ingress has to track.
const subsetSize = 16

// Subset returns at most 16 of the candidates, spread evenly over failure domains.
// The result is deterministic for the same ingress, service and candidates. It uses
// rendezvous hashing, so a change of one candidate changes few members.
func Subset(ingress, service string, candidates []Candidate) []Candidate {
	if len(candidates) <= subsetSize {
		return candidates
	}
	domains := map[string][]Candidate{}
	for _, c := range candidates {
		domains[c.FailureDomain] = append(domains[c.FailureDomain], c)
	}
	names := make([]string, 0, len(domains))
	for name, members := range domains {
		names = append(names, name)
		slices.SortFunc(members, func(a, b Candidate) int { return compareByScore(ingress, service, a, b) })
	}
	slices.SortFunc(names, func(a, b string) int {
		return compareByScore(ingress, service, Candidate{NodeID: a}, Candidate{NodeID: b})
	})
	out := make([]Candidate, 0, subsetSize)
	for i := 0; len(out) < subsetSize; i++ {
		for _, name := range names {
			if i < len(domains[name]) && len(out) < subsetSize {
				out = append(out, domains[name][i])
			}
		}
	}
	return out
}

func compareByScore(ingress, service string, a, b Candidate) int {
	x, y := score(ingress, service, a.NodeID), score(ingress, service, b.NodeID)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return strings.Compare(a.NodeID, b.NodeID)
}

func score(parts ...string) uint64 {
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// subsetCache caches the subset of each service until its candidates change. It is
// not safe for concurrent use.
type subsetCache map[string]*subsetEntry

type subsetEntry struct {
	key     uint64
	members map[string]bool
}

// get returns the subset, in the order and with the current data of the candidates.
func (s subsetCache) get(ingress, service string, candidates []Candidate) []Candidate {
	if len(candidates) <= subsetSize {
		return candidates
	}
	key := uint64(len(candidates))
	for _, c := range candidates {
		// A sum does not depend on the order of the candidates.
		key += xxhash.Sum64String(c.NodeID) ^ xxhash.Sum64String(c.FailureDomain)
	}
	e := s[service]
	if e == nil || e.key != key {
		e = &subsetEntry{key: key, members: make(map[string]bool, subsetSize)}
		for _, c := range Subset(ingress, service, candidates) {
			e.members[c.NodeID] = true
		}
		s[service] = e
	}
	out := make([]Candidate, 0, subsetSize)
	for _, c := range candidates {
		if e.members[c.NodeID] {
			out = append(out, c)
		}
	}
	return out
}

// Package routing chooses the upstream for a request from knowledge that is
// always out of date.
package routing

import (
	"math/rand/v2"
	"sync"
)

// Candidate is an upstream that may be chosen.
type Candidate struct {
	NodeID        string
	Incarnation   uint64
	PeerAddress   string
	FailureDomain string
	Slots         int
	Warming       bool
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	mu       sync.Mutex
	inFlight map[string]int
}

// NewPicker returns a picker without knowledge.
func NewPicker() *Picker { return &Picker{inFlight: map[string]int{}} }

// Pick returns the candidate with the fewest requests in flight from this node,
// leaving out those that were tried, and counts the request in.
func (p *Picker) Pick(candidates []Candidate, tried map[string]bool) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := Candidate{}, false
	offset := 0
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for i := range candidates {
		c := candidates[(i+offset)%len(candidates)]
		if tried[c.NodeID] {
			continue
		}
		if !found || p.inFlight[c.NodeID] < p.inFlight[best.NodeID] {
			best, found = c, true
		}
	}
	if found {
		p.inFlight[best.NodeID]++
	}
	return best, found
}

// Done counts a request out.
func (p *Picker) Done(nodeID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[nodeID]--
}

package probing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// targetSelector selects the target of the next probe. It is safe for concurrent use.
type targetSelector struct {
	mu          sync.Mutex
	outstanding map[string]bool
	// lastProbe holds the time of the last probe by node ID, for present targets only.
	lastProbe map[string]time.Time
}

func newTargetSelector() *targetSelector {
	return &targetSelector{outstanding: map[string]bool{}, lastProbe: map[string]time.Time{}}
}

// next returns the target whose last update or probe is the oldest, and records a
// probe of it. If only updates counted, an upstream that never responds would prevent
// the probes of others. Ties are resolved at random; otherwise all nodes would probe
// the same upstream first.
func (s *targetSelector) next(targets []Target) (Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(targets)
	if len(s.outstanding) >= maxOutstanding {
		return Target{}, false
	}
	var best Target
	var oldest time.Time
	ties := 0
	for _, t := range targets {
		if s.outstanding[t.NodeID] {
			continue
		}
		at := s.lastUpdateOrProbe(t)
		if ties == 0 || at.Before(oldest) {
			best, oldest, ties = t, at, 1
			continue
		}
		if !at.Equal(oldest) {
			continue
		}
		ties++
		if rand.IntN(ties) == 0 {
			best = t
		}
	}
	if ties == 0 {
		return Target{}, false
	}
	s.outstanding[best.NodeID] = true
	s.lastProbe[best.NodeID] = time.Now()
	return best, true
}

// lastUpdateOrProbe returns the time of the last update or probe, whichever is later.
func (s *targetSelector) lastUpdateOrProbe(t Target) time.Time {
	if probed := s.lastProbe[t.NodeID]; probed.After(t.LastUpdate) {
		return probed
	}
	return t.LastUpdate
}

// prune removes the probe times of upstreams that are no longer targets.
func (s *targetSelector) prune(targets []Target) {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.NodeID] = true
	}
	for id := range s.lastProbe {
		if !present[id] {
			delete(s.lastProbe, id)
		}
	}
}

// release records the end of a probe.
func (s *targetSelector) release(t Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.outstanding, t.NodeID)
}

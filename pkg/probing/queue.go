package probing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// queue chooses the target of the next probe. It is safe for concurrent use.
type queue struct {
	mu          sync.Mutex
	outstanding map[string]bool
	// tried is the time of the last probe of each present target.
	tried map[string]time.Time
}

func newQueue() *queue {
	return &queue{outstanding: map[string]bool{}, tried: map[string]time.Time{}}
}

// next returns the target of which nothing has been known or asked for the longest
// time, and notes a probe of it. The time of the last probe counts so that an
// upstream that never answers does not keep others from being probed. Among equal
// ones it chooses at random, or else all nodes would probe the same upstream first.
func (q *queue) next(targets []Target) (Target, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(targets)
	if len(q.outstanding) >= maxOutstanding {
		return Target{}, false
	}
	var best Target
	var oldest time.Time
	equal := 0
	for _, t := range targets {
		if q.outstanding[t.NodeID] {
			continue
		}
		at := q.last(t)
		if equal == 0 || at.Before(oldest) {
			best, oldest, equal = t, at, 1
			continue
		}
		if !at.Equal(oldest) {
			continue
		}
		equal++
		if rand.IntN(equal) == 0 {
			best = t
		}
	}
	if equal == 0 {
		return Target{}, false
	}
	q.outstanding[best.NodeID] = true
	q.tried[best.NodeID] = time.Now()
	return best, true
}

// last returns the time of the newest information or probe.
func (q *queue) last(t Target) time.Time {
	if tried := q.tried[t.NodeID]; tried.After(t.Known) {
		return tried
	}
	return t.Known
}

// forget drops the times of upstreams that are no longer targets.
func (q *queue) forget(targets []Target) {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.NodeID] = true
	}
	for id := range q.tried {
		if !present[id] {
			delete(q.tried, id)
		}
	}
}

// release notes the end of a probe.
func (q *queue) release(t Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.outstanding, t.NodeID)
}

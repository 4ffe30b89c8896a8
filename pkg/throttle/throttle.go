// Package throttle rejects requests at the ingress while the upstreams reject most of
// them, so that a flood does not spend the fleet's processor time on rejections. It
// implements the client-side adaptive throttling of Google's SRE book (chapter 21),
// separately for each service, rank and caller.
package throttle

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of the counts.
	decayTime = time.Second
	// acceptFactor is the ratio of admitted to accepted requests while a stream is
	// throttled. It exceeds 1 so that a rank whose share of the capacity grows can use it.
	acceptFactor = 1.5
	// minRequests is the decayed request count below which nothing is rejected.
	minRequests = 20
	// maxKeys bounds the memory: once that many streams exist, new keys share one stream
	// per service and rank.
	maxKeys = 4096
	// staleAfter is the time after which the counts of an unused stream are close to zero.
	staleAfter = 10 * decayTime
)

// Key identifies a stream of requests.
type Key struct {
	Service, Rank, Caller string
}

// Throttle admits or rejects the requests of each stream. It is safe for concurrent use.
type Throttle struct {
	now  func() time.Time
	rand func() float64

	mu        sync.Mutex
	streams   map[Key]*stream
	lastSweep time.Time
}

// stream counts recent requests and those that the upstreams accepted.
type stream struct {
	requests, accepts float64
	updatedAt         time.Time
}

func New() *Throttle {
	return &Throttle{now: time.Now, rand: rand.Float64, streams: map[Key]*stream{}}
}

// Allow counts a request and reports whether it may be sent.
func (t *Throttle) Allow(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(k)
	s.requests++
	if s.requests < minRequests {
		return true
	}
	rejectProbability := (s.requests - acceptFactor*s.accepts) / (s.requests + 1)
	return t.rand() >= rejectProbability
}

// RecordAccepted counts a request that the upstreams did not reject for lack of capacity.
func (t *Throttle) RecordAccepted(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stream(k).accepts++
}

// stream returns the counts of the key, decayed to the current time. New keys beyond
// maxKeys share one stream per service and rank. The lock must be held.
func (t *Throttle) stream(k Key) *stream {
	now := t.now()
	s := t.streams[k]
	if s == nil && len(t.streams) >= maxKeys {
		t.deleteStale(now)
	}
	if s == nil && len(t.streams) >= maxKeys {
		k.Caller = ""
		s = t.streams[k]
	}
	if s == nil {
		s = &stream{updatedAt: now}
		t.streams[k] = s
	}
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		s.requests *= decay
		s.accepts *= decay
		s.updatedAt = now
	}
	return s
}

// deleteStale deletes streams unused for staleAfter. It does so at most once per
// staleAfter, since it visits all streams.
func (t *Throttle) deleteStale(now time.Time) {
	if now.Sub(t.lastSweep) < staleAfter {
		return
	}
	t.lastSweep = now
	for k, s := range t.streams {
		if now.Sub(s.updatedAt) > staleAfter {
			delete(t.streams, k)
		}
	}
}

// Package throttle refuses requests at their entry while the upstreams refuse
// most of them, so that a flood does not spend the fleet's processor time on
// refusals. It is the client-side adaptive throttling of Google's SRE book
// (chapter 21), kept per service, rank and caller.
package throttle

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// decayTime is the time constant with which counts fade.
	decayTime = time.Second
	// acceptFactor times the accepted requests are let through, so that a rank
	// whose share grows is noticed.
	acceptFactor = 1.5
	// minRequests in the window before anything is refused.
	minRequests = 20
	// maxKeys bounds the memory.
	maxKeys = 4096
	// staleAfter is when the counts of a key have faded to nothing.
	staleAfter = 10 * decayTime
)

// Key identifies a stream of requests.
type Key struct {
	Service, Rank, Caller string
}

// Throttle is safe for concurrent use.
type Throttle struct {
	now  func() time.Time
	rand func() float64

	mu      sync.Mutex
	streams map[Key]*stream
	swept   time.Time
}

// stream counts recent requests and those that the upstreams accepted.
type stream struct {
	requests, accepts float64
	last              time.Time
}

// New returns a throttle that lets everything through.
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
	refuse := (s.requests - acceptFactor*s.accepts) / (s.requests + 1)
	return t.rand() >= refuse
}

// Accepted counts a request that the upstreams did not refuse for lack of capacity.
func (t *Throttle) Accepted(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stream(k).accepts++
}

// stream returns the counts of the key, faded to now. Keys beyond the limit
// share one stream for each service and rank. The caller holds the lock.
func (t *Throttle) stream(k Key) *stream {
	now := t.now()
	s := t.streams[k]
	if s == nil && len(t.streams) >= maxKeys {
		t.dropStale(now)
	}
	if s == nil && len(t.streams) >= maxKeys {
		k.Caller = ""
		s = t.streams[k]
	}
	if s == nil {
		s = &stream{last: now}
		t.streams[k] = s
	}
	if elapsed := now.Sub(s.last); elapsed > 0 {
		fade := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		s.requests *= fade
		s.accepts *= fade
		s.last = now
	}
	return s
}

// dropStale runs at most once in staleAfter, since it visits all streams.
func (t *Throttle) dropStale(now time.Time) {
	if now.Sub(t.swept) < staleAfter {
		return
	}
	t.swept = now
	for k, s := range t.streams {
		if now.Sub(s.last) > staleAfter {
			delete(t.streams, k)
		}
	}
}

package relay

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

const (
	// requestMemoryBytes is the memory that a request in progress may take besides the bodies
	// that count towards their budget: the head of its response, what HTTP/2 receives ahead
	// of a slow reader (peerWindowBytes), blocks in transfer, goroutines and buffers of its
	// connections.
	requestMemoryBytes = 160 << 10
	// longRequestDivisor is the part of all requests that may have long bodies, so that others
	// are served beside them.
	longRequestDivisor = 2
	// memoryRetry is the Retry-After of a node that has too many requests for its memory. Most
	// requests end within a second.
	memoryRetry = time.Second
	// evictChecks, evictPause apart, is how often the place of a request that gives way is awaited.
	evictChecks = 10
	evictPause  = time.Millisecond
	// reasonMemory is for requests that a node rejects because of its memory.
	reasonMemory = "memory"
)

// RequestLimit limits the requests in progress at a node, those of its callers and those of other
// nodes, by its memory. Requests whose bodies have stalled give way to others. A nil RequestLimit sets no
// limit. It is safe for concurrent use.
//
// Load pattern: hundreds of slow or long transfers at once. Each takes memory that no body
// budget can bound, since a response has to be delivered once the upstream has run the request.
type RequestLimit struct {
	limit    int64
	requests atomic.Int64
	long     atomic.Int64
	bodies   *intake.Table
	start    time.Time
}

// NewRequestLimit returns a limit for the given memory, with the default limits of bodies.
func NewRequestLimit(memoryBytes int64) *RequestLimit {
	return NewRequestLimitWith(memoryBytes, intake.DefaultLimits)
}

// NewRequestLimitWith returns a limit for the given memory, with the limits of bodies, which must be valid.
func NewRequestLimitWith(memoryBytes int64, bodies intake.Limits) *RequestLimit {
	return &RequestLimit{limit: max(longRequestDivisor, memoryBytes/requestMemoryBytes), bodies: intake.NewTable(bodies), start: time.Now()}
}

// Active returns the number of requests in progress.
func (l *RequestLimit) Active() int64 { return l.requests.Load() }

// Receiving returns the number of requests whose bodies are being received.
func (l *RequestLimit) Receiving() int64 { return l.bodies.Len() }

// Evicted returns how many requests gave way because their bodies had stalled.
func (l *RequestLimit) Evicted() int64 { return l.bodies.Evicted() }

// Evict makes the request give way whose body has been stalled the longest among those that hold the
// resource, and reports whether there was one.
func (l *RequestLimit) Evict(r intake.Resource) bool {
	return l != nil && l.bodies.Evict(l.now(), r)
}

// EvictStalled makes the requests give way whose bodies have stalled.
func (l *RequestLimit) EvictStalled() { l.bodies.EvictAfter(l.now(), math.MaxInt64) }

// EvictBodies makes the requests give way whose bodies have stalled, and those that wait for a body and
// whose deadlines are after the end.
func (l *RequestLimit) EvictBodies(end time.Time) { l.bodies.EvictAfter(l.now(), end.Sub(l.start)) }

func (l *RequestLimit) now() time.Duration { return time.Since(l.start) }

// place is the place of a request among those in progress.
type place struct {
	limit *RequestLimit
	// body is the body that is being received, or nil.
	body           *receivedBody
	isHeld, isLong atomic.Bool
}

// begin returns a place for another request, or nil. It must be ended.
func (l *RequestLimit) begin() *place {
	p := l.tryBegin()
	if p == nil {
		l.evictFor(intake.Place, func() bool { p = l.tryBegin(); return p != nil })
	}
	return p
}

// evictFor makes requests give way until take reports success, and reports whether it did. What they hold is
// free when their handlers return.
func (l *RequestLimit) evictFor(r intake.Resource, take func() bool) bool {
	for l.Evict(r) {
		for range evictChecks {
			if take() {
				return true
			}
			time.Sleep(evictPause)
		}
	}
	return take()
}

// tryBegin is begin without requests that give way.
func (l *RequestLimit) tryBegin() *place {
	p := &place{limit: l}
	if l != nil {
		if !tryAdd(&l.requests, l.limit) {
			return nil
		}
		p.isHeld.Store(true)
	}
	return p
}

// beginLong reports whether the body of the request may be passed on while it is received. It may be called
// more than once.
func (p *place) beginLong() bool {
	l := p.limit
	if l == nil || p.isLong.Load() {
		return true
	}
	take := func() bool { return tryAdd(&l.long, l.limit/longRequestDivisor) }
	if !take() && !l.evictFor(intake.LongPlace, take) {
		return false
	}
	p.isLong.Store(true)
	if p.body != nil {
		p.body.tracked.Hold(intake.LongPlace)
	}
	return true
}

// end gives the place back. It may be called more than once.
func (p *place) end() {
	if p.isHeld.Swap(false) {
		p.limit.requests.Add(-1)
	}
	if p.isLong.Swap(false) {
		p.limit.long.Add(-1)
	}
}

func tryAdd(n *atomic.Int64, limit int64) bool {
	if n.Add(1) > limit {
		n.Add(-1)
		return false
	}
	return true
}

// Package intake decides which request gives way while request bodies are received.
//
// Load pattern: hundreds of callers send most of a body, stop and keep the connection open. Each holds a
// place, a buffer and its header until its time limit, so that requests which could be served at once are
// refused. A body has to make progress: once its bytes come more slowly than the limits allow, it is
// stalled, and gives way to any request that needs what it holds. The body that has been stalled the
// longest gives way first. A stalled body that nobody waits for stays until the time limit of its request.
package intake

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Limits tell when a body is stalled.
type Limits struct {
	// BytesPerSecond is the rate below which a body is stalled.
	BytesPerSecond int64
	// Pause is how long a body may pause before it is stalled.
	Pause time.Duration
}

// DefaultLimits leave room for a retransmission after each loss on a lossy link, and for the slowest upload
// that can still end within its time limit (60 KB in 2 s).
var DefaultLimits = Limits{BytesPerSecond: 32 << 10, Pause: time.Second}

// Validate returns an error for a limit that is not positive.
func (l Limits) Validate() error {
	if l.BytesPerSecond <= 0 || l.Pause <= 0 {
		return fmt.Errorf("%w: %d bytes per second with pauses of %v", ErrLimits, l.BytesPerSecond, l.Pause)
	}
	return nil
}

// ErrLimits means that limits are not positive.
var ErrLimits = errors.New("limits of request bodies must be positive")

// Table holds the bodies that are being received at a node. A nil Table tracks none. It is safe for
// concurrent use.
type Table struct {
	limits Limits

	mu     sync.Mutex
	bodies map[*Body]struct{}
	// evicted is the number of bodies that gave way.
	evicted int64
}

// NewTable returns a table without bodies. The limits must be valid.
func NewTable(l Limits) *Table { return &Table{limits: l, bodies: map[*Body]struct{}{}} }

// Resource is what a request holds while its body is received.
type Resource int

// Resources that a request may hold.
const (
	// Place is a place among the requests in progress, a connection and a buffer. Each request holds one.
	Place Resource = iota
	// LongPlace is a place among the requests with long bodies.
	LongPlace
	// Header is memory for a header that is longer than usual.
	Header
	// Slot is the slot of an upstream. The request has been sent.
	Slot

	resources
)

// Body is a request body that is being received.
type Body struct {
	table *Table
	// due is when the body is stalled unless more of it comes.
	due time.Duration
	// deadline is when its request is given up.
	deadline time.Duration
	// holds is set for what the request holds besides its place.
	holds [resources]bool
	// evict ends the wait for more of the body. It must not block or call methods of the table.
	evict     func()
	isEvicted bool
}

// Begin adds a body at the time now. evict ends the wait for more of it; it is called at most once, not
// after End, and must not block or call methods of the table. The request is given up at the deadline.
func (t *Table) Begin(now, deadline time.Duration, evict func()) *Body {
	b := &Body{table: t, deadline: deadline, evict: evict}
	b.holds[Place] = true
	if t != nil {
		b.due = now + t.limits.Pause
		t.mu.Lock()
		defer t.mu.Unlock()
		t.bodies[b] = struct{}{}
	}
	return b
}

// Progress records that n bytes of the body have come by the time now.
func (b *Body) Progress(now time.Duration, n int) {
	if b.table == nil {
		return
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	l := b.table.limits
	earned := time.Duration(n) * time.Second / time.Duration(l.BytesPerSecond)
	// A body that goes on after a long pause is soon no longer stalled, but a few bytes don't do.
	b.due = min(max(b.due, now-l.Pause)+earned, now+l.Pause)
}

// SetDeadline sets when the request is given up.
func (b *Body) SetDeadline(deadline time.Duration) {
	if b.table == nil {
		return
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	b.deadline = deadline
}

// Hold records that the request holds the resource. It reports whether the body is still being received.
func (b *Body) Hold(r Resource) bool {
	if b.table == nil {
		return true
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	b.holds[r] = true
	return !b.isEvicted
}

// End removes the body, and reports whether it gave way. It may be called more than once.
func (b *Body) End() (evicted bool) {
	if b.table == nil {
		return false
	}
	b.table.mu.Lock()
	defer b.table.mu.Unlock()
	delete(b.table.bodies, b)
	return b.isEvicted
}

// Evict makes the body give way that has been stalled the longest among those whose requests hold the
// resource. It reports whether there was one.
func (t *Table) Evict(now time.Duration, r Resource) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest *Body
	for b := range t.bodies {
		if b.holds[r] && b.due < now && (oldest == nil || b.due < oldest.due) {
			oldest = b
		}
	}
	if oldest != nil {
		t.remove(oldest)
	}
	return oldest != nil
}

// EvictAfter makes all bodies give way that are stalled, and those that were not sent whose requests are
// given up only after the time end.
func (t *Table) EvictAfter(now, end time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for b := range t.bodies {
		if b.due < now || !b.holds[Slot] && b.deadline > end {
			t.remove(b)
		}
	}
}

// remove makes a body give way. The caller holds the lock.
func (t *Table) remove(b *Body) {
	delete(t.bodies, b)
	b.isEvicted = true
	t.evicted++
	b.evict()
}

// Len returns the number of bodies that are being received.
func (t *Table) Len() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.bodies))
}

// Evicted returns how many bodies gave way.
func (t *Table) Evicted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evicted
}

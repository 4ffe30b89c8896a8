// Package retry limits the retries and hedges that the system adds to the work
// of its callers.
package retry

import (
	"sync"
	"time"
)

const (
	// window is how long the credit of a first send can be spent.
	window = 10 * time.Second
	// slots divide the window.
	slots     = 10
	slotWidth = window / slots
	// sendsPerRetry makes retries at most 10% of first sends.
	sendsPerRetry = 10
)

// Budget allows one retry or hedge for every ten first sends of the last 10 s,
// and one more in its lifetime, so that a node with little traffic can retry at
// all. Over any history retries are at most 1 + sends/10. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	now     func() time.Time
	start   time.Time
	current int64
	credit  [slots]int64
	initial int64
	// cost is the number of first sends that pay for one retry.
	cost  int64
	stats Stats
}

// Stats counts what a budget has seen.
type Stats struct {
	Sends, Retries, Denied int64
}

// NewBudget returns a budget that holds one retry.
func NewBudget() *Budget { return NewBudgetOf(sendsPerRetry) }

// NewBudgetOf returns a budget in which the given number of first sends pays for
// one retry, and that holds one retry.
func NewBudgetOf(sends int) *Budget {
	return &Budget{now: time.Now, start: time.Now(), initial: int64(sends), cost: int64(sends)}
}

// Send records a first send. A request that is itself a system retry must not be
// recorded, because it earns no retries.
func (b *Budget) Send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.credit[b.current%slots]++
	b.stats.Sends++
}

// Retry takes one retry or hedge out of the budget and reports whether it was there.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.available() < b.cost {
		b.stats.Denied++
		return false
	}
	need := b.cost
	for i := b.current + 1; i <= b.current+slots; i++ {
		need -= take(&b.credit[i%slots], need)
	}
	take(&b.initial, need)
	b.stats.Retries++
	return true
}

// Stats returns the counts so far.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

func (b *Budget) available() int64 {
	sum := b.initial
	for _, c := range b.credit {
		sum += c
	}
	return sum
}

// advance drops the credit of sends that left the window. A clock that goes
// backwards changes nothing.
func (b *Budget) advance() {
	slot := int64(b.now().Sub(b.start) / slotWidth)
	if slot <= b.current {
		return
	}
	for i := b.current + 1; i <= min(slot, b.current+slots); i++ {
		b.credit[i%slots] = 0
	}
	b.current = slot
}

func take(from *int64, most int64) int64 {
	n := min(*from, most)
	*from -= n
	return n
}

// MayRetry reports whether a request with that attempt number, as it came to
// this hop, may be retried or hedged here. A request that is already a retry may
// not, so that retries of a call chain add up and don't multiply.
func MayRetry(incomingAttempt int) bool { return incomingAttempt == 0 }

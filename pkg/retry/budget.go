// Package retry limits the retries and hedges that the system adds to the requests
// of its callers.
package retry

import (
	"sync"
	"time"
)

const (
	// window is how long the credit of a first attempt can be spent.
	window = 10 * time.Second
	// slotCount is the number of slots into which the window is divided.
	slotCount = 10
	slotWidth = window / slotCount
	// attemptsPerRetry limits retries to 10% of first attempts.
	attemptsPerRetry = 10
)

// Budget allows one retry or hedge for every ten first attempts of the last 10 s,
// and one more in its lifetime, so that a node with little traffic can retry at
// all. Over any history retries are at most 1 + first attempts/10. It is safe for
// concurrent use.
type Budget struct {
	mu          sync.Mutex
	now         func() time.Time
	start       time.Time
	currentSlot int64
	// credit is a ring buffer with the unspent first attempts of each slot.
	credit        [slotCount]int64
	initialCredit int64
	// cost is the number of first attempts that pay for one retry.
	cost  int64
	stats Stats
}

// Stats counts the first attempts, the allowed retries and the denied retries of a
// budget.
type Stats struct {
	FirstAttempts, Retries, Denied int64
}

// NewBudget returns a budget with credit for one retry.
func NewBudget() *Budget { return NewBudgetWithCost(attemptsPerRetry) }

// NewBudgetWithCost returns a budget in which the given number of first attempts pays
// for one retry. It has credit for one retry.
func NewBudgetWithCost(cost int) *Budget {
	return &Budget{now: time.Now, start: time.Now(), initialCredit: int64(cost), cost: int64(cost)}
}

// RecordFirstAttempt credits a first attempt. It must not be called for a request that is
// itself a retry by the system, because such a request earns no retries.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.credit[b.currentSlot%slotCount]++
	b.stats.FirstAttempts++
}

// TryRetry spends the credit for one retry or hedge. It reports whether there was enough.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.available() < b.cost {
		b.stats.Denied++
		return false
	}
	due := b.cost
	for i := b.currentSlot + 1; i <= b.currentSlot+slotCount; i++ {
		due -= deduct(&b.credit[i%slotCount], due)
	}
	deduct(&b.initialCredit, due)
	b.stats.Retries++
	return true
}

// Stats returns the counts since the budget was created.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

func (b *Budget) available() int64 {
	sum := b.initialCredit
	for _, c := range b.credit {
		sum += c
	}
	return sum
}

// advance deletes the credit of first attempts that are older than the window. It
// ignores a clock that goes backwards.
func (b *Budget) advance() {
	slot := int64(b.now().Sub(b.start) / slotWidth)
	if slot <= b.currentSlot {
		return
	}
	for i := b.currentSlot + 1; i <= min(slot, b.currentSlot+slotCount); i++ {
		b.credit[i%slotCount] = 0
	}
	b.currentSlot = slot
}

// deduct reduces the balance by at most limit and returns the deducted amount.
func deduct(balance *int64, limit int64) int64 {
	n := min(*balance, limit)
	*balance -= n
	return n
}

// MayRetry reports whether a request that arrived at this hop with the given attempt
// number may be retried or hedged here. A request that is already a retry may not, so
// that the retries along a call chain add up and do not multiply.
func MayRetry(incomingAttempt int) bool { return incomingAttempt == 0 }

package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refillInterval is the time between two updates of the buckets.
const refillInterval = 100 * time.Millisecond

// updateInterval is the time between two checks for lost members.
const updateInterval = 50 * time.Millisecond

// maxPushed is the number of members up to which all of them learn at once that an organisation is
// metered. In larger fleets, only nodes that have reported on it do.
const maxPushed = 200

// Transition is an organisation that has become metered or open at its owner.
type Transition struct {
	Key     Key
	Metered bool
	// Level is that of the bucket.
	Level float64
}

// ownedLedger is a ledger of this node.
type ownedLedger struct {
	*Ledger
	// generation is that of the members at which the node was the owner.
	generation uint64
	owned      bool
	// logged is set if the last transition was to metered.
	logged bool
}

// Node is a node's part in all quotas. It is not safe for concurrent use.
type Node struct {
	*members
	incarnation int64
	bound       Bound
	sequence    uint64
	accounts    map[Key]*account
	// active accounts have something to send or to return.
	active map[Key]*account
	// order lists the accounts. The next one to consider for a question is at cursor.
	order       []*account
	cursor      int
	lastAsk     time.Duration
	ledgers     map[Key]*ownedLedger
	transitions []Transition
	// lastUpdate is when the members were checked, lastCall that of the last call.
	lastRefill, lastUpdate, lastCall time.Duration
}

// NewNode returns the state of a node that has just started.
func NewNode(now time.Duration, self string, incarnation int64, bound Bound) *Node {
	if bound.Window <= 0 {
		bound = DefaultBound
	}
	return &Node{
		members: newMembers(now, self), incarnation: incarnation, bound: bound, accounts: map[Key]*account{}, active: map[Key]*account{},
		ledgers: map[Key]*ownedLedger{}, lastRefill: now, lastCall: now,
	}
}

// Install sets the limits of all organisations that have one.
func (n *Node) Install(now time.Duration, limits map[Key]Limit) {
	for key, limit := range limits {
		a := n.accounts[key]
		switch {
		case a == nil:
			n.accounts[key] = newAccount(key, limit)
		case a.limit != limit:
			// The owner decides by the new limit.
			a.limit = limit
			a.forgetOwner()
			a.heldUntil = now
			n.active[key] = a
		}
		if l := n.ledgers[key]; l != nil && l.limit != limit {
			l.setLimit(limit)
		}
	}
	for key := range n.accounts {
		if _, ok := limits[key]; !ok {
			delete(n.accounts, key)
			delete(n.active, key)
			delete(n.ledgers, key)
		}
	}
	n.order = slices.SortedFunc(maps.Values(n.accounts), func(a, b *account) int { return cmp.Compare(a.key, b.key) })
}

// ask marks an organisation of whose state the node knows nothing for a report.
func (n *Node) ask(now time.Duration) {
	if now-n.lastAsk < askInterval || n.isolated {
		return
	}
	for range min(askScan, len(n.order)) {
		a := n.order[n.cursor%len(n.order)]
		n.cursor = (n.cursor + 1) % len(n.order)
		if n.resolve(a); a.owner != n.self && a.mustAsk(now) {
			n.lastAsk = now
			a.touch(now)
			n.active[a.key] = a
			return
		}
	}
}

// SetMembers replaces the other members. serving is unset while this node stops.
func (n *Node) SetMembers(now time.Duration, serving bool, list []Member) {
	n.members.set(now, serving, list)
	n.members.update(now)
}

// RecordContact records that a message of another member has arrived.
func (n *Node) RecordContact(now time.Duration, address string) {
	n.members.recordContact(now, address)
}

// resolve updates the owner to which the account reports.
func (n *Node) resolve(a *account) {
	if a.generation == n.members.generation && a.owner != "" {
		return
	}
	a.generation = n.members.generation
	if owner := n.owner(a.key); owner != a.owner {
		a.owner = owner
		a.forgetOwner()
	}
}

// Admit decides on a request of the organisation. After Pending, the caller calls Retry until it
// gets another result.
func (n *Node) Admit(now time.Duration, key Key) (Result, time.Duration) {
	a := n.accounts[key]
	if a == nil {
		return Admitted, 0
	}
	a.arrive(now)
	n.resolve(a)
	n.active[key] = a
	if a.owner == n.self {
		return n.admitOwned(now, a)
	}
	if n.tryAdmit(now, a) {
		return Admitted, 0
	}
	if !n.isolated && a.mayWait(now) {
		a.waiting++
		return Pending, 0
	}
	return n.refuse(now, a)
}

// Retry decides again on a pending request. last is set if it may wait no longer.
func (n *Node) Retry(now time.Duration, key Key, last bool) (Result, time.Duration) {
	a := n.accounts[key]
	if a == nil {
		return Admitted, 0
	}
	n.resolve(a)
	a.waiting = max(0, a.waiting-1)
	switch {
	case a.owner == n.self:
		return n.admitOwned(now, a)
	case n.tryAdmit(now, a):
		return Admitted, 0
	case !last && !n.isolated && a.mayWait(now):
		a.waiting++
		return Pending, 0
	}
	return n.refuse(now, a)
}

// tryAdmit admits a request by the last word of the owner. A node that is cut off has only tokens.
func (n *Node) tryAdmit(now time.Duration, a *account) bool {
	if n.isolated {
		a.forgetOwner()
	}
	return a.tryAdmit(now)
}

// refuse refuses a request, unless the share of a node without owner has room.
func (n *Node) refuse(now time.Duration, a *account) (Result, time.Duration) {
	random := float64(mix(uint64(a.key)^n.selfHash^uint64(now))>>11) / (1 << 53)
	if (n.isolated || a.lost(now)) && a.admitIsolated(now, n.count(), n.isolated, n.bound, random) {
		return Admitted, 0
	}
	// The owner should know of the demand.
	a.touch(now)
	return Refused, a.retryAfter(now)
}

// admitOwned decides on a request at the owner.
func (n *Node) admitOwned(now time.Duration, a *account) (Result, time.Duration) {
	ok := a.tryAdmit(now)
	if !ok && !a.open && now < a.retryAt && now-a.repliedAt < max(minInterval, a.interval) {
		// The owner asks its own ledger no more often than other nodes do, which would otherwise get
		// no tokens.
		return n.refuse(now, a)
	}
	if !ok {
		a.waiting++
		n.reportOwned(now, a)
		a.waiting--
		ok = a.tryAdmit(now)
	}
	if !ok {
		return n.refuse(now, a)
	}
	if a.open {
		n.reportOwned(now, a)
	}
	return Admitted, 0
}

// reportOwned passes the state of an account to this node's own ledger.
func (n *Node) reportOwned(now time.Duration, a *account) {
	l := n.ledger(now, a.key)
	if l == nil {
		return
	}
	n.sequence++
	m := Message{From: n.self, Incarnation: n.incarnation, Sequence: n.sequence}
	l.refill(now, l.fraction)
	if reply, ok := l.process(now, &m, a.report(now, n.sequence)); ok {
		a.apply(now, reply)
	}
}

// Refund takes back an admitted request that has not run.
func (n *Node) Refund(now time.Duration, key Key) {
	if a := n.accounts[key]; a != nil {
		a.refund(now)
		n.active[key] = a
	}
}

// ledger returns the ledger of an organisation that this node owns, or nil.
func (n *Node) ledger(now time.Duration, key Key) *ownedLedger {
	a, l := n.accounts[key], n.ledgers[key]
	if a == nil {
		return nil
	}
	if l != nil && l.generation == n.generation {
		if l.owned {
			return l
		}
		return nil
	}
	if n.owner(key) != n.self {
		if l != nil {
			l.owned, l.generation = false, n.generation
		}
		return nil
	}
	switch {
	case l == nil:
		l = &ownedLedger{Ledger: newLedger(now, n.bound, a.limit)}
		n.ledgers[key] = l
	case !l.owned:
		l.resume(now)
	}
	if !l.owned {
		n.probeSuccessors(key)
	}
	l.owned, l.generation, l.members = true, n.generation, n.count()
	return l
}

// Transitions returns the organisations that have become metered or open since the last call.
func (n *Node) Transitions() []Transition {
	list := n.transitions
	n.transitions = nil
	return list
}

// Owned returns the number of organisations that this node owns, and those that are metered.
func (n *Node) Owned() (owned, metered int) {
	for _, l := range n.ledgers {
		if l.owned {
			owned++
			if l.metered {
				metered++
			}
		}
	}
	return owned, metered
}

// KeyOf returns the key of an organisation.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

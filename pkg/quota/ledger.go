package quota

import (
	"math"
	"time"
)

// lender is the owner's state of a node.
type lender struct {
	incarnation int64
	sequence    uint64
	// ceiling is the number of requests that the node may admit, spent what it has reported.
	ceiling, spent int64
	// arrived is the number of requests that it has received, demand and usual their rates over
	// demandTime and shareTime.
	arrived       int64
	demand, usual rate
	// reportedShare is the node's share of the requests by the last word of an earlier owner.
	reportedShare float64
	reportedAt    time.Duration
}

// Ledger is the owner's account of one organisation. The zero value is not valid.
type Ledger struct {
	bound   Bound
	limit   Limit
	level   float64
	updated time.Duration
	// startedAt is when the node became the owner.
	startedAt time.Duration
	metered   bool
	nodes     map[string]*lender
	// demand is the rate of requests over all nodes, and fraction the part of the limit that this
	// owner may lend.
	demand, usual rate
	fraction      float64
	// members is the number of members, active that of nodes with recent requests.
	members, active int
	// outstanding is the number of lent tokens that are not reported as used.
	outstanding int64
	// changed is set if metered has changed and the node has not processed it yet.
	changed bool
}

// newLedger returns the ledger of a new owner, whose bucket is almost empty: other nodes may still
// use tokens of the previous one.
func newLedger(now time.Duration, bound Bound, limit Limit) *Ledger {
	l := &Ledger{bound: bound, limit: limit, updated: now, startedAt: now, metered: true, fraction: 1, nodes: map[string]*lender{}}
	l.usual.constant = shareTime
	l.level = takeoverShare * bound.reserve(limit)
	return l
}

// setLimit changes the limit.
func (l *Ledger) setLimit(limit Limit) {
	l.limit = limit
	l.level = min(l.level, l.bound.depth(limit))
}

// resume continues a ledger after another node may have been the owner.
func (l *Ledger) resume(now time.Duration) {
	l.level = min(l.level, takeoverShare*l.bound.reserve(l.limit))
	l.updated, l.startedAt, l.metered, l.outstanding = now, now, true, 0
	l.demand, l.usual = rate{}, rate{constant: shareTime}
	clear(l.nodes)
}

// refill adds the tokens since the last call. fraction is the part of the rate that this owner may
// lend while other members may run requests on their own.
func (l *Ledger) refill(now time.Duration, fraction float64) {
	dt := min(now-l.updated, maxRefill)
	l.updated, l.fraction = now, fraction
	depth := l.bound.depth(l.limit)
	l.level = min(l.level+dt.Seconds()*l.limit.Rate*fraction, max(0, depth-float64(l.outstanding)))
	l.updateMode()
}

// updateMode makes the organisation metered or open by the unused tokens. Those that are lent may
// all be in use while the demand is beyond the limit.
func (l *Ledger) updateMode() {
	depth, before := l.bound.depth(l.limit), l.metered
	unused := l.level + float64(l.outstanding)
	within := l.demand.at(l.updated) <= openDemand*l.limit.Rate*l.fraction
	switch {
	case unused < depth/4:
		l.metered = true
	case l.level >= depth/2 || within && unused >= depth/2:
		l.metered = false
	}
	l.changed = l.changed || l.metered != before
}

// equalRequests is the number of requests that weighs as much as equal shares of the nodes.
const equalRequests = 10

// usualShare returns the node's share of the requests in the last seconds, or 0 if it is unknown. Few
// requests tell little of the shares, so these are mixed with equal ones.
func (l *Ledger) usualShare(now time.Duration, address string) float64 {
	n, total := l.nodes[address], l.usual.at(now)
	if n == nil || total == 0 || now-l.startedAt < shareTime/4 {
		return 0
	}
	count, requests := float64(max(1, l.members)), total*shareTime.Seconds()
	weight := requests / (requests + equalRequests)
	return min(1, weight*n.usual.at(now)/total+(1-weight)/count)
}

// silent reports whether the node has not reported for so long that it is probably lost.
func (l *Ledger) silent(now time.Duration, address string) bool {
	n := l.nodes[address]
	if n == nil {
		return false
	}
	silence := now - n.reportedAt - l.interval()
	return silence.Seconds()*n.usual.at(n.reportedAt) > missedRequests
}

// unreportedShare returns the share of the requests of nodes that have not reported to a new owner, by what
// earlier owners have sent those that have, or 0 if nothing is known.
func (l *Ledger) unreportedShare(now time.Duration) float64 {
	if now-l.startedAt > shareLife {
		return 0
	}
	reportedShare := 0.0
	for _, n := range l.nodes {
		reportedShare += n.reportedShare
	}
	if reportedShare == 0 {
		return 0
	}
	return max(0, 1-reportedShare)
}

// tidy forgets silent nodes and counts those that have received a request recently.
func (l *Ledger) tidy(now time.Duration) {
	l.active = 0
	for address, n := range l.nodes {
		if now-n.reportedAt > forgetAfter {
			l.outstanding -= n.ceiling - n.spent
			delete(l.nodes, address)
		}
		if n.demand.at(now) > minDemand {
			l.active++
		}
	}
}

// process handles a report of a node and returns the reply, and false if the report is older than
// the last one.
func (l *Ledger) process(now time.Duration, m *Message, r Report) (Reply, bool) {
	n := l.nodes[m.From]
	if n == nil || n.incarnation < m.Incarnation {
		reportedShare := float64(r.SharePermille) / permille
		if n != nil {
			// What the earlier process held counts as used.
			l.outstanding -= n.ceiling - n.spent
			reportedShare = max(reportedShare, n.reportedShare)
		}
		// Tokens of an earlier owner stay valid; that owner has taken them from its bucket.
		n = &lender{incarnation: m.Incarnation, ceiling: r.Held, spent: min(r.Spent, r.Held), arrived: r.Arrived, usual: rate{constant: shareTime}, reportedShare: reportedShare}
		l.outstanding += n.ceiling - n.spent
		l.nodes[m.From] = n
	}
	if n.incarnation > m.Incarnation || n.sequence >= m.Sequence {
		return Reply{}, false
	}
	arrived := float64(max(0, r.Arrived-n.arrived))
	n.sequence, n.reportedAt, n.arrived = m.Sequence, now, r.Arrived
	// The share is that before the reported requests: nodes report when they have some, so the sum of
	// the shares after them would be above one.
	reportedShare := int64(permille * l.usualShare(now, m.From))
	n.demand.add(now, arrived)
	n.usual.add(now, arrived)
	l.demand.add(now, arrived)
	l.usual.add(now, arrived)
	l.settle(n, r)
	l.updateMode()
	demand, share := n.demand.at(now), 1.0
	if total := l.demand.at(now); total > 0 {
		share = min(1, demand/total)
	}
	reply := Reply{Key: r.Key, SharePermille: reportedShare, IntervalMillis: l.interval().Milliseconds()}
	if l.metered {
		l.lend(n, r.Want, share)
		reply.RetryMillis = l.retryAfter().Milliseconds()
	} else {
		reply.Overdraft = l.overdraft(demand, share)
	}
	reply.Held = n.ceiling
	return reply, true
}

// settle takes back what the node no longer holds and takes what it has admitted without tokens.
// The level may become negative.
func (l *Ledger) settle(n *lender, r Report) {
	l.outstanding -= n.ceiling - n.spent
	held := min(r.Held, n.ceiling)
	l.level += float64(n.ceiling - held)
	l.level -= float64(max(0, r.Spent-held))
	n.ceiling, n.spent = max(held, r.Spent), r.Spent
	l.outstanding += n.ceiling - n.spent
}

// lend gives the node tokens up to its share of what there is until its next report. It is rounded
// up: otherwise, tokens are left over while all nodes want some.
func (l *Ledger) lend(n *lender, want int64, share float64) {
	available := l.level + l.limit.Rate*l.fraction*l.interval().Seconds()
	give := min(want, int64(math.Ceil(available*share)), int64(l.level))
	if give <= 0 {
		return
	}
	l.level -= float64(give)
	n.ceiling += give
	l.outstanding += give
}

// minOverdraft is the number of requests that each node may admit before its report is answered.
const minOverdraft = 4

// overdraft returns how many requests a node may admit before a reply to its report: what arrives
// until an owner is taken for lost, within its share of the reserve.
func (l *Ledger) overdraft(demand, share float64) int64 {
	return minOverdraft + int64(math.Ceil(min(demand*isolatedAfter.Seconds(), overdraftShare*share*l.bound.reserve(l.limit))))
}

// interval returns the time between two reports of a node, unless it needs tokens.
func (l *Ledger) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(l.active)*intervalPerNode))
}

// retryAfter returns the time in which the bucket gains a token and those that the callers refused in
// the last second would use. It is zero if there are tokens.
func (l *Ledger) retryAfter() time.Duration {
	missing := max(0, 1-l.level) + max(0, l.demand.at(l.updated)-l.limit.Rate)
	return time.Duration(missing / l.limit.Rate * float64(time.Second))
}

package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Handle processes a message and returns the answers.
func (n *Node) Handle(now time.Duration, m *Message) []Outbound {
	n.noteCall(now)
	n.recordContact(now, m.From)
	for _, r := range m.Replies {
		if a := n.accounts[r.Key]; a != nil {
			n.handleReply(now, a, m, r)
		}
	}
	if m.Echo != 0 || len(m.Replies) > 0 {
		return nil
	}
	answer := Message{Echo: m.Sequence, EchoIncarnation: m.Incarnation}
	for _, r := range m.Reports {
		l := n.ledger(now, r.Key)
		if l == nil {
			answer.Replies = append(answer.Replies, Reply{Key: r.Key, NotOwner: true})
			n.probeOwner(r.Key)
			continue
		}
		l.refill(now, l.fraction)
		if reply, ok := l.process(now, m, r); ok {
			answer.Replies = append(answer.Replies, reply)
		}
	}
	return append(n.push(), n.envelope(m.From, answer))
}

// envelope completes a message for the node.
func (n *Node) envelope(to string, m Message) Outbound {
	n.sequence++
	m.From, m.Incarnation, m.Sequence = n.self, n.incarnation, n.sequence
	return Outbound{To: to, Message: m}
}

// probeOwner asks the owner whether it lives: a node that reports here can't reach it.
func (n *Node) probeOwner(key Key) {
	owner := n.owner(key)
	if p := n.peers[owner]; p != nil && !n.isolated {
		p.probed = true
	}
}

// handleReply processes a reply, or a message that the organisation is metered.
func (n *Node) handleReply(now time.Duration, a *account, m *Message, r Reply) {
	switch {
	case a.owner != m.From:
	case m.Echo == 0:
		a.open, a.overdraft, a.interval, a.repliedAt = false, 0, time.Duration(r.IntervalMillis)*time.Millisecond, now
		a.retryAt = now + time.Duration(r.RetryMillis)*time.Millisecond
	case m.EchoIncarnation != n.incarnation || m.Echo != a.sequence:
	case r.NotOwner:
		n.clearSuspicions(m.From, a.key)
		a.unanswered, a.sequence = 1, 0
		n.resolve(a)
	default:
		a.apply(now, r)
	}
}

// noteCall notices stalls of the process.
func (n *Node) noteCall(now time.Duration) {
	if gap := now - n.lastCall; gap > stallThreshold {
		n.postpone(now, gap)
	}
	n.lastCall = now
}

// Outgoing returns the messages that are due.
func (n *Node) Outgoing(now time.Duration) []Outbound {
	n.noteCall(now)
	var list []Outbound
	if now-n.lastUpdate >= updateInterval {
		n.lastUpdate = now
		n.members.update(now)
		list = n.probes(now)
	}
	if now-n.lastRefill >= refillInterval {
		n.lastRefill = now
		for key := range n.ledgers {
			if l := n.ledger(now, key); l != nil {
				l.tidy(now)
				l.refill(now, n.fraction(now, l.Ledger))
			}
		}
	}
	n.ask(now)
	list = append(list, n.push()...)
	return append(list, n.reports(now)...)
}

// probes returns empty messages to the probed members.
func (n *Node) probes(now time.Duration) []Outbound {
	var list []Outbound
	for address, p := range n.peers {
		if p.probed && (p.unanswered == 0 || now-p.sentAt >= resendDelay) {
			n.recordSent(now, address)
			list = append(list, n.envelope(address, Message{}))
		}
	}
	slices.SortFunc(list, func(a, b Outbound) int { return cmp.Compare(a.To, b.To) })
	return list
}

// reports returns the reports that are due. Other reports to the same owner are sent with them.
func (n *Node) reports(now time.Duration) []Outbound {
	ready := map[string][]*account{}
	due := map[string]bool{}
	for key, a := range n.active {
		a.expire(now)
		if a.idle() {
			delete(n.active, key)
			continue
		}
		n.resolve(a)
		at, any := a.due()
		switch {
		case !any || a.owner == "" || n.isolated:
		case a.owner == n.self:
			n.reportOwned(now, a)
		default:
			ready[a.owner] = append(ready[a.owner], a)
			due[a.owner] = due[a.owner] || now >= at
		}
	}
	var list []Outbound
	for _, owner := range slices.Sorted(maps.Keys(due)) {
		if due[owner] {
			list = append(list, n.batch(now, owner, ready[owner])...)
		}
	}
	return list
}

// batch returns the messages with the reports of the accounts to their owner.
func (n *Node) batch(now time.Duration, owner string, accounts []*account) []Outbound {
	accounts = slices.DeleteFunc(accounts, func(a *account) bool {
		at, _ := a.due()
		return a.unanswered > 0 && now < at
	})
	slices.SortFunc(accounts, func(a, b *account) int { return cmp.Compare(a.key, b.key) })
	var list []Outbound
	for chunk := range slices.Chunk(accounts, MaxEntries) {
		o := n.envelope(owner, Message{})
		for _, a := range chunk {
			o.Reports = append(o.Reports, a.report(now, o.Sequence))
		}
		n.recordSent(now, owner)
		list = append(list, o)
	}
	return list
}

// push returns messages on organisations that have become metered, and records the transitions.
func (n *Node) push() []Outbound {
	replies := map[string][]Reply{}
	changed := func(l *ownedLedger) bool { return l.changed }
	if !slices.ContainsFunc(slices.Collect(maps.Values(n.ledgers)), changed) {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(n.ledgers)) {
		l := n.ledgers[key]
		if !l.changed {
			continue
		}
		l.changed = false
		if l.metered != l.logged {
			l.logged = l.metered
			n.transitions = append(n.transitions, Transition{key, l.metered, l.level})
		}
		if !l.metered || !l.owned {
			continue
		}
		r := Reply{Key: key, IntervalMillis: l.interval().Milliseconds(), RetryMillis: l.retryAfter().Milliseconds()}
		for address, p := range n.peers {
			if _, reported := l.nodes[address]; p.Live && (reported || len(n.peers) <= maxPushed) && len(replies[address]) < MaxEntries {
				replies[address] = append(replies[address], r)
			}
		}
	}
	var list []Outbound
	for _, address := range slices.Sorted(maps.Keys(replies)) {
		list = append(list, n.envelope(address, Message{Replies: replies[address]}))
	}
	return list
}

package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is another member of the fleet, as the node's roster has it.
type Member struct {
	Address string
	// Reachable is set if a status has arrived within the time in which one is expected.
	Reachable bool
	// Live is set if a status has arrived not long ago.
	Live bool
	// Serving is set if the member was not stopping when it was last heard of.
	Serving bool
}

// majority is the fraction of the members from which on a group of nodes counts as the larger one.
// Up to 55 % of the nodes may be killed at the same time, and up to 30 % cut off.
const majority = 0.4

// peer is the node's state of another member.
type peer struct {
	Member
	hash uint64
	// heardAt is when the last message on quotas or status arrived.
	heardAt time.Duration
	// unanswered counts the messages since the peer was last heard of, from since on.
	unanswered    int
	since, sentAt time.Duration
	// suspected peers own nothing until they are heard of.
	suspected bool
	// probed peers get empty messages until they are heard of or suspected.
	probed bool
}

// members chooses the owners of organisations.
type members struct {
	self        string
	selfHash    uint64
	serving     bool
	peers       map[string]*peer
	startedAt   time.Duration
	lastContact time.Duration
	isolated    bool
	// eligible is set if this node may own organisations.
	eligible bool
	// reachable is the number of members, with this node, of which statuses arrive.
	reachable int
	// generation changes with the members that may be owners.
	generation uint64
}

func newMembers(now time.Duration, self string) *members {
	return &members{self: self, selfHash: xxhash.Sum64String(self), serving: true, peers: map[string]*peer{}, startedAt: now, lastContact: now, reachable: 1, generation: 1}
}

// set replaces the members.
func (m *members) set(now time.Duration, serving bool, list []Member) {
	changed := m.serving != serving || len(list) != len(m.peers)
	m.serving, m.reachable = serving, 1
	known := make(map[string]*peer, len(list))
	for _, member := range list {
		p := m.peers[member.Address]
		if p == nil {
			p = &peer{hash: xxhash.Sum64String(member.Address), heardAt: longAgo}
			changed = true
		}
		// Messages on quotas count as well as statuses.
		recent := now-p.heardAt <= isolatedAfter
		member.Reachable, member.Live = member.Reachable || recent, (member.Live || recent) && member.Serving
		changed = changed || p.Live != member.Live
		p.Member = member
		known[member.Address] = p
		if member.Reachable {
			m.reachable++
		}
	}
	m.peers = known
	if changed {
		m.generation++
	}
}

// count returns the number of members with this node.
func (m *members) count() int { return len(m.peers) + 1 }

// recordContact records a message of the member.
func (m *members) recordContact(now time.Duration, address string) {
	p := m.peers[address]
	if p == nil {
		return
	}
	m.lastContact, p.heardAt = now, now
	if p.Serving && !p.Live {
		p.Live = true
		m.generation++
	}
	p.unanswered, p.probed = 0, false
	if p.suspected {
		p.suspected = false
		m.generation++
	}
	m.updateSelf(now)
}

// updateSelf computes whether this node is cut off and whether it may own organisations.
func (m *members) updateSelf(now time.Duration) {
	isolated := len(m.peers) > 0 && now-m.lastContact > isolatedAfter
	if isolated != m.isolated {
		m.isolated = isolated
		m.generation++
	}
	// A node that has just started and hears of no other may be one of many.
	alone := m.reachable <= 1 && now-m.startedAt < startAlone
	if eligible := m.serving && !m.isolated && !alone; eligible != m.eligible {
		m.eligible = eligible
		m.generation++
	}
}

// update computes whether this node is cut off and which peers are lost.
func (m *members) update(now time.Duration) {
	m.updateSelf(now)
	for _, p := range m.peers {
		if p.unanswered < minUnanswered || now-p.since < suspectAfter {
			continue
		}
		p.probed = false
		if !p.suspected {
			p.suspected = true
			m.generation++
		}
	}
}

// postpone delays all decisions on silence after a stall of this process: messages that arrived
// meanwhile are not processed yet.
func (m *members) postpone(now, stall time.Duration) {
	m.lastContact = min(now, m.lastContact+stall)
	for _, p := range m.peers {
		p.since = min(now, p.since+stall)
	}
}

// recordSent records a message that the peer should answer.
func (m *members) recordSent(now time.Duration, address string) {
	p := m.peers[address]
	if p == nil {
		return
	}
	if p.unanswered == 0 {
		p.since = now
	}
	p.unanswered++
	p.sentAt = now
}

// fraction returns the part of the limit that the owner with the ledger may lend. Members of which it
// doesn't hear may run a part of their share, so all groups of a partition together stay within the
// limit.
func (m *members) fraction(now time.Duration, l *Ledger) float64 {
	count := float64(m.count())
	if f := float64(m.reachable) / count; f < majority {
		return f / 2
	}
	missing := 0.0
	for address, p := range m.peers {
		if !p.Reachable || l.silent(now, address) {
			missing += max(isolatedRate*l.usualShare(now, address), 1/count/2)
		}
	}
	if missing > 0 {
		missing = max(missing, isolatedRate*l.unreportedShare(now))
	}
	return max(0, 1-missing)
}

// owner returns the member with the highest hash for the organisation, or an empty text.
func (m *members) owner(key Key) string {
	var owner string
	var highest uint64
	add := func(address string, hash uint64) {
		if h := mix(uint64(key) ^ hash); owner == "" || h > highest {
			owner, highest = address, h
		}
	}
	if m.eligible {
		add(m.self, m.selfHash)
	}
	for address, p := range m.peers {
		if p.Live && !p.suspected {
			add(address, p.hash)
		}
	}
	return owner
}

// successors is the number of members that a new owner probes.
const successors = 3

// probeSuccessors asks the members that come next for the organisation whether they live. One of them
// may have been the owner while this node was silent, and gives up when it hears of it. After a
// partition this node doesn't know yet which of them live.
func (m *members) probeSuccessors(key Key) {
	var list []*peer
	for _, p := range m.peers {
		if p.Serving {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(mix(uint64(key)^b.hash), mix(uint64(key)^a.hash)) })
	for _, p := range list[:min(successors, len(list))] {
		p.probed, p.unanswered = true, 0
	}
}

// clearSuspicions ends the suspicion of the members that come before the address for the organisation.
func (m *members) clearSuspicions(address string, key Key) {
	limit := mix(uint64(key) ^ xxhash.Sum64String(address))
	for _, p := range m.peers {
		if p.suspected && mix(uint64(key)^p.hash) > limit {
			p.suspected, p.unanswered = false, 0
			m.generation++
		}
	}
}

// mix returns a hash of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

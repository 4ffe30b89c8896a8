package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/quota"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

const (
	// maxStatusBytes is the maximum size of a status. It fits into one datagram.
	maxStatusBytes = 1200
	// minStatusPeriod is the minimum time between two periodic statuses.
	minStatusPeriod = 250 * time.Millisecond
	// periodPerMember keeps the rate of statuses that a node receives independent of the
	// fleet's size: 33 per second of about 150 bytes, within the 7 KB/s that users allow
	// for control traffic.
	periodPerMember = 30 * time.Millisecond
	// periodPerSubscriber does the same for the periodic statuses to subscribers.
	periodPerSubscriber = 15 * time.Millisecond
	// localGapPerSubscriber limits the rate of status updates within a failure domain.
	localGapPerSubscriber = 2 * time.Millisecond
	// remoteGapPerSubscriber limits the rate of status updates to other failure domains,
	// where traffic is expensive.
	remoteGapPerSubscriber = 25 * time.Millisecond
	// minStatusGap is the minimum time between two statuses.
	minStatusGap = 5 * time.Millisecond
	// invalidLogInterval is the minimum time between two events on invalid statuses.
	invalidLogInterval = 10 * time.Second
	// never is earlier than all other times of the directory's clock.
	never = -time.Hour
)

// statusPeriod returns the time between two periodic statuses to all members.
func statusPeriod(members int) time.Duration {
	return max(minStatusPeriod, time.Duration(members)*periodPerMember)
}

// subscriberPeriod returns the time between two periodic statuses to subscribers.
func subscriberPeriod(subscribers int) time.Duration {
	return max(minStatusPeriod, time.Duration(subscribers)*periodPerSubscriber)
}

// gossip sends this node's status to the other nodes and receives theirs.
type gossip struct {
	dir    *directory
	conn   *net.UDPConn
	events *event.Logger
	// status returns the current status without Incarnation, Sequence and
	// ReceiverIncarnation.
	status func() roster.Status
	// onStatus is called for each received status that was not ignored.
	onStatus func(roster.Status, roster.Change)
	// evidence returns the evidence on requests that crash upstreams for a status to all members, or
	// all of it for a node that has started.
	evidence func(all bool) []suspect.Evidence
	// departure returns the departure of the node's own upstream, if there is one.
	departure func() (roster.Departure, bool)
	// onDeparture is called when another node reports that the own upstream has left.
	onDeparture func(roster.Departure)
	// onEvacuated is called for each received status.
	onEvacuated func(roster.Status)
	// onReadReport is called for each report that the store is being read.
	onReadReport func(readReport)
	// onQuota is called for each message on quotas, onContact for each status that was not ignored.
	onQuota   func(*quota.Message)
	onContact func(address string)
	// updates triggers a status to subscribers within the rate limits, urgent an immediate
	// status to all members.
	updates, urgent chan struct{}
	// removed receives the addresses of removed members.
	removed chan string
	// invalid limits the events on received statuses that are invalid.
	invalid event.Limiter
	// remoteLoad is the load that subscribers in other failure domains were last sent. Only
	// sendLoop uses it.
	remoteLoad remoteLoad

	mu          sync.Mutex
	incarnation int64
	sequence    uint64
	// lastSilentRound is when statuses were last sent to silent members. It is guarded by
	// the directory's lock.
	lastSilentRound time.Duration
	// intN returns a random number below its argument, for chooseSilent.
	intN func(int) int
}

func newGossip(dir *directory, conn *net.UDPConn, events *event.Logger) *gossip {
	return &gossip{
		dir: dir, conn: conn, events: events, updates: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		removed: make(chan string, unregisterQueueSize), incarnation: time.Now().UnixMilli(),
		evidence: func(bool) []suspect.Evidence { return nil }, departure: func() (roster.Departure, bool) { return roster.Departure{}, false }, onDeparture: func(roster.Departure) {},
		onReadReport: func(readReport) {}, onEvacuated: func(roster.Status) {}, onQuota: func(*quota.Message) {}, onContact: func(string) {},
		invalid: event.Limiter{Interval: invalidLogInterval}, intN: rand.IntN,
	}
}

// requestSend triggers a status to subscribers within the rate limits. It never blocks.
func (g *gossip) requestSend() { notify(g.updates) }

// requestSendToAll triggers an immediate status to all members. It never blocks.
func (g *gossip) requestSendToAll() { notify(g.urgent) }

// announce triggers an immediate status to all members, including those that have never
// sent a status.
func (g *gossip) announce() {
	g.dir.mu.Lock()
	g.lastSilentRound = never
	g.dir.mu.Unlock()
	g.requestSendToAll()
}

// notify signals the channel, which has a buffer of one. It never blocks.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendLoop sends statuses until the context ends. Subscribers in the same failure domain
// receive each change of the load. Subscribers in other failure domains, where traffic is
// expensive, receive changes at a lower rate. All other members receive periodic statuses,
// and changes of the node's state immediately.
func (g *gossip) sendLoop(ctx context.Context) {
	var rounds schedule
	rounds.markPending()
	for {
		r := g.dir.updateRecipients()
		now := g.dir.now()
		if to, due := rounds.next(now, r); due {
			rounds.recordSent(now, to)
			g.broadcast(to)
			continue
		}
		timer := time.NewTimer(rounds.wait(now, r))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.updates:
			g.markUpdate(&rounds)
		case <-g.urgent:
			rounds.lastAll = never
		case <-timer.C:
		}
		timer.Stop()
	}
}

// scope is the set of members to which a status is sent.
type scope int

// Scopes; each contains the ones before it.
const (
	toLocalSubscribers scope = iota
	toSubscribers
	toAll
)

// recipientCounts holds the number of members and, among them, of the node's subscribers in
// the local and in remote failure domains.
type recipientCounts struct{ members, localSubscribers, remoteSubscribers int }

// schedule holds when each scope was last sent a status and whether subscribers have yet
// to receive an update.
type schedule struct {
	lastLocal, lastRemote, lastAll time.Duration
	localPending, remotePending    bool
}

// markPending records that there is an update to send.
func (s *schedule) markPending() { s.localPending, s.remotePending = true, true }

// recordSent records a round. The round also counts for the smaller scopes.
func (s *schedule) recordSent(now time.Duration, to scope) {
	s.lastLocal, s.localPending = now, false
	if to >= toSubscribers {
		s.lastRemote, s.remotePending = now, false
	}
	if to == toAll {
		s.lastAll = now
	}
}

// due returns when the next round of each scope is due.
func (s *schedule) due(r recipientCounts) (local, remote, all time.Duration) {
	period := subscriberPeriod(r.localSubscribers + r.remoteSubscribers)
	local, remote = s.lastLocal+period, s.lastRemote+period
	if s.localPending {
		local = s.lastLocal + max(minStatusGap, time.Duration(r.localSubscribers)*localGapPerSubscriber)
	}
	if s.remotePending {
		remote = s.lastRemote + max(minStatusGap, time.Duration(r.remoteSubscribers)*remoteGapPerSubscriber)
	}
	return local, remote, s.lastAll + statusPeriod(r.members)
}

// next returns the widest scope whose round is due, and false if none is due.
func (s *schedule) next(now time.Duration, r recipientCounts) (scope, bool) {
	local, remote, all := s.due(r)
	switch {
	case now >= all:
		return toAll, true
	case now >= remote:
		return toSubscribers, true
	}
	return toLocalSubscribers, now >= local
}

// wait returns the time until the next round.
func (s *schedule) wait(now time.Duration, r recipientCounts) time.Duration {
	local, remote, all := s.due(r)
	return min(local, remote, all) - now
}

// sleep waits for d or the end of the context. It reports whether d passed first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// target is a member to which a status is sent.
type target struct {
	address     string
	incarnation int64
	// extended is set if the member's last status had extensions.
	extended bool
}

// broadcast sends the status to the members in the scope.
func (g *gossip) broadcast(to scope) {
	s := g.nextStatus()
	g.dir.observeSelf(s)
	if to >= toSubscribers {
		g.remoteLoad = remoteLoadOf(s.Upstream)
	}
	if to == toAll {
		s.Evidence = append(s.Evidence, g.evidence(false)...)
	}
	d, leaves := g.departure()
	for _, t := range g.targets(to) {
		g.sendTo(s, t)
		if leaves && to == toAll {
			g.sendDeparture(d, t.address)
		}
	}
}

// nextStatus returns the current status with the next sequence number.
func (g *gossip) nextStatus() roster.Status {
	s := g.status()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	s.Incarnation, s.Sequence = g.incarnation, g.sequence
	return s
}

// observeSelf stores the node's own status in the roster.
func (d *directory) observeSelf(s roster.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Observe(d.now(), s)
}

// targets lists the members to which the status is sent now: the members in the scope that
// are not silent and, once per silentSendPeriod in rounds to all, some of the silent ones.
// An announcement goes to all silent members. Expired members are removed.
func (g *gossip) targets(to scope) []target {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	now := g.dir.now()
	announcing := g.lastSilentRound == never
	includeSilent := to == toAll && now-g.lastSilentRound >= silentSendPeriod
	maxStatusAge := silenceThreshold(g.dir.roster.Len())
	if includeSilent {
		g.lastSilentRound = now
	}
	var list []target
	var silent []silentMember
	var expired []string
	g.dir.roster.Each(func(m *roster.Member) {
		silence := now - max(m.LastSeen, m.AddedAt)
		t := target{m.Status.Address, m.Status.Incarnation, extended(m.Status)}
		switch {
		case t.address == g.dir.self:
		case silence > memberExpiry:
			expired = append(expired, t.address)
		case !g.dir.inScope(to, m):
		case now-m.LastSeen <= maxStatusAge || (includeSilent && announcing):
			list = append(list, t)
		case includeSilent:
			silent = append(silent, silentMember{t, silence})
		}
	})
	for _, address := range expired {
		g.removeMember(address)
	}
	return append(list, chooseSilent(silent, g.intN)...)
}

// removeMember removes a member from the roster. The caller holds the directory's lock.
func (g *gossip) removeMember(address string) {
	g.dir.roster.Remove(address)
	g.events.Emit(event.MemberForgotten, event.Fields{"member": address, "after_ms": memberExpiry.Milliseconds()})
	select {
	case g.removed <- address:
	default:
		// The address stays registered: the next node that starts reads it from the
		// registry and removes it after the expiry.
	}
}

// sendTo sends the status to the member. Nodes of the version before extensions reject statuses
// that have them, so a member that has not sent any gets the status without them as well.
func (g *gossip) sendTo(s roster.Status, t target) {
	s.ReceiverIncarnation = t.incarnation
	b, err := encodeStatus(s)
	g.sendDatagram(b, err, t.address)
	if extended(s) && !t.extended {
		s.Evacuated, s.Upstream.ColdMillis, s.Evidence = nil, 0, nil
		b, err = encodeStatus(s)
		g.sendDatagram(b, err, t.address)
	}
}

func (g *gossip) sendDeparture(d roster.Departure, to string) {
	b, err := encodeDeparture(d)
	g.sendDatagram(b, err, to)
}

// sendReadReport sends the report to all members that are not silent.
func (g *gossip) sendReadReport(r readReport) {
	b, err := encodeReadReport(r)
	for _, address := range g.dir.activeMembers() {
		g.sendDatagram(b, err, address)
	}
}

// activeMembers returns the addresses of the other members that are not silent.
func (d *directory) activeMembers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	now, maxStatusAge := d.now(), silenceThreshold(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.Address != d.self && now-m.LastSeen <= maxStatusAge {
			list = append(list, m.Status.Address)
		}
	})
	return list
}

// sendDatagram sends an encoded message. Messages are repeated, so an error, also that of the
// encoding, is only logged.
func (g *gossip) sendDatagram(b []byte, err error, to string) {
	var address netip.AddrPort
	if err == nil {
		address, err = netip.ParseAddrPort(to)
	}
	if err == nil {
		_, err = g.conn.WriteToUDPAddrPort(b, address)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.events.Emit(event.StatusInvalid, event.Fields{"member": to, "error": err.Error()})
	}
}

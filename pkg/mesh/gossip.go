package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

const (
	// statusLimit bounds the size of a status, so that it fits into one datagram.
	statusLimit = 1200
	// minPeriod is the least time between two statuses without news.
	minPeriod = 250 * time.Millisecond
	// periodPerMember makes the statuses that a node receives per second constant: 33
	// of about 150 bytes, within the 7 KB/s that the users allow for control.
	periodPerMember = 30 * time.Millisecond
	// periodPerFollower does so for the statuses without news to followers.
	periodPerFollower = 15 * time.Millisecond
	// nearGapPerFollower bounds the rate of statuses with news in a failure domain.
	nearGapPerFollower = 2 * time.Millisecond
	// farGapPerFollower bounds the rate of statuses with news to other failure
	// domains, to which bytes are dear.
	farGapPerFollower = 12 * time.Millisecond
	// minGap is the least time between two statuses.
	minGap = 5 * time.Millisecond
	// never is a time before any other.
	never = -time.Hour
)

// statusPeriod returns the time between two statuses without news to all members.
func statusPeriod(members int) time.Duration {
	return max(minPeriod, time.Duration(members)*periodPerMember)
}

// followerPeriod returns the time between two statuses without news to followers.
func followerPeriod(followers int) time.Duration {
	return max(minPeriod, time.Duration(followers)*periodPerFollower)
}

// gossip tells the other nodes the status of this one and takes theirs.
type gossip struct {
	dir    *directory
	conn   *net.UDPConn
	events *event.Logger
	// status returns the current status without sequence and echo.
	status func() roster.Status
	// heard is called after each status that was not ignored.
	heard func(roster.Status, roster.Change)
	// news asks for a status soon, urgent for one now.
	news, urgent chan struct{}
	// forgotten takes the addresses of members that were dropped.
	forgotten chan string

	mu          sync.Mutex
	incarnation int64
	sequence    uint64
	// toldMissing is when silent members were told last; the directory's lock holds.
	toldMissing time.Duration
}

func newGossip(dir *directory, conn *net.UDPConn, events *event.Logger) *gossip {
	return &gossip{
		dir: dir, conn: conn, events: events, news: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		forgotten: make(chan string, unregisterQueue), incarnation: time.Now().UnixMilli(),
	}
}

// tell asks for a status to be sent soon. It never blocks.
func (g *gossip) tell() { notify(g.news) }

// tellAll asks for a status to be sent to all members now. It never blocks.
func (g *gossip) tellAll() { notify(g.urgent) }

// greet sends the status to all members now, also to those that were never heard.
func (g *gossip) greet() {
	g.dir.mu.Lock()
	g.toldMissing = never
	g.dir.mu.Unlock()
	g.tellAll()
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// send runs until the context ends. Followers in the same failure domain hear of
// each change of the load; those in others, to which bytes are dear, at a lower rate.
// All other members hear from time to time that the node lives, and at once of
// changes of its state.
func (g *gossip) send(ctx context.Context) {
	var rounds schedule
	rounds.note()
	for {
		a := g.dir.audience()
		now := g.dir.now()
		if to, due := rounds.next(now, a); due {
			rounds.sent(now, to)
			g.broadcast(to)
			continue
		}
		timer := time.NewTimer(rounds.wait(now, a))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.news:
			rounds.note()
		case <-g.urgent:
			rounds.all = never
		case <-timer.C:
		}
		timer.Stop()
	}
}

// scope tells which members a status goes to.
type scope int

// Scopes, each with those before it.
const (
	toNear scope = iota
	toFollowers
	toAll
)

// audience counts the members, and those of them that follow the node.
type audience struct{ members, near, far int }

// schedule holds when statuses were sent last and which followers lack news.
type schedule struct {
	near, far, all    time.Duration
	nearNews, farNews bool
}

// note tells that there is news.
func (s *schedule) note() { s.nearNews, s.farNews = true, true }

// sent notes a round. It covers the smaller scopes as well.
func (s *schedule) sent(now time.Duration, to scope) {
	s.near, s.nearNews = now, false
	if to >= toFollowers {
		s.far, s.farNews = now, false
	}
	if to == toAll {
		s.all = now
	}
}

// due returns when the next round of each scope is due.
func (s *schedule) due(a audience) (near, far, all time.Duration) {
	period := followerPeriod(a.near + a.far)
	near, far = s.near+period, s.far+period
	if s.nearNews {
		near = s.near + max(minGap, time.Duration(a.near)*nearGapPerFollower)
	}
	if s.farNews {
		far = s.far + max(minGap, time.Duration(a.far)*farGapPerFollower)
	}
	return near, far, s.all + statusPeriod(a.members)
}

// next returns the widest round that is due.
func (s *schedule) next(now time.Duration, a audience) (scope, bool) {
	near, far, all := s.due(a)
	switch {
	case now >= all:
		return toAll, true
	case now >= far:
		return toFollowers, true
	}
	return toNear, now >= near
}

// wait returns the time until the next round.
func (s *schedule) wait(now time.Duration, a audience) time.Duration {
	near, far, all := s.due(a)
	return min(near, far, all) - now
}

// sleep reports whether the time passed before the context ended.
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

// target is a member that a status goes to.
type target struct {
	address     string
	incarnation int64
}

// broadcast sends the status to the members of the scope.
func (g *gossip) broadcast(to scope) {
	s := g.next()
	g.dir.observeSelf(s)
	for _, t := range g.targets(to) {
		g.sendTo(s, t)
	}
}

// next returns the status with the next sequence.
func (g *gossip) next() roster.Status {
	s := g.status()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	s.Incarnation, s.Sequence = g.incarnation, g.sequence
	return s
}

func (d *directory) observeSelf(s roster.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Observe(d.now(), s)
}

// targets lists the members that are told now: those of the scope that are heard,
// and in rounds to all some of the silent ones, once per missingPeriod. A greeting
// goes to all of them.
func (g *gossip) targets(to scope) []target {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	now := g.dir.now()
	greeting := g.toldMissing == never
	missingToo := to == toAll && now-g.toldMissing >= missingPeriod
	heardWithin := silentAfter(g.dir.roster.Len())
	if missingToo {
		g.toldMissing = now
	}
	var list []target
	var silent []silentMember
	var forget []string
	g.dir.roster.Each(func(m *roster.Member) {
		silence := now - max(m.Heard, m.Known)
		t := target{m.Status.Address, m.Status.Incarnation}
		switch {
		case t.address == g.dir.self:
		case silence > forgetAfter:
			forget = append(forget, t.address)
		case !g.dir.within(to, m):
		case now-m.Heard <= heardWithin || (missingToo && greeting):
			list = append(list, t)
		case missingToo:
			silent = append(silent, silentMember{t, silence})
		}
	})
	for _, address := range forget {
		g.forget(address)
	}
	return append(list, chooseSilent(silent)...)
}

// forget drops a member. The directory's lock is held.
func (g *gossip) forget(address string) {
	g.dir.roster.Forget(address)
	g.events.Emit(event.MemberForgotten, event.Fields{"member": address, "after_ms": forgetAfter.Milliseconds()})
	select {
	case g.forgotten <- address:
	default:
		// The address stays registered: the next node that starts learns and forgets it.
	}
}

func (g *gossip) sendTo(s roster.Status, t target) {
	s.Echo = t.incarnation
	address, err := netip.ParseAddrPort(t.address)
	if err != nil {
		g.events.Emit(event.StatusInvalid, event.Fields{"member": t.address, "error": err.Error()})
		return
	}
	b, err := encodeStatus(s)
	if err != nil {
		g.events.Emit(event.StatusInvalid, event.Fields{"member": t.address, "error": err.Error()})
		return
	}
	// A lost status is replaced by the next one, so an error needs no other action.
	if _, err := g.conn.WriteToUDPAddrPort(b, address); err != nil && !errors.Is(err, net.ErrClosed) {
		g.events.Emit(event.StatusInvalid, event.Fields{"member": t.address, "error": err.Error()})
	}
}

func encodeStatus(s roster.Status) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(&s); err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	return b.Bytes(), nil
}

func decodeStatus(b []byte) (roster.Status, error) {
	var s roster.Status
	if err := msgpack.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return s, fmt.Errorf("decode status: %w", err)
	}
	return s, nil
}

// receive takes statuses until the connection is closed.
func (g *gossip) receive() {
	b := make([]byte, statusLimit)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Refused datagrams to members that are down show up here.
			continue
		}
		s, err := decodeStatus(b[:n])
		if err != nil {
			g.events.Emit(event.StatusInvalid, event.Fields{"member": from.String(), "error": err.Error()})
			continue
		}
		g.observe(s)
	}
}

// observe takes a status, answers one from a node that does not know this one, and
// moves to a later incarnation if the sender knows one that this node did not have.
func (g *gossip) observe(s roster.Status) {
	if s.Address == g.dir.self {
		return
	}
	g.dir.mu.Lock()
	change := g.dir.roster.Observe(g.dir.now(), s)
	g.dir.mu.Unlock()
	g.mu.Lock()
	mine := g.incarnation
	if s.Echo > mine {
		g.incarnation = s.Echo + 1
	}
	g.mu.Unlock()
	if s.Echo != mine {
		g.sendTo(g.next(), target{s.Address, s.Incarnation})
	}
	if change != roster.Ignored {
		g.heard(s, change)
	}
}

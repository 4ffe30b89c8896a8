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
	// periodPerMember makes the statuses that a node receives per second constant.
	periodPerMember = 15 * time.Millisecond
	// newsGapPerMember bounds the rate of statuses with news.
	newsGapPerMember = 2 * time.Millisecond
	// missingPeriod is how often a silent member is still told our status, so that a
	// node that restarts without the store finds the others.
	missingPeriod = time.Second
	// missingAfter is the silence after which a member counts as silent.
	missingAfter = 2 * time.Second
	// forgetAfter is how long a silent member is kept.
	forgetAfter = 2 * time.Minute
)

// statusPeriod returns the time between two statuses without news.
func statusPeriod(members int) time.Duration {
	return max(minPeriod, time.Duration(members)*periodPerMember)
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
	news  chan struct{}

	mu          sync.Mutex
	incarnation int64
	sequence    uint64
	toldMissing time.Duration
}

func newGossip(dir *directory, conn *net.UDPConn, events *event.Logger) *gossip {
	return &gossip{dir: dir, conn: conn, events: events, news: make(chan struct{}, 1), incarnation: time.Now().UnixMilli()}
}

// tell asks for a status to be sent soon. It never blocks.
func (g *gossip) tell() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// send runs until the context ends. It sends a status to all members when there
// is news, and otherwise once per period.
func (g *gossip) send(ctx context.Context) {
	for {
		members := g.broadcast()
		gap := time.Duration(members) * newsGapPerMember
		if !sleep(ctx, gap) {
			return
		}
		timer := time.NewTimer(statusPeriod(members) - gap)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-g.news:
			timer.Stop()
		case <-timer.C:
		}
	}
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

// broadcast sends the status to the members and returns their number.
func (g *gossip) broadcast() int {
	s := g.next()
	for _, t := range g.targets() {
		g.sendTo(s, t)
	}
	return g.dir.observeSelf(s)
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

func (d *directory) observeSelf(s roster.Status) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Observe(d.now(), s)
	return d.roster.Len()
}

// targets lists the members that are told now: all that are heard, and those that
// are silent once per missingPeriod.
func (g *gossip) targets() []target {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	now := g.dir.now()
	missingToo := now-g.toldMissing >= missingPeriod
	if missingToo {
		g.toldMissing = now
	}
	var list []target
	var forget []string
	g.dir.roster.Each(func(m *roster.Member) {
		silence := now - max(m.Heard, m.Known)
		if m.Status.Address == g.dir.self {
			return
		}
		if silence > forgetAfter {
			forget = append(forget, m.Status.Address)
			return
		}
		if now-m.Heard <= missingAfter || missingToo {
			list = append(list, target{m.Status.Address, m.Status.Incarnation})
		}
	})
	for _, address := range forget {
		g.dir.roster.Forget(address)
		g.events.Emit(event.MemberForgotten, event.Fields{"member": address, "after_ms": forgetAfter.Milliseconds()})
	}
	return list
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

package mesh

import (
	"errors"
	"net"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// receiveLoop receives statuses and departures until the connection is closed.
func (g *gossip) receiveLoop() {
	b := make([]byte, maxStatusBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// ICMP errors for datagrams to members that are down are returned here.
			continue
		}
		if err := g.receive(b[:n]); err != nil {
			if suppressed, ok := g.invalid.Allow(time.Now()); ok {
				g.events.Emit(event.StatusInvalid, event.Fields{"member": from.String(), "error": err.Error(), "suppressed": suppressed})
			}
		}
	}
}

// receive handles the message in a datagram.
func (g *gossip) receive(b []byte) error {
	if len(b) > 0 && b[0] == departurePrefix {
		d, err := decodeDeparture(b)
		if err == nil {
			g.receiveDeparture(d)
		}
		return err
	}
	if len(b) > 0 && b[0] == readReportPrefix {
		r, err := decodeReadReport(b)
		if err == nil && r.Address != g.dir.self {
			g.onReadReport(r)
		}
		return err
	}
	if len(b) > 0 && b[0] == quotaPrefix {
		m, err := decodeQuota(b)
		if err == nil && m.From != g.dir.self {
			g.onQuota(m)
		}
		return err
	}
	s, err := decodeStatus(b)
	if err == nil {
		g.receiveStatus(s)
	}
	return err
}

// receiveDeparture stores the departure of another node's upstream, and passes on that of the
// own one.
func (g *gossip) receiveDeparture(d roster.Departure) {
	if d.Address == g.dir.self {
		g.onDeparture(d)
		return
	}
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.dir.roster.RecordDeparture(d)
}

// receiveStatus stores a received status. If the sender doesn't have this node's current
// incarnation, the node replies with its own status. If the sender has a later incarnation
// of this node's address, the node moves to an incarnation after that one.
func (g *gossip) receiveStatus(s roster.Status) {
	if s.Address == g.dir.self {
		return
	}
	g.onEvacuated(s)
	g.dir.mu.Lock()
	change := g.dir.roster.Observe(g.dir.now(), s)
	missed := g.dir.roster.Member(s.Address).MissedDepartures(s, change)
	g.dir.mu.Unlock()
	for _, departure := range missed {
		g.sendDeparture(departure, s.Address)
	}
	g.mu.Lock()
	own := g.incarnation
	if s.ReceiverIncarnation > own {
		g.incarnation = s.ReceiverIncarnation + 1
	}
	g.mu.Unlock()
	if s.ReceiverIncarnation != own {
		reply := g.nextStatus()
		// The sender may have started just now.
		reply.Evidence = append(reply.Evidence, g.evidence(true)...)
		g.sendTo(reply, target{s.Address, s.Incarnation, extended(s)})
	}
	if change != roster.Ignored {
		g.onContact(s.Address)
		g.onStatus(s, change)
	}
}

package mesh

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/follow"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

const (
	// linksGap is the least time between two decisions on whom a node follows.
	linksGap = 250 * time.Millisecond
	// linksPeriod is the time after which nodes that fell silent are left out.
	linksPeriod = 3 * time.Second
)

// links holds who follows the node, as decided at a time and for a set of members.
type links struct {
	decided    time.Duration
	generation uint64
	followers  map[string]bool
}

// current reports whether nothing has changed that the decision depends on.
func (l *links) current(now time.Duration, generation uint64) bool {
	age := now - l.decided
	return l.followers != nil && (age < linksGap || (generation == l.generation && age < linksPeriod))
}

// relink decides whom the node follows and who follows it. Members whose status is
// not known count as followed. The lock is held.
func (d *directory) relink(now time.Duration) {
	if d.links.current(now, d.roster.Generation()) {
		return
	}
	var nodes []follow.Node
	self := follow.Node{Address: d.self, Domain: d.domain}
	heardWithin := silentAfter(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		n := follow.Node{Address: m.Status.Address, Domain: m.Status.Domain, Service: m.Status.Service}
		if n.Address == d.self {
			self = n
		}
		if m.Status.Incarnation != 0 && now-m.Heard <= heardWithin {
			nodes = append(nodes, n)
		}
	})
	d.links = links{decided: now, generation: d.roster.Generation(), followers: follow.Followers(self, nodes)}
	followed := follow.Followed(self, nodes)
	heard := map[string]bool{}
	for _, n := range nodes {
		heard[n.Address] = true
	}
	d.roster.Each(func(m *roster.Member) {
		m.Followed = followed[m.Status.Address] || !heard[m.Status.Address]
	})
}

// within reports whether a status of the scope goes to the member. The lock is held.
func (d *directory) within(to scope, m *roster.Member) bool {
	if to == toAll {
		return true
	}
	return d.links.followers[m.Status.Address] && (to == toFollowers || m.Status.Domain == d.domain)
}

// period returns how often a status of the member is expected at least. The lock is held.
func (d *directory) period(m *roster.Member) time.Duration {
	if m.Followed {
		return followerPeriod(len(d.links.followers))
	}
	return statusPeriod(d.roster.Len())
}

// audience counts whom the statuses go to.
func (d *directory) audience() audience {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relink(d.now())
	a := audience{members: d.roster.Len()}
	d.roster.Each(func(m *roster.Member) {
		switch {
		case !d.links.followers[m.Status.Address]:
		case m.Status.Domain == d.domain:
			a.near++
		default:
			a.far++
		}
	})
	return a
}

package mesh

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrytray/mulberrytray/pkg/placement"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// blameTime is how long a node is avoided after a call to it failed without its
	// upstream's fault, unless its next status arrives first.
	blameTime = 500 * time.Millisecond
	// lostPeriods without a status take a node out of the choice.
	lostPeriods = 6
	// silentPeriods without a status make a node a worse choice.
	silentPeriods = 3
	// firstWork is the work assumed for a route without history. It is shorter than most
	// work, so that the way and the load count for more than a pace that is hardly known.
	firstWork = 30 * time.Millisecond
	// minReaders read the store in any fleet, so that several may lose it at once.
	minReaders = 5
	// membersPerReader is the number of members that one reader stands for.
	membersPerReader = 15
	// spareRoutes are kept although they are gone, as in package gate.
	spareRoutes = 1024
	// workWeight is the part of a new measurement in the mean work of a route.
	workWeight = 0.1
)

// directory is what the node knows of the fleet, behind one lock. It implements
// relay.Directory.
type directory struct {
	self    string
	domain  string
	costs   placement.Costs
	sidecar *relay.Sidecar
	start   time.Time

	mu     sync.Mutex
	roster *roster.Roster
	work   map[string]time.Duration
	links  links
}

func newDirectory(self, domain string, start time.Time) *directory {
	return &directory{
		self: self, domain: domain, costs: placement.DefaultCosts(), start: start,
		roster: roster.New(), work: map[string]time.Duration{},
	}
}

func (d *directory) now() time.Duration { return time.Since(d.start) }

// workOf returns the mean work of the class at the usual pace. The lock is held.
func (d *directory) workOf(class string) time.Duration {
	if w, ok := d.work[class]; ok {
		return w
	}
	return firstWork
}

// install drops the mean work of routes that are gone, if there are many.
func (d *directory) install(t *route.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.work) > spareRoutes {
		maps.DeleteFunc(d.work, func(name string, _ time.Duration) bool { return !t.Has(name) })
	}
}

// Choose implements relay.Directory.
func (d *directory) Choose(service, class string, exclude []string) (relay.Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var candidates []placement.Candidate
	var members []*roster.Member
	for choice := followedOnly; choice <= anyKnown && len(candidates) == 0; choice++ {
		candidates, members = d.candidates(now, service, class, exclude, choice)
	}
	i, cost := d.costs.Pick(candidates, d.workOf(class))
	if i < 0 {
		return relay.Choice{}, false
	}
	m := members[i]
	m.Sent++
	c := relay.Choice{Address: m.Status.Address, Upstream: m.Status.Upstream.ID}
	c.Detail = fmt.Sprintf("%s cost=%dms free=%d pace=%.1f age=%dms", c.Address, cost.Milliseconds(), candidates[i].Free, candidates[i].Pace, (now - m.Heard).Milliseconds())
	if c.Address == d.self {
		c.Address = ""
	}
	return c, true
}

// reach tells which members a request may be sent to.
type reach int

// Reaches, each with those before it.
const (
	// followedOnly are the upstreams whose load the node hears of at once.
	followedOnly reach = iota
	// anyHeard are all whose nodes are heard.
	anyHeard
	// anyKnown are also those whose nodes seem lost, but are not gone.
	anyKnown
)

// candidates lists the upstreams of the service within the reach.
func (d *directory) candidates(now time.Duration, service, class string, exclude []string, choice reach) ([]placement.Candidate, []*roster.Member) {
	var list []placement.Candidate
	var members []*roster.Member
	work := d.workOf(class)
	d.roster.Each(func(m *roster.Member) {
		u, s := m.Status.Upstream, m.Status
		local := s.Address == d.self
		excluded := slices.Contains(exclude, s.Address) || (local && slices.Contains(exclude, ""))
		if s.Service != service || s.Phase != roster.Serving || !u.Open || excluded {
			return
		}
		period := d.period(m)
		lost := !local && (now-m.Heard > lostPeriods*period || now < m.BlamedUntil)
		if !local && now-m.Heard > goneAfter {
			return
		}
		if lost && choice < anyKnown || !local && !m.Followed && choice < anyHeard {
			return
		}
		list = append(list, placement.Candidate{
			Address: s.Address, Local: local, SameDomain: s.Domain == d.domain,
			Pace: m.Pace.At(now), Work: workAt(m, now, work), Wait: time.Duration(u.WaitMillis) * time.Millisecond,
			Free: u.Limit - u.Running - u.Queued - m.Sent, Limit: u.Limit,
			Service:  time.Duration(u.ServiceMicros) * time.Microsecond,
			Failures: float64(u.FailurePermille) / 1000,
			Age:      now - m.Heard,
			Silent:   !local && now-m.Heard > silentPeriods*period,
		})
		members = append(members, m)
	})
	return list, members
}

// workAt returns how long the work takes at the upstream beside the member if it gets
// there now.
func workAt(m *roster.Member, now, work time.Duration) time.Duration {
	u := m.Status.Upstream
	if u.Limit <= u.Running+u.Queued+m.Sent {
		return m.Pace.Later(work)
	}
	hold, run := m.Pace.Plan(now, work)
	return hold + run
}

// Ended implements relay.Directory.
func (d *directory) Ended(c relay.Choice, class string, r *relay.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address := c.Address
	if address == "" {
		address = d.self
	}
	m := d.roster.Member(address)
	if m == nil {
		return
	}
	now := d.now()
	if r.State.ID != "" {
		d.roster.Refresh(now, address, r.State)
	}
	if r.Reason == relay.ReasonPeerUnreachable || r.Reason == relay.ReasonPeerFailed {
		m.BlamedUntil = now + blameTime
	}
	if r.Kind == relay.Answered && r.State.ServiceMicros > 0 {
		// The upstream's node knows the pace at which the request started.
		usual := time.Duration(r.State.ServiceMicros) * time.Microsecond
		old := d.workOf(class)
		d.work[class] = old + time.Duration(workWeight*float64(usual-old))
	}
}

// turn is a node's place among the readers of the store.
type turn struct{ place, readers int }

// reader reports whether this node reads the store for the others, and its turn.
// Readers are the nodes with the least hashes among those that are heard and reach the
// store, so that all nodes agree without a word.
func (d *directory) reader() (turn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, own, before, heard := d.now(), xxhash.Sum64String(d.self), 0, 0
	heardWithin := silentAfter(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.Address == d.self || now-m.Heard > heardWithin || m.Status.StoreLost || m.Status.Phase != roster.Serving {
			return
		}
		heard++
		if xxhash.Sum64String(m.Status.Address) < own {
			before++
		}
	})
	readers := max(minReaders, heard/membersPerReader)
	return turn{before, min(readers, heard+1)}, before < readers
}

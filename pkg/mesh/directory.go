package mesh

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/placement"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/spillover"
)

const (
	// avoidDuration is how long a node is avoided after it was unreachable or failed a call
	// for a reason other than its upstream. A restart of the node ends the avoidance.
	avoidDuration = 500 * time.Millisecond
	// unreachablePeriods is the number of status periods without a status after which a
	// node is chosen only if no other is left.
	unreachablePeriods = 6
	// silentPeriods is the number of status periods without a status after which a node
	// is less likely to be chosen.
	silentPeriods = 3
	// defaultServiceTime is assumed for a route without history. It is shorter than most
	// service times, so that network distance and load weigh more than a slowdown that is
	// based on little data.
	defaultServiceTime = 30 * time.Millisecond
	// minStoreReaders is the minimum number of store readers. Reads continue when several
	// of them lose the store at the same time.
	minStoreReaders = 5
	// membersPerStoreReader is the number of members for each store reader in large fleets.
	membersPerStoreReader = 15
	// routePruneThreshold is the number of routes with a mean service time above which
	// those of removed routes are deleted, as in package gate.
	routePruneThreshold = 1024
	// typicalCandidates is the number of upstreams of a service to which a node subscribes.
	typicalCandidates = 11
	// serviceTimeWeight is the weight of a new measurement in a route's moving average.
	serviceTimeWeight = 0.1
)

// directory holds the node's view of the fleet under one lock. It implements
// relay.Directory.
type directory struct {
	self    string
	domain  string
	costs   placement.Costs
	leaving spillover.Costs
	metrics metrics.Registry
	sidecar *relay.Sidecar
	start   time.Time

	mu     sync.Mutex
	roster *roster.Roster
	// serviceTimes holds the mean service time of each class at slowdown 1. The class of a
	// request is the name of its route.
	serviceTimes map[string]time.Duration
	// classes holds the other averages of each class.
	classes     map[string]*classStats
	subscribers subscriberSet
	// countedServices contains the services that have metrics of countPlacement.
	countedServices map[string]bool
	// evacuated contains the failure domains whose upstreams are not used.
	evacuated map[string]bool
}

func newDirectory(self, domain string, start time.Time) *directory {
	return &directory{
		self: self, domain: domain, costs: placement.DefaultCosts(), leaving: spillover.DefaultCosts(), start: start,
		roster: roster.New(), serviceTimes: map[string]time.Duration{}, classes: map[string]*classStats{}, countedServices: map[string]bool{},
	}
}

func (d *directory) now() time.Duration { return time.Since(d.start) }

// serviceTimeOf returns the class's mean service time at slowdown 1. The caller holds the
// lock.
func (d *directory) serviceTimeOf(class string) time.Duration {
	if t, ok := d.serviceTimes[class]; ok {
		return t
	}
	return defaultServiceTime
}

// prune deletes the averages of routes that are not in the table, if there are more than
// routePruneThreshold, and the metrics of services that are not in the table.
func (d *directory) prune(t *route.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.serviceTimes) > routePruneThreshold {
		maps.DeleteFunc(d.serviceTimes, func(name string, _ time.Duration) bool { return !t.HasRoute(name) })
	}
	if len(d.classes) > routePruneThreshold {
		maps.DeleteFunc(d.classes, func(name string, _ *classStats) bool { return !t.HasRoute(name) })
	}
	d.prunePlacementMetrics(t)
}

// Choose implements relay.Directory. It picks a candidate from the smallest candidate set
// that has one, inside the node's failure domain or outside.
func (d *directory) Choose(demand relay.Demand, exclude []string) (relay.Choice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var candidates []placement.Candidate
	var members []*roster.Member
	for set := subscribedOnly; set <= allKnown && len(candidates) == 0; set++ {
		candidates, members = d.candidates(now, demand.Service, demand.Class, exclude, set)
	}
	for i, c := range candidates {
		if !c.OwnUpstream {
			candidates[i].TransferTime = placement.TransferTime(demand.BodyBytes)
		}
	}
	candidates, members, decision := d.confine(demand, candidates, members)
	i, cost := d.costs.Pick(candidates, d.serviceTimeOf(demand.Class))
	if i < 0 {
		return relay.Choice{}, false
	}
	m := members[i]
	m.SentSinceStatus++
	d.countPlacement(demand, candidates[i].SameDomain)
	c := relay.Choice{Address: m.Status.Address, Upstream: m.Status.Upstream.ID}
	c.Detail = fmt.Sprintf("%s cost=%dms free=%d pace=%.1f age=%dms %s", c.Address, cost.Milliseconds(), candidates[i].Free, candidates[i].Slowdown, (now - m.LastSeen).Milliseconds(), describeDecision(decision))
	if cold := m.Status.Upstream.ColdMillis; cold > 0 {
		c.Detail += fmt.Sprintf(" cold=%dms", cold)
	}
	if c.Address == d.self {
		c.Address = ""
	}
	return c, true
}

// candidateSet is a set of members to which a request may be sent.
type candidateSet int

// Candidate sets; each contains the ones before it.
const (
	// subscribedOnly contains the upstreams to which the node subscribes.
	subscribedOnly candidateSet = iota
	// allReachable contains all upstreams whose nodes are not considered unreachable.
	allReachable
	// allKnown also contains those whose nodes seem unreachable but are not down.
	allKnown
)

// candidates lists the upstreams of the service that are in the set. The caller holds the
// lock.
func (d *directory) candidates(now time.Duration, service, class string, exclude []string, set candidateSet) ([]placement.Candidate, []*roster.Member) {
	list, members := make([]placement.Candidate, 0, typicalCandidates), make([]*roster.Member, 0, typicalCandidates)
	serviceTime := d.serviceTimeOf(class)
	d.roster.Each(func(m *roster.Member) {
		s := &m.Status
		u := &s.Upstream
		if s.Service != service || s.Phase != roster.Serving || !u.Accepting || d.evacuated[s.Domain] {
			return
		}
		local := s.Address == d.self
		if slices.Contains(exclude, s.Address) || (local && slices.Contains(exclude, "")) {
			return
		}
		period := d.expectedPeriod(m)
		unreachable := !local && (now-m.LastSeen > unreachablePeriods*period || now < m.AvoidedUntil)
		if !local && now-m.LastSeen > downAfter {
			return
		}
		if unreachable && set < allKnown || !local && !m.Subscribed && set < allReachable {
			return
		}
		list = append(list, placement.Candidate{
			Address: s.Address, OwnUpstream: local, SameDomain: s.Domain == d.domain,
			Slowdown: m.Slowdown.At(now), ExecutionTime: expectedExecutionTime(m, now, serviceTime), Wait: time.Duration(u.WaitMillis) * time.Millisecond,
			Free: u.Limit - u.Running - u.Queued - m.SentSinceStatus, Limit: u.Limit,
			ServiceTime:   time.Duration(u.ServiceMicros) * time.Microsecond,
			FailureRatio:  float64(u.FailurePermille) / 1000,
			ReportAge:     now - m.LastSeen,
			StatusOverdue: !local && now-m.LastSeen > silentPeriods*period,
		})
		members = append(members, m)
	})
	return list, members
}

// expectedExecutionTime returns how long a request takes from its slot at the member's
// upstream to the response, including the time for which it is deferred during a stall. The
// request gets a free slot now, or a slot at an unknown later time if none is free.
func expectedExecutionTime(m *roster.Member, now, serviceTime time.Duration) time.Duration {
	u := m.Status.Upstream
	if u.Limit <= u.Running+u.Queued+m.SentSinceStatus {
		return m.Slowdown.LaterExecutionTime(serviceTime)
	}
	deferral, run := m.Slowdown.Plan(now, serviceTime)
	return deferral + run
}

// Ended implements relay.Directory. It updates the upstream's state and the class's mean
// service time, and avoids the node for a while if it was unreachable or failed.
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
		d.roster.UpdateUpstream(now, address, r.State)
	}
	if r.Reason == relay.ReasonPeerUnreachable || r.Reason == relay.ReasonPeerFailed {
		m.AvoidedUntil = now + avoidDuration
	}
	if r.Kind == relay.Completed {
		d.observeResponse(class, r)
	}
	if r.Kind == relay.Completed && r.State.ServiceMicros > 0 {
		// ServiceMicros is normalized to slowdown 1 by the upstream's node, because only that
		// node has the slowdown at the start of the request.
		normalized := time.Duration(r.State.ServiceMicros) * time.Microsecond
		mean := d.serviceTimeOf(class)
		d.serviceTimes[class] = mean + time.Duration(serviceTimeWeight*float64(normalized-mean))
	}
}

// readTurn is a node's index among the store readers, and the number of store readers.
type readTurn struct{ index, readers int }

// storeReader returns this node's turn and whether it is a store reader, which reads the
// store on behalf of the fleet. The store readers are the nodes with the lowest hashes
// among those that are reachable and can reach the store. All nodes compute the same set
// without exchanging messages.
func (d *directory) storeReader() (readTurn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, ownHash, lowerHashes, others := d.now(), xxhash.Sum64String(d.self), 0, 0
	maxStatusAge := silenceThreshold(d.roster.Len())
	d.roster.Each(func(m *roster.Member) {
		if m.Status.Address == d.self || now-m.LastSeen > maxStatusAge || m.Status.StoreUnavailable || m.Status.Phase != roster.Serving {
			return
		}
		others++
		if xxhash.Sum64String(m.Status.Address) < ownHash {
			lowerHashes++
		}
	})
	readers := max(minStoreReaders, others/membersPerStoreReader)
	return readTurn{lowerHashes, min(readers, others+1)}, lowerHashes < readers
}

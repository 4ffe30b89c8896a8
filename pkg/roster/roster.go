// Package roster stores the status of the other nodes and of their upstreams. Each
// node sends its own status; the newest status of the latest incarnation counts. The
// package has no clock or socket. A Roster is not safe for concurrent use.
package roster

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/evacuation"
	"github.com/mulberrytray/mulberrytray/pkg/slowdown"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// Phase is the life-cycle phase of a node.
type Phase uint8

// Phases of a node.
const (
	Starting Phase = iota
	Serving
	// Stopping nodes complete their requests and accept no new ones.
	Stopping
)

// Upstream is the status of the upstream beside a node. It is encoded as an array, so
// the order and types of its fields are part of the message format.
type Upstream struct {
	ID string
	// Accepting is set while the upstream accepts requests.
	Accepting bool
	// Limit is the highest number of concurrent requests. Running and Queued are the
	// current numbers.
	Limit, Running, Queued int
	// SlowdownPercent is the slowdown of the VM: 100 is normal, 400 means that requests
	// take four times as long.
	SlowdownPercent int
	// SlowdownAgeMillis is the age of the slowdown measurement when the status was sent.
	SlowdownAgeMillis int
	// WaitMillis is the predicted wait of one more request.
	WaitMillis int
	// ServiceMicros is the mean service time without slowdown.
	ServiceMicros int
	// FailurePermille is the fraction of recent requests that failed at the upstream.
	FailurePermille int
	// ColdMillis is how long the upstream is expected to stay cold, or 0 if it is not cold or its
	// service has no cold rate. It is encoded apart, because earlier versions reject arrays of
	// another length.
	ColdMillis int `msgpack:"-"`
}

// Status is the message in which a node reports its own state. Like Upstream, it is
// encoded as an array.
type Status struct {
	// Address is where other nodes reach the node. It identifies the node.
	Address string
	// Incarnation increases with each start of a node at the address.
	Incarnation int64
	// Sequence increases with each status of one incarnation.
	Sequence      uint64
	Phase         Phase
	Domain        string
	Service       string
	ConfigVersion uint64
	// StoreUnavailable is set while the node cannot read the platform's store.
	StoreUnavailable bool
	Upstream         Upstream
	// Suspects are requests that were in flight when the node's upstream crashed. Nodes that send
	// Evidence fill it for those of the version before.
	Suspects []suspect.Entry
	// ReceiverIncarnation is the latest incarnation of the receiver that the sender
	// has seen, or 0.
	ReceiverIncarnation int64
	// StoreHistory is the newest history of the store that the node has read, or 0. It follows
	// the array, because earlier versions reject arrays of another length.
	StoreHistory uint64 `msgpack:"-"`
	// Evacuated is the newest set of evacuated failure domains that the node knows, or nil if it has
	// never known one with a domain.
	Evacuated *evacuation.Set `msgpack:"-"`
	// Evidence is what the node knows of requests that crash upstreams, or a part of it. It is not nil
	// if Suspects are only meant for nodes of the version before.
	Evidence []suspect.Evidence `msgpack:"-"`
}

// Member is a node with its latest status and local information on it.
type Member struct {
	Status Status
	// LastSeen is when the latest status arrived.
	LastSeen time.Duration
	// AddedAt is when the member was added.
	AddedAt time.Duration
	// SentSinceStatus counts the requests sent to the node since its upstream's status
	// was last updated.
	SentSinceStatus int
	// Slowdown estimates the slowdown of the node's VM.
	Slowdown slowdown.Estimator
	// Subscribed is set if this node subscribes to the member's upstream. It is also set
	// for new members until the subscriptions are computed.
	Subscribed bool
	// AvoidedUntil is the time until which requests avoid the node, because a request to
	// it failed.
	AvoidedUntil time.Duration
	// ConfigFailedAt is when the node last did not send its configuration.
	ConfigFailedAt time.Duration
	// Departures are upstreams at the node that have left, the last one at the end.
	Departures []Departure
}

// Change is the effect of a status on the roster.
type Change int

// Changes by a status.
const (
	// Ignored statuses are not newer than the stored one.
	Ignored Change = iota
	// Refreshed statuses changed neither the phase nor the upstream.
	Refreshed
	// Joined statuses are the first of a member.
	Joined
	// Replaced statuses came from a new incarnation of a member.
	Replaced
	// StateChanged statuses changed the phase, the upstream's id or whether the upstream
	// accepts requests.
	StateChanged
)

// Roster holds the members by address.
type Roster struct {
	members map[string]*Member
	// generation increases with each change of the set of nodes, their domains or
	// services.
	generation uint64
}

func New() *Roster { return &Roster{members: map[string]*Member{}} }

// Add adds a member for an address at which a node may exist.
func (r *Roster) Add(now time.Duration, address string) {
	if _, ok := r.members[address]; !ok {
		r.members[address] = &Member{Status: Status{Address: address}, AddedAt: now, LastSeen: neverSeen, ConfigFailedAt: neverSeen, Subscribed: true}
	}
}

// neverSeen is the LastSeen of a member whose status has not arrived yet.
const neverSeen = -time.Hour

// Observe processes a status that just arrived.
func (r *Roster) Observe(now time.Duration, s Status) Change {
	m := r.members[s.Address]
	if m == nil {
		m = &Member{AddedAt: now, LastSeen: neverSeen, ConfigFailedAt: neverSeen, Subscribed: true}
		r.members[s.Address] = m
	}
	old := m.Status
	if s.Incarnation < old.Incarnation || (s.Incarnation == old.Incarnation && s.Sequence <= old.Sequence) {
		return Ignored
	}
	m.Status, m.LastSeen, m.SentSinceStatus = s, now, 0
	if old.Incarnation != s.Incarnation {
		m.AvoidedUntil, m.Slowdown = 0, slowdown.Estimator{}
	}
	m.recordSlowdown(now)
	if old.Incarnation == 0 || old.Domain != s.Domain || old.Service != s.Service {
		r.generation++
	}
	switch {
	case old.Incarnation == 0:
		return Joined
	case old.Incarnation != s.Incarnation:
		return Replaced
	case old.Phase != s.Phase || old.Upstream.Accepting != s.Upstream.Accepting || old.Upstream.ID != s.Upstream.ID:
		return StateChanged
	}
	return Refreshed
}

// UpdateUpstream replaces the status of a member's upstream by the one that came with a
// response.
func (r *Roster) UpdateUpstream(now time.Duration, address string, u Upstream) {
	m := r.members[address]
	if m == nil || m.Status.Upstream.ID != u.ID {
		return
	}
	m.Status.Upstream, m.SentSinceStatus = u, 0
	m.recordSlowdown(now)
}

// recordSlowdown passes the slowdown of the stored status to the estimator.
func (m *Member) recordSlowdown(now time.Duration) {
	u := m.Status.Upstream
	if u.SlowdownPercent > 0 {
		m.Slowdown.Record(now-time.Duration(u.SlowdownAgeMillis)*time.Millisecond, float64(u.SlowdownPercent)/100)
	}
}

// Member returns the member at the address, or nil.
func (r *Roster) Member(address string) *Member { return r.members[address] }

// Remove deletes the member at the address, if there is one.
func (r *Roster) Remove(address string) {
	delete(r.members, address)
	r.generation++
}

// Generation increases with each change of the set of nodes, their domains or
// services.
func (r *Roster) Generation() uint64 { return r.generation }

// Len returns the number of known addresses.
func (r *Roster) Len() int { return len(r.members) }

// Each calls f for every member.
func (r *Roster) Each(f func(*Member)) {
	for _, m := range r.members {
		f(m)
	}
}

// CountSeenWithin returns the number of members whose latest status is at most age old.
func (r *Roster) CountSeenWithin(now, age time.Duration) int {
	n := 0
	for _, m := range r.members {
		if now-m.LastSeen <= age {
			n++
		}
	}
	return n
}

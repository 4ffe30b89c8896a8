// Package roster keeps what a node knows of the other nodes and of the upstreams
// beside them. Each node tells its own status; the newest status of the newest
// incarnation counts. The package has no clock or socket. A Roster is not safe
// for concurrent use.
package roster

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/pace"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// Phase is the part of its life that a node is in.
type Phase uint8

// Phases of a node.
const (
	Starting Phase = iota
	Serving
	// Stopping nodes finish what they have and take nothing new.
	Stopping
)

// Upstream is the status of the upstream beside a node.
type Upstream struct {
	ID string
	// Open upstreams take requests.
	Open bool
	// Limit is the number of requests that run at a time, Running those that do.
	Limit, Running, Queued int
	// Pace is the VM's speed in percent of the usual time that work takes.
	Pace int
	// PaceAgeMillis is how old the pace was when the status was sent.
	PaceAgeMillis int
	// WaitMillis is the predicted wait of one more request.
	WaitMillis int
	// ServiceMicros is the mean service time at the usual pace.
	ServiceMicros int
	// FailurePermille is the part of recent requests that failed here.
	FailurePermille int
}

// Status is what a node tells the others about itself.
type Status struct {
	// Address is the address at which other nodes reach the node; it names the node.
	Address string
	// Incarnation grows with each start of a node at the address.
	Incarnation int64
	// Sequence grows with each status of one incarnation.
	Sequence      uint64
	Phase         Phase
	Domain        string
	Service       string
	ConfigVersion uint64
	// StoreLost is set while the node cannot read the platform's store.
	StoreLost bool
	Upstream  Upstream
	// Suspects are requests that were in flight when the node's upstream ended.
	Suspects []suspect.Entry
	// Echo is the incarnation of the receiver that the sender knows, or 0.
	Echo int64
}

// Member is a node and what is known of it.
type Member struct {
	Status Status
	// Heard is when the status arrived.
	Heard time.Duration
	// Known is when the node was first known.
	Known time.Duration
	// Sent counts the requests sent to the node since its last status.
	Sent int
	Pace pace.Gauge
	// Followed members are those whose upstreams this node uses. New members are
	// until it is decided.
	Followed bool
	// BlamedUntil is until when requests avoid the node after it failed to answer.
	BlamedUntil time.Duration
}

// Change tells what a status changed.
type Change int

// Changes by a status.
const (
	Ignored Change = iota
	Refreshed
	Joined
	Replaced
	// Altered statuses changed the phase or whether the upstream takes requests.
	Altered
)

// Roster holds the members by address.
type Roster struct {
	members map[string]*Member
	// generation grows with each change of the set of nodes.
	generation uint64
}

// New returns an empty roster.
func New() *Roster { return &Roster{members: map[string]*Member{}} }

// Add notes an address at which a node may be.
func (r *Roster) Add(now time.Duration, address string) {
	if _, ok := r.members[address]; !ok {
		r.members[address] = &Member{Status: Status{Address: address}, Known: now, Heard: never, Followed: true}
	}
}

// never is the arrival time of a status that has not arrived.
const never = -time.Hour

// Observe takes a status that just arrived.
func (r *Roster) Observe(now time.Duration, s Status) Change {
	m := r.members[s.Address]
	if m == nil {
		m = &Member{Known: now, Heard: never, Followed: true}
		r.members[s.Address] = m
	}
	old := m.Status
	if s.Incarnation < old.Incarnation || (s.Incarnation == old.Incarnation && s.Sequence <= old.Sequence) {
		return Ignored
	}
	m.Status, m.Heard, m.Sent = s, now, 0
	if old.Incarnation != s.Incarnation {
		m.BlamedUntil, m.Pace = 0, pace.Gauge{}
	}
	m.reportPace(now)
	if old.Incarnation == 0 || old.Domain != s.Domain || old.Service != s.Service {
		r.generation++
	}
	switch {
	case old.Incarnation == 0:
		return Joined
	case old.Incarnation != s.Incarnation:
		return Replaced
	case old.Phase != s.Phase || old.Upstream.Open != s.Upstream.Open || old.Upstream.ID != s.Upstream.ID:
		return Altered
	}
	return Refreshed
}

// Refresh takes the state of a member's upstream that came with an answer.
func (r *Roster) Refresh(now time.Duration, address string, u Upstream) {
	m := r.members[address]
	if m == nil || m.Status.Upstream.ID != u.ID {
		return
	}
	m.Status.Upstream, m.Sent = u, 0
	m.reportPace(now)
}

func (m *Member) reportPace(now time.Duration) {
	u := m.Status.Upstream
	if u.Pace > 0 {
		m.Pace.Report(now-time.Duration(u.PaceAgeMillis)*time.Millisecond, float64(u.Pace)/100)
	}
}

// Member returns the member at the address, or nil.
func (r *Roster) Member(address string) *Member { return r.members[address] }

// Forget removes a member.
func (r *Roster) Forget(address string) {
	delete(r.members, address)
	r.generation++
}

// Generation grows with each change of the set of nodes, their domains or services.
func (r *Roster) Generation() uint64 { return r.generation }

// Len returns the number of known addresses.
func (r *Roster) Len() int { return len(r.members) }

// Each calls f for every member.
func (r *Roster) Each(f func(*Member)) {
	for _, m := range r.members {
		f(m)
	}
}

// Heard returns the number of members whose status is at most that old.
func (r *Roster) Heard(now, age time.Duration) int {
	n := 0
	for _, m := range r.members {
		if now-m.Heard <= age {
			n++
		}
	}
	return n
}

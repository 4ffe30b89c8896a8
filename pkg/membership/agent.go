package membership

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Agent maintains this node's list of the members of the fleet. It is safe for
// concurrent use.
type Agent struct {
	cfg       Config
	transport Transport
	events    *event.Logger
	budget    *budget
	metrics   *agentMetrics
	view      atomic.Pointer[view]
	// live is the number of members that are not dead or left, this node included.
	live atomic.Int64
	// newMembers counts the members added since the last list comparison began.
	newMembers atomic.Int64
	// urgentSignal wakes runUrgent.
	urgentSignal chan struct{}
	// syncRequests holds the address of the member to compare lists with next, or
	// an empty string for a random one.
	syncRequests chan string

	mu         sync.Mutex
	self       *pb.Member
	table      *table
	queue      *queue
	probeOrder []string
	onUpdate   func(*pb.Member)
}

// NewAgent returns an agent whose list holds only this node.
func NewAgent(cfg Config, self *pb.Member, transport Transport, events *event.Logger) *Agent {
	cfg = cfg.withDefaults()
	self = proto.Clone(self).(*pb.Member)
	self.Status = pb.MemberStatus_MEMBER_STATUS_ALIVE
	a := &Agent{
		cfg: cfg, transport: transport, events: events, self: self,
		budget: newBudget(cfg.BytesPerSecond, cfg.BurstBytes), metrics: newAgentMetrics(cfg.Registry),
		urgentSignal: make(chan struct{}, 1), syncRequests: make(chan string, 1),
		table: newTable(), queue: newQueue(),
	}
	a.view.Store((&view{}).with(self.Service, self.NodeId, self))
	a.updateSize()
	return a
}

// OnUpdate sets a function that is called with each accepted update. Call OnUpdate
// before Run. The function must not block and must not call the agent.
func (a *Agent) OnUpdate(f func(*pb.Member)) { a.onUpdate = f }

// Self returns this node's own entry. The caller must not modify it.
func (a *Agent) Self() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// Service returns the members of a service that are not dead or left, this node
// included, ordered by id. It takes no lock. The caller must not modify the result.
func (a *Agent) Service(name string) []*pb.Member { return a.view.Load().services[name] }

// Size returns the number of members that are not dead or left, this node included.
func (a *Agent) Size() int { return int(a.live.Load()) }

// Members returns all entries, this node's own and tombstones included, ordered by
// id. The caller must not modify the entries. Members sorts under a lock and is
// meant for operators, not for the request path.
func (a *Agent) Members() []*pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members()
}

func (a *Agent) members() []*pb.Member {
	list := make([]*pb.Member, 0, len(a.table.entries)+1)
	list = append(list, a.self)
	for _, e := range a.table.entries {
		list = append(list, e.member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].NodeId < list[j].NodeId })
	return list
}

// Random returns up to n random members that are alive and satisfy ok.
func (a *Agent) Random(n int, ok func(*pb.Member) bool) []*pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.random(n, func(m *pb.Member) bool {
		return m.Status == pb.MemberStatus_MEMBER_STATUS_ALIVE && ok(m)
	})
}

// recentMember returns a random member that is alive, with a preference for members
// added later.
func (a *Agent) recentMember() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.recentMember()
}

// UpdateSelf changes this node's own entry and disseminates it. A change of the
// configuration version alone is pushed at once and sent with each message of this
// node, but other nodes do not gossip it: with 1,600 nodes that would exceed the
// control budget.
func (a *Agent) UpdateSelf(change func(*pb.Member)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := proto.Clone(a.self).(*pb.Member)
	change(next)
	if proto.Equal(next, a.self) {
		return
	}
	old := a.self
	version := next.ConfigVersion
	next.ConfigVersion = old.ConfigVersion
	if !proto.Equal(next, old) {
		next.Sequence++
	}
	next.ConfigVersion = version
	a.setSelf(next)
	if version > old.ConfigVersion || isUrgentChange(old, next) {
		a.signalUrgent()
	}
}

// setSelf replaces this node's own entry. Each message carries it as the sender,
// so it is not queued. The caller holds the lock.
func (a *Agent) setSelf(next *pb.Member) {
	a.updateView(a.self, next)
	a.self = next
}

// updateView replaces an entry in the view. The caller holds the lock.
func (a *Agent) updateView(old, next *pb.Member) {
	v := a.view.Load()
	if old != nil && (old.Service != next.Service || isTombstone(next)) {
		v = v.with(old.Service, old.NodeId, nil)
	}
	if !isTombstone(next) {
		v = v.with(next.Service, next.NodeId, next)
	}
	a.view.Store(v)
}

func (a *Agent) updateSize() {
	a.live.Store(int64(a.table.live + 1))
	a.metrics.members.Update(int64(a.table.live + 1))
}

// isUrgentChange reports whether the change must be pushed to peers at once.
func isUrgentChange(old, next *pb.Member) bool {
	if next.Status == pb.MemberStatus_MEMBER_STATUS_LEFT {
		return true
	}
	return next.UpstreamState >= pb.UpstreamState_UPSTREAM_STATE_DRAINING &&
		(old == nil || old.UpstreamState != next.UpstreamState)
}

func (a *Agent) signalUrgent() {
	select {
	case a.urgentSignal <- struct{}{}:
	default:
	}
}

// withAge returns the entry as sent to peers: a tombstone carries its age.
func withAge(m *pb.Member, since time.Time) *pb.Member {
	if !isTombstone(m) {
		return m
	}
	m = proto.Clone(m).(*pb.Member)
	m.StatusAgeS = uint32(time.Since(since) / time.Second)
	return m
}

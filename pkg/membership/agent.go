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

// Agent is this node's view of the fleet. It is safe for concurrent use.
type Agent struct {
	cfg       Config
	transport Transport
	events    *event.Logger
	budget    *budget
	meters    *meters
	view      atomic.Pointer[view]
	present   atomic.Int64
	// learned counts members not known before, since the last comparison began.
	learned  atomic.Int64
	urgent   chan struct{}
	syncSoon chan string

	mu       sync.Mutex
	self     *pb.Member
	table    *table
	queue    *queue
	round    []string
	onUpdate func(*pb.Member)
}

// NewAgent returns an agent that knows only itself.
func NewAgent(cfg Config, self *pb.Member, transport Transport, events *event.Logger) *Agent {
	cfg = cfg.withDefaults()
	self = proto.Clone(self).(*pb.Member)
	self.Status = pb.MemberStatus_MEMBER_STATUS_ALIVE
	a := &Agent{
		cfg: cfg, transport: transport, events: events, self: self,
		budget: newBudget(cfg.BytesPerSecond, cfg.BurstBytes), meters: newMeters(cfg.Registry),
		urgent: make(chan struct{}, 1), syncSoon: make(chan string, 1),
		table: newTable(), queue: newQueue(),
	}
	a.view.Store((&view{}).with(self.Service, self.NodeId, self))
	a.updateSize()
	return a
}

// OnUpdate sets a function that is called with each accepted update. Set it
// before Run; it must not block and must not call the agent.
func (a *Agent) OnUpdate(f func(*pb.Member)) { a.onUpdate = f }

// Self returns this node's own entry. It must not be changed.
func (a *Agent) Self() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// Service returns the members of a service that are not dead or left, this node
// included, ordered by id. It takes no lock. The result must not be changed.
func (a *Agent) Service(name string) []*pb.Member { return a.view.Load().services[name] }

// Size returns the number of members that are not dead or left, this node included.
func (a *Agent) Size() int { return int(a.present.Load()) }

// Members returns all known entries, this node's own and tombstones included,
// ordered by id. The entries must not be changed. It sorts under a lock and is
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

// Random returns up to n random members that are alive and satisfy the condition.
func (a *Agent) Random(n int, ok func(*pb.Member) bool) []*pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.random(n, func(m *pb.Member) bool {
		return m.Status == pb.MemberStatus_MEMBER_STATUS_ALIVE && ok(m)
	})
}

// recent returns a random member that is alive, rather one that was learned late.
func (a *Agent) recent() *pb.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.recent()
}

// UpdateSelf changes this node's own entry and spreads it. A change of the
// configuration version alone is shown on each contact and pushed at once, but
// not passed on by others: at 1,600 nodes that would exceed the control budget.
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
	if version > old.ConfigVersion || urgentChange(old, next) {
		a.wakeUrgent()
	}
}

// setSelf replaces the own entry. It goes out as the sender of each message and
// needs no place in the queue. The caller holds the lock.
func (a *Agent) setSelf(next *pb.Member) {
	a.show(a.self, next)
	a.self = next
}

// show replaces an entry in the view. The caller holds the lock.
func (a *Agent) show(old, next *pb.Member) {
	v := a.view.Load()
	if old != nil && (old.Service != next.Service || gone(next)) {
		v = v.with(old.Service, old.NodeId, nil)
	}
	if !gone(next) {
		v = v.with(next.Service, next.NodeId, next)
	}
	a.view.Store(v)
}

func (a *Agent) updateSize() {
	a.present.Store(int64(a.table.present + 1))
	a.meters.members.Update(int64(a.table.present + 1))
}

// urgentChange reports whether peers must learn of the change at once.
func urgentChange(old, next *pb.Member) bool {
	if next.Status == pb.MemberStatus_MEMBER_STATUS_LEFT {
		return true
	}
	return next.UpstreamState >= pb.UpstreamState_UPSTREAM_STATE_DRAINING &&
		(old == nil || old.UpstreamState != next.UpstreamState)
}

func (a *Agent) wakeUrgent() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// withAge returns the entry as it is sent: a tombstone carries its age.
func withAge(m *pb.Member, since time.Time) *pb.Member {
	if !gone(m) {
		return m
	}
	m = proto.Clone(m).(*pb.Member)
	m.StatusAgeS = uint32(time.Since(since) / time.Second)
	return m
}

package membership

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Config holds the settings of an Agent.
type Config struct {
	// Period between two probes. Default 1 s.
	Period time.Duration
	// ProbeTimeout bounds a direct probe. Default 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout after which a suspect is declared dead. Default 4 s.
	SuspicionTimeout time.Duration
}

// Agent is this node's view of the fleet. It is safe for concurrent use.
type Agent struct {
	cfg       Config
	transport Transport
	events    *event.Logger

	mu       sync.RWMutex
	self     *pb.Member
	members  map[string]*pb.Member
	suspects map[string]time.Time
	onUpdate func(*pb.Member)
}

// NewAgent returns an agent that knows only itself.
func NewAgent(cfg Config, self *pb.Member, transport Transport, events *event.Logger) *Agent {
	self.Status = pb.MemberStatus_MEMBER_STATUS_ALIVE
	return &Agent{
		cfg: cfg, transport: transport, events: events, self: self,
		members: map[string]*pb.Member{}, suspects: map[string]time.Time{},
	}
}

// OnUpdate sets a function that is called with each accepted update. Set it
// before Run; it must not block.
func (a *Agent) OnUpdate(f func(*pb.Member)) { a.onUpdate = f }

// Self returns a copy of this node's own entry.
func (a *Agent) Self() *pb.Member {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return proto.Clone(a.self).(*pb.Member)
}

// UpdateSelf changes this node's own entry and spreads it.
func (a *Agent) UpdateSelf(change func(*pb.Member)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := proto.Clone(a.self).(*pb.Member)
	change(next)
	if proto.Equal(next, a.self) {
		return
	}
	next.Sequence++
	a.self = next
}

// Members returns all known entries, this node's own included, ordered by id.
// The entries must not be changed.
func (a *Agent) Members() []*pb.Member {
	a.mu.RLock()
	defer a.mu.RUnlock()
	list := make([]*pb.Member, 0, len(a.members)+1)
	list = append(list, a.self)
	for _, m := range a.members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].NodeId < list[j].NodeId })
	return list
}

// Merge applies updates received from a peer.
func (a *Agent) Merge(updates ...*pb.Member) {
	for _, u := range updates {
		a.merge(u)
	}
}

func (a *Agent) merge(u *pb.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u.GetNodeId() == "" {
		return
	}
	if u.NodeId == a.self.NodeId {
		a.refute(u)
		return
	}
	old := a.members[u.NodeId]
	if old != nil && !Supersedes(u, old) {
		return
	}
	a.members[u.NodeId] = u
	if u.Status == pb.MemberStatus_MEMBER_STATUS_SUSPECT {
		if _, ok := a.suspects[u.NodeId]; !ok {
			a.suspects[u.NodeId] = time.Now()
		}
	} else {
		delete(a.suspects, u.NodeId)
	}
	if a.onUpdate != nil {
		a.onUpdate(u)
	}
}

// refute raises the own sequence above a claim that this node is not alive.
func (a *Agent) refute(u *pb.Member) {
	if u.Incarnation != a.self.Incarnation || u.Status <= a.self.Status || u.Sequence < a.self.Sequence {
		return
	}
	next := proto.Clone(a.self).(*pb.Member)
	next.Sequence = u.Sequence + 1
	a.self = next
}

// HandlePing answers a probe of another node.
func (a *Agent) HandlePing(req *pb.PingRequest) *pb.PingResponse {
	a.Merge(req.Sender)
	a.Merge(req.Updates...)
	return &pb.PingResponse{Responder: a.Self(), Updates: a.sample()}
}

// HandleSync returns a page of the member list.
func (a *Agent) HandleSync(req *pb.SyncRequest) *pb.SyncResponse {
	a.Merge(req.Sender)
	resp := &pb.SyncResponse{}
	for _, m := range a.Members() {
		if m.NodeId <= req.AfterNodeId {
			continue
		}
		if len(resp.Members) == int(req.Limit) {
			resp.NextAfterNodeId = resp.Members[len(resp.Members)-1].NodeId
			break
		}
		resp.Members = append(resp.Members, m)
	}
	return resp
}

// maxUpdates is the number of updates on one message.
const maxUpdates = 8

func (a *Agent) sample() []*pb.Member {
	all := a.Members()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxUpdates, len(all))]
}

// syncLimit is the page size of Join.
const syncLimit = 200

// Join fetches the member list from one of the addresses.
func (a *Agent) Join(ctx context.Context, addresses []string) error {
	var err error
	for _, addr := range addresses {
		if err = a.syncFrom(ctx, addr); err == nil {
			return nil
		}
	}
	return err
}

func (a *Agent) syncFrom(ctx context.Context, addr string) error {
	after := ""
	for {
		resp, err := a.transport.Sync(ctx, addr, &pb.SyncRequest{Sender: a.Self(), AfterNodeId: after, Limit: syncLimit})
		if err != nil {
			return err
		}
		a.Merge(resp.Members...)
		if resp.NextAfterNodeId == "" {
			return nil
		}
		after = resp.NextAfterNodeId
	}
}

// Run probes one member per period until the context ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.probeOne(ctx)
			a.expireSuspects()
		}
	}
}

func (a *Agent) probeOne(ctx context.Context) {
	target := a.pick()
	if target == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	resp, err := a.transport.Ping(ctx, target.PeerAddress, &pb.PingRequest{
		Sender: a.Self(), Updates: a.sample(), TargetNodeId: target.NodeId,
	})
	if err != nil {
		suspect := proto.Clone(target).(*pb.Member)
		suspect.Status = pb.MemberStatus_MEMBER_STATUS_SUSPECT
		a.Merge(suspect)
		return
	}
	a.Merge(resp.Responder)
	a.Merge(resp.Updates...)
}

func (a *Agent) pick() *pb.Member {
	var candidates []*pb.Member
	for _, m := range a.Members() {
		if m.NodeId != a.self.NodeId && m.Status <= pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

func (a *Agent) expireSuspects() {
	a.mu.RLock()
	var expired []*pb.Member
	for id, since := range a.suspects {
		if time.Since(since) > a.cfg.SuspicionTimeout {
			dead := proto.Clone(a.members[id]).(*pb.Member)
			dead.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
			expired = append(expired, dead)
		}
	}
	a.mu.RUnlock()
	a.Merge(expired...)
}

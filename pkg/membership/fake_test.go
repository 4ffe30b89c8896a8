package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

const (
	fakeLatency = time.Millisecond
	// window over which the byte cap is checked.
	window = 10 * time.Second
)

// network is an in-memory Transport between agents. It counts bytes itself.
type network struct {
	mu    sync.Mutex
	nodes map[string]*fakeNode
	cut   func(from, to string) bool
	// records is whether nodes find each other through a log, which holds recorded.
	records  bool
	recorded []string
}

// maxRecords is the number of newest addresses that a node reads from the log.
const maxRecords = 64

// findRecords adds the node's address to the log and returns the newest ones.
func (f *fakeNode) findRecords(context.Context) []string {
	if !f.net.records {
		return nil
	}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if !slices.Contains(f.net.recorded, f.addr) {
		f.net.recorded = append(f.net.recorded, f.addr)
	}
	all := f.net.recorded
	return slices.Clone(all[max(0, len(all)-maxRecords):])
}

type fakeNode struct {
	net    *network
	addr   string
	agent  *Agent
	stop   context.CancelFunc
	done   chan struct{}
	thawed chan struct{}
	bytes  int
}

func newNetwork() *network {
	return &network{nodes: map[string]*fakeNode{}, cut: func(string, string) bool { return false }}
}

func address(i int) string { return fmt.Sprintf("127.0.12.%d:%d", i%200+1, 7000+i/200) }

// start runs a node at address i. A node that runs there is replaced.
func (n *network) start(i int, id string, incarnation uint64) *fakeNode {
	f := &fakeNode{net: n, addr: address(i), done: make(chan struct{})}
	f.agent = NewAgent(Config{}, &pb.Member{
		NodeId: id, Incarnation: incarnation, PeerAddress: f.addr, Service: "katalog",
		Region: "ostregion", FailureDomain: "vie-hall1", UpstreamState: pb.UpstreamState_UPSTREAM_STATE_READY,
	}, f, event.Discard())
	f.agent.OnUpdate(f.follow)
	n.mu.Lock()
	n.nodes[f.addr] = f
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() {
		defer close(f.done)
		var wg sync.WaitGroup
		wg.Go(func() { f.agent.Run(ctx) })
		peers := []string{address(0)}
		if n.records {
			peers = nil
		}
		wg.Go(func() { f.agent.RunContacts(ctx, peers, f.findRecords) })
		wg.Wait()
	}()
	return f
}

// followDelay is longer than the mean time to fetch a snapshot.
const followDelay = 100 * time.Millisecond

// follow makes a node install each configuration version that it hears of.
func (f *fakeNode) follow(m *pb.Member) {
	if m.ConfigVersion == 0 {
		return
	}
	go func() {
		time.Sleep(jitter(followDelay))
		f.agent.UpdateSelf(func(self *pb.Member) { self.ConfigVersion = max(self.ConfigVersion, m.ConfigVersion) })
	}()
}

func (f *fakeNode) crash() {
	f.net.mu.Lock()
	if f.net.nodes[f.addr] == f {
		delete(f.net.nodes, f.addr)
	}
	f.net.mu.Unlock()
	f.stop()
	<-f.done
}

// freeze stops the node: it answers nothing and its own calls do not return.
func (f *fakeNode) freeze() {
	f.net.mu.Lock()
	f.thawed = make(chan struct{})
	f.net.mu.Unlock()
}

func (f *fakeNode) thaw() {
	f.net.mu.Lock()
	close(f.thawed)
	f.thawed = nil
	f.net.mu.Unlock()
}

func (f *fakeNode) frozen() chan struct{} {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.thawed
}

var errUnreachable = errors.New("unreachable")

// carry sends a request to the node at addr and counts the bytes at both ends.
func carry[Req, Res proto.Message](ctx context.Context, f *fakeNode, addr string, req Req, handle func(*Agent) (Res, error)) (Res, error) {
	var none Res
	f.net.mu.Lock()
	to := f.net.nodes[addr]
	cut := f.net.cut(f.addr, addr)
	f.net.mu.Unlock()
	f.count(proto.Size(req) + RequestOverhead)
	time.Sleep(fakeLatency)
	if c := f.frozen(); c != nil {
		<-c
		return none, context.DeadlineExceeded
	}
	if to == nil && !cut {
		return none, errUnreachable
	}
	if cut || to.frozen() != nil {
		<-ctx.Done()
		if c := f.frozen(); c != nil {
			<-c
		}
		return none, ctx.Err()
	}
	to.count(proto.Size(req) + RequestOverhead)
	res, err := handle(to.agent)
	to.count(proto.Size(res) + ResponseOverhead)
	f.count(proto.Size(res) + ResponseOverhead)
	return res, err
}

func (f *fakeNode) count(n int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.bytes += n
}

func (f *fakeNode) Ping(ctx context.Context, addr string, req *pb.PingRequest) (*pb.PingResponse, error) {
	return carry(ctx, f, addr, req, func(a *Agent) (*pb.PingResponse, error) { return a.HandlePing(req) })
}

func (f *fakeNode) PingIndirect(ctx context.Context, addr string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	return carry(ctx, f, addr, req, func(a *Agent) (*pb.PingIndirectResponse, error) { return a.HandlePingIndirect(ctx, req) })
}

func (f *fakeNode) Sync(ctx context.Context, addr string, req *pb.SyncRequest) (*pb.SyncResponse, error) {
	return carry(ctx, f, addr, req, func(a *Agent) (*pb.SyncResponse, error) { return a.HandleSync(req) })
}

// fleet is a test fleet in a synctest bubble.
type fleet struct {
	*network
	t    *testing.T
	list []*fakeNode
	peak int
}

// inFleet runs f with n nodes that find each other through the log, then stops
// them. The byte cap is checked in every window of the run.
func inFleet(t *testing.T, n int, f func(*fleet)) {
	t.Helper()
	inFleetVia(t, n, 0, true, f)
}

// inStaggeredFleet starts a node each gap; they know the address of the first.
func inStaggeredFleet(t *testing.T, n int, gap time.Duration, f func(*fleet)) {
	t.Helper()
	inFleetVia(t, n, gap, false, f)
}

// inFleetVia starts a node each gap; they find each other through records on the
// log or through the address of the first.
func inFleetVia(t *testing.T, n int, gap time.Duration, records bool, f func(*fleet)) {
	t.Helper()
	if !*measure {
		t.Parallel()
	}
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{network: newNetwork(), t: t}
		fl.records = records
		ctx, cancel := context.WithCancel(context.Background())
		watched := make(chan struct{})
		go func() { defer close(watched); fl.watchBytes(ctx) }()
		for i := range n {
			fl.list = append(fl.list, fl.start(i, fmt.Sprintf("n%03d", i), 1))
			time.Sleep(gap)
		}
		defer func() {
			cancel()
			<-watched
			t.Logf("peak %d bytes/s per node over %v", fl.peak/int(window/time.Second), window)
			for _, node := range fl.list {
				node.stop()
			}
			for _, node := range fl.list {
				<-node.done
			}
			time.Sleep(2 * followDelay)
		}()
		f(fl)
	})
}

func (fl *fleet) watchBytes(ctx context.Context) {
	// The budget of the window, a full burst, and the one message with its answer
	// that may exceed the tokens left.
	limit := int(7000*window.Seconds()) + 14000 + 3*updateBytes
	seen := map[*fakeNode]int{}
	for sleep(ctx, window) {
		fl.mu.Lock()
		for _, f := range fl.nodes {
			used := f.bytes - seen[f]
			seen[f] = f.bytes
			fl.peak = max(fl.peak, used)
			if used > limit {
				fl.t.Errorf("%s used %d bytes in %v, allowed %d", f.addr, used, window, limit)
			}
		}
		fl.mu.Unlock()
	}
}

// within waits until the condition holds and fails after the bound.
func (fl *fleet) within(bound time.Duration, what string, ok func() bool) {
	fl.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > bound {
			fl.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fl.t.Logf("%s after %v", what, time.Since(start))
}

// status returns what a node knows of another one.
func (f *fakeNode) status(id string) pb.MemberStatus {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	if e := f.agent.table.entries[id]; e != nil {
		return e.member.Status
	}
	return pb.MemberStatus_MEMBER_STATUS_UNSPECIFIED
}

// allSee reports whether all nodes but those skipped see the status.
func (fl *fleet) allSee(id string, status pb.MemberStatus) bool {
	for _, f := range fl.list {
		if f.agent.Self().NodeId != id && f.status(id) != status {
			return false
		}
	}
	return true
}

// complete reports whether all nodes see n members alive.
func (fl *fleet) complete(n int) bool {
	for _, f := range fl.list {
		if f.agent.Size() != n || len(f.agent.Random(n, func(*pb.Member) bool { return true })) != n-1 {
			return false
		}
	}
	return true
}

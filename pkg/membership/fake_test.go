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
	// fakeLatency is the delay of each request.
	fakeLatency = time.Millisecond
	// byteWindow is the period over which the byte limit is checked.
	byteWindow = 10 * time.Second
)

// network connects agents in memory and counts the bytes of each node.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*fakeNode
	blocked func(from, to string) bool
	// useLog is whether nodes discover each other through a log, which holds
	// logAddresses.
	useLog       bool
	logAddresses []string
	// period is the time between two probes, or 0 for the default.
	period time.Duration
}

// maxLogAddresses is the number of newest addresses that a node reads from the log.
const maxLogAddresses = 64

// findLogAddresses adds the node's address to the log and returns the newest addresses.
func (f *fakeNode) findLogAddresses(context.Context) []string {
	if !f.net.useLog {
		return nil
	}
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if !slices.Contains(f.net.logAddresses, f.addr) {
		f.net.logAddresses = append(f.net.logAddresses, f.addr)
	}
	all := f.net.logAddresses
	return slices.Clone(all[max(0, len(all)-maxLogAddresses):])
}

// fakeNode runs an agent and is its Transport.
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
	return &network{nodes: map[string]*fakeNode{}, blocked: func(string, string) bool { return false }}
}

func address(i int) string { return fmt.Sprintf("127.0.12.%d:%d", i%200+1, 7000+i/200) }

// start runs a node at address i and replaces the node at that address, if any.
func (n *network) start(i int, id string, incarnation uint64) *fakeNode {
	f := &fakeNode{net: n, addr: address(i), done: make(chan struct{})}
	f.agent = NewAgent(Config{Period: n.period}, &pb.Member{
		NodeId: id, Incarnation: incarnation, PeerAddress: f.addr, Service: "katalog",
		Region: "ostregion", FailureDomain: "vie-hall1", UpstreamState: pb.UpstreamState_UPSTREAM_STATE_READY,
	}, f, event.Discard())
	f.agent.OnUpdate(f.installVersion)
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
		if n.useLog {
			peers = nil
		}
		wg.Go(func() { f.agent.RunDiscovery(ctx, peers, f.findLogAddresses) })
		wg.Wait()
	}()
	return f
}

// installDelay is longer than the mean time to fetch a snapshot.
const installDelay = 100 * time.Millisecond

// installVersion sets the node's configuration version to that of a received update
// after a delay.
func (f *fakeNode) installVersion(m *pb.Member) {
	if m.ConfigVersion == 0 {
		return
	}
	go func() {
		time.Sleep(jitter(installDelay))
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

// freeze pauses the node: it responds to no call, and its own calls do not return.
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

// deliver sends a request to the node at addr and counts the bytes at both nodes.
func deliver[Req, Res proto.Message](ctx context.Context, f *fakeNode, addr string, req Req, handle func(*Agent) (Res, error)) (Res, error) {
	var none Res
	f.net.mu.Lock()
	to := f.net.nodes[addr]
	blocked := f.net.blocked(f.addr, addr)
	f.net.mu.Unlock()
	f.countBytes(proto.Size(req) + RequestOverhead)
	time.Sleep(fakeLatency)
	if c := f.frozen(); c != nil {
		<-c
		return none, context.DeadlineExceeded
	}
	if to == nil && !blocked {
		return none, errUnreachable
	}
	if blocked || to.frozen() != nil {
		<-ctx.Done()
		if c := f.frozen(); c != nil {
			<-c
		}
		return none, ctx.Err()
	}
	to.countBytes(proto.Size(req) + RequestOverhead)
	res, err := handle(to.agent)
	to.countBytes(proto.Size(res) + ResponseOverhead)
	f.countBytes(proto.Size(res) + ResponseOverhead)
	return res, err
}

func (f *fakeNode) countBytes(n int) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.bytes += n
}

func (f *fakeNode) Ping(ctx context.Context, addr string, req *pb.PingRequest) (*pb.PingResponse, error) {
	return deliver(ctx, f, addr, req, func(a *Agent) (*pb.PingResponse, error) { return a.HandlePing(req) })
}

func (f *fakeNode) PingIndirect(ctx context.Context, addr string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	return deliver(ctx, f, addr, req, func(a *Agent) (*pb.PingIndirectResponse, error) { return a.HandlePingIndirect(ctx, req) })
}

func (f *fakeNode) Sync(ctx context.Context, addr string, req *pb.SyncRequest) (*pb.SyncResponse, error) {
	return deliver(ctx, f, addr, req, func(a *Agent) (*pb.SyncResponse, error) { return a.HandleSync(req) })
}

// fleet is a test fleet in a synctest bubble.
type fleet struct {
	*network
	t         *testing.T
	list      []*fakeNode
	peakBytes int
}

// runFleet runs f with n nodes that discover each other through the log, then stops
// them. The byte limit is checked in each byteWindow of the run.
func runFleet(t *testing.T, n int, f func(*fleet)) {
	t.Helper()
	runFleetWith(t, n, 0, true, f)
}

// runStaggeredFleet starts the nodes at intervals of gap. They have the address of the
// first node from the settings.
func runStaggeredFleet(t *testing.T, n int, gap time.Duration, f func(*fleet)) {
	t.Helper()
	runFleetWith(t, n, gap, false, f)
}

// runFleetWith starts the nodes at intervals of gap. They discover each other through
// the log or through the address of the first node.
func runFleetWith(t *testing.T, n int, gap time.Duration, useLog bool, f func(*fleet)) {
	t.Helper()
	net := newNetwork()
	net.useLog = useLog
	runFleetOn(t, net, n, gap, f)
}

// runFleetOn starts the nodes on the network at intervals of gap.
func runFleetOn(t *testing.T, net *network, n int, gap time.Duration, f func(*fleet)) {
	t.Helper()
	if !*measure {
		t.Parallel()
	}
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{network: net, t: t}
		ctx, cancel := context.WithCancel(context.Background())
		watcherDone := make(chan struct{})
		go func() { defer close(watcherDone); fl.watchBytes(ctx) }()
		for i := range n {
			fl.list = append(fl.list, fl.start(i, fmt.Sprintf("n%03d", i), 1))
			time.Sleep(gap)
		}
		defer func() {
			cancel()
			<-watcherDone
			t.Logf("peak %d bytes/s per node over %v", fl.peakBytes/int(byteWindow/time.Second), byteWindow)
			for _, node := range fl.list {
				node.stop()
			}
			for _, node := range fl.list {
				<-node.done
			}
			time.Sleep(2 * installDelay)
		}()
		f(fl)
	})
}

func (fl *fleet) watchBytes(ctx context.Context) {
	// The budget of the window, a full burst, and one message with its response that
	// may exceed the remaining tokens.
	limit := int(7000*byteWindow.Seconds()) + 14000 + 3*maxUpdateBytes
	seen := map[*fakeNode]int{}
	for sleep(ctx, byteWindow) {
		fl.mu.Lock()
		for _, f := range fl.nodes {
			used := f.bytes - seen[f]
			seen[f] = f.bytes
			fl.peakBytes = max(fl.peakBytes, used)
			if used > limit {
				fl.t.Errorf("%s used %d bytes in %v, allowed %d", f.addr, used, byteWindow, limit)
			}
		}
		fl.mu.Unlock()
	}
}

// within waits until ok returns true, and fails the test after the bound.
func (fl *fleet) within(bound time.Duration, what string, ok func() bool) {
	fl.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > bound {
			fl.t.Fatalf("condition not met within %v: %s", bound, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	fl.t.Logf("%s after %v", what, time.Since(start))
}

// status returns the status that this node has stored for the node with the given id.
func (f *fakeNode) status(id string) pb.MemberStatus {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	if e := f.agent.table.entries[id]; e != nil {
		return e.member.Status
	}
	return pb.MemberStatus_MEMBER_STATUS_UNSPECIFIED
}

// allHaveStatus reports whether all other nodes have stored the status for the id.
func (fl *fleet) allHaveStatus(id string, status pb.MemberStatus) bool {
	for _, f := range fl.list {
		if f.agent.Self().NodeId != id && f.status(id) != status {
			return false
		}
	}
	return true
}

// complete reports whether each node's list has n members, all of them alive.
func (fl *fleet) complete(n int) bool {
	for _, f := range fl.list {
		if f.agent.Size() != n || len(f.agent.Random(n, func(*pb.Member) bool { return true })) != n-1 {
			return false
		}
	}
	return true
}

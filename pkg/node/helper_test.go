package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
	"github.com/mulberrytray/mulberrytray/internal/standin/upstream"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// TestMain fails if a stopped node leaves goroutines running. One ticker goroutine of
// go-metrics is ignored: by design it serves all meters of the process.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// waitLimit bounds each wait. It is far longer than any step takes and only ends a
// failing test.
const waitLimit = 20 * time.Second

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v: %s", waitLimit, what)
		}
	}
}

// serve runs a handler on an address of the test network until the test ends.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.21.2:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func newLog(t *testing.T) (*platformlog.Server, string) {
	log := platformlog.New(time.Hour)
	return log, "http://" + serve(t, log.Handler())
}

// freeAddress returns an address whose port was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.21.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func validSettings() Settings {
	return Settings{
		NodeID: "katalog-1", Region: "ostregion", FailureDomain: "vie-hall1",
		CallerAddress: "127.0.21.1:1", PeerAddress: "127.0.21.1:2", LocalAddress: "127.0.21.1:3", AdminAddress: "127.0.21.1:4",
		LogURL: "http://127.0.21.2:1", DefaultTimeout: 10 * time.Second, LogTimeout: time.Second, ProbePeriod: 50 * time.Millisecond,
		LogRetention: time.Hour, LogFormat: "text", LogLevel: "info",
	}
}

// testNode is a node with an operator client and helpers that act as a caller.
type testNode struct {
	*Node
	operator pbconnect.OperatorServiceClient
	stopped  bool
}

func startNode(t *testing.T, id, logURL string, peers ...string) *testNode {
	t.Helper()
	n := newNode(t, id, logURL, peers...)
	n.start(t)
	return n
}

func newNode(t *testing.T, id, logURL string, peers ...string) *testNode {
	t.Helper()
	s := validSettings()
	s.NodeID, s.LogURL, s.Peers = id, logURL, peers
	s.CallerAddress, s.PeerAddress = freeAddress(t), freeAddress(t)
	s.LocalAddress, s.AdminAddress = freeAddress(t), freeAddress(t)
	n, err := New(s, event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{Node: n, operator: pbconnect.NewOperatorServiceClient(http.DefaultClient, "http://"+s.AdminAddress)}
}

func (n *testNode) start(t *testing.T) {
	t.Helper()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.stop(t) })
}

func (n *testNode) stop(t *testing.T) {
	t.Helper()
	if n.stopped {
		return
	}
	n.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		t.Errorf("stop of %s: %v", n.settings.NodeID, err)
	}
}

// startUpstream starts an upstream that announces itself to the node, and waits until the
// node can route to it.
func (n *testNode) startUpstream(t *testing.T, service string) *upstream.Server {
	t.Helper()
	var u *upstream.Server
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.ServeHTTP(w, r) }))
	u = upstream.New(upstream.Config{
		Service: service, Address: address, Slots: 4, ServiceTime: 5 * time.Millisecond,
		AnnounceURL: "http://" + n.settings.LocalAddress + "/v1/announce", NodeURL: "http://" + n.settings.CallerAddress,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.Announce(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	waitFor(t, "the upstream is a candidate", func() bool { return len(n.Candidates(service)) > 0 })
	return u
}

// deployedIntent returns the intent file from the deploy folder with the replacements
// applied.
func deployedIntent(t *testing.T, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile("../../deploy/liegewerk/intent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(replacements...).Replace(string(data))
}

// propose proposes an intent and returns the response.
func (n *testNode) propose(t *testing.T, yaml string) *pb.ProposeResponse {
	t.Helper()
	resp, err := n.operator.Propose(t.Context(), connect.NewRequest(&pb.ProposeRequest{IntentYaml: yaml, Operator: "anna"}))
	if err != nil {
		t.Fatal(err)
	}
	return resp.Msg
}

// configure proposes and confirms an intent.
func (n *testNode) configure(t *testing.T, yaml string) {
	t.Helper()
	p := n.propose(t, yaml)
	resp, err := n.operator.Confirm(t.Context(), connect.NewRequest(&pb.ConfirmRequest{
		ProposalId: p.ProposalId, PlanDigest: p.PlanDigest, Operator: "anna",
	}))
	if err != nil || !resp.Msg.Accepted {
		t.Fatalf("confirmation: %v, %v", resp, err)
	}
}

func (n *testNode) setDrain(t *testing.T, nodeID string, drain bool) *pb.SetDrainResponse {
	t.Helper()
	resp, err := n.operator.SetDrain(t.Context(), connect.NewRequest(&pb.SetDrainRequest{NodeId: nodeID, Drain: drain, Operator: "anna"}))
	if err != nil {
		t.Fatal(err)
	}
	return resp.Msg
}

// response is a complete response to a caller.
type response struct {
	status  int
	outcome outcome.Outcome
	body    string
	err     error
}

// call sends a request for the service katalog through the node. The header is given as
// pairs of name and value.
func (n *testNode) call(header ...string) (result response) {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.settings.CallerAddress+"/stock", nil)
	if err != nil {
		return response{err: err}
	}
	r.Header.Set(outcome.HeaderService, "katalog")
	r.Header.Set(outcome.HeaderRank, "browse")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, outcome: outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)), body: string(body), err: err}
}

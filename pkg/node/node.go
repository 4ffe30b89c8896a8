// Package node wires the parts of one node together and runs them.
package node

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/rcrowley/go-metrics"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/configlog/httplog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/idempotency"
	"github.com/mulberrytray/mulberrytray/pkg/ingress"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/membership"
	"github.com/mulberrytray/mulberrytray/pkg/operator"
	"github.com/mulberrytray/mulberrytray/pkg/peer"
	"github.com/mulberrytray/mulberrytray/pkg/quarantine"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
	"github.com/mulberrytray/mulberrytray/pkg/telemetry"
)

// Life cycle states and events.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
	stateStopped  = "stopped"

	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// leaseTTL is shorter than the 3 s within which a leaving upstream must get no
// new work, by one announcement interval.
const leaseTTL = 2500 * time.Millisecond

// Node is one process of the system.
type Node struct {
	settings    Settings
	incarnation uint64
	events      *event.Logger
	registry    metrics.Registry
	lifecycle   *fsm.FSM

	log     configlog.Log
	keeper  *configlog.Keeper
	peers   *peer.Client
	agent   *membership.Agent
	sidecar *sidecar.Sidecar
	// tokens and quarantine belong to the sidecar; guard is set with it.
	tokens     *idempotency.Registry
	quarantine *quarantine.Table
	guard      *quarantine.Guard
	ingress    *ingress.Ingress
	// newer takes the address of a peer that shows a newer configuration.
	newer chan string
	meter fleetMeter
	drain drainState
	// poll returns the time until the next read of the log.
	poll func() time.Duration

	servers  servers
	draining atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New provisions a node from valid settings.
func New(s Settings, events *event.Logger) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	logURL, err := url.Parse(s.LogURL)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		settings:    s,
		incarnation: uint64(time.Now().UnixMicro()),
		events:      events.With(event.Fields{"node": s.NodeID}),
		registry:    metrics.NewRegistry(),
		log:         httplog.New(logURL, s.LogTimeout),
		peers:       peer.NewClient(90 * time.Second),
	}
	n.lifecycle = fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventServe, Src: []string{stateStarting}, Dst: stateServing},
		{Name: eventDrain, Src: []string{stateStarting, stateServing}, Dst: stateDraining},
		{Name: eventStop, Src: []string{stateDraining}, Dst: stateStopped},
	}, fsm.Callbacks{})
	n.quarantine = quarantine.NewTable(quarantine.TableConfig{})
	n.tokens, err = idempotency.New(idempotency.Config{NodeID: s.NodeID, Incarnation: n.incarnation})
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n.keeper = configlog.NewKeeper(n.log, n.events, configlog.WithRetention(s.LogRetention))
	n.sidecar = n.newSidecar()
	n.agent = membership.NewAgent(membership.Config{
		Period: s.ProbePeriod, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 4 * time.Second,
		Registry: n.registry,
	}, &pb.Member{
		NodeId: s.NodeID, Incarnation: n.incarnation, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Region: s.Region, FailureDomain: s.FailureDomain,
	}, n.peers, n.events)
	n.newer = make(chan string, 1)
	n.poll = n.pollInterval
	n.agent.OnUpdate(n.noteVersion)
	n.ingress = n.newIngress()
	return n, nil
}

// Start opens the listeners and starts all duties.
func (n *Node) Start() error {
	n.events.Emit(event.NodeStarting, nil)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	peerMux := http.NewServeMux()
	(&peer.Handler{
		OnPing: n.handlePing, OnPingIndirect: n.agent.HandlePingIndirect,
		OnSync: n.handleSync, OnSnapshot: n.handleSnapshot,
		OnQuarantine: n.handleQuarantine, OnIssueToken: n.handleIssueToken, OnProbeLoad: n.handleProbe,
		OnReadLog: n.handleReadLog,
	}).Mount(peerMux)
	peerMux.Handle("/", n.sidecar.Label(n.tokens.Wrap(n.sidecar)))
	localMux := http.NewServeMux()
	localMux.HandleFunc("/v1/announce", n.sidecar.ServeAnnounce)
	adminMux := http.NewServeMux()
	operator.New(n.keeper, n, operator.WithExplainer(n.ingress), operator.WithCapacity(n.fleetCapacity),
		operator.WithDelivery(n.deliverOrder)).Mount(adminMux)
	adminMux.Handle("GET /metrics", telemetry.Handler(n.registry))
	if err := n.listenAll(peerMux, localMux, adminMux, n.ingress); err != nil {
		n.closeServers()
		cancel()
		return err
	}
	n.goDo(func() { n.keeper.Run(ctx, n.poll) })
	n.goDo(func() { n.agent.Run(ctx) })
	n.goDo(func() { n.announceSelf(ctx) })
	n.goDo(func() { n.followPeers(ctx) })
	n.goDo(func() { n.refreshSelf(ctx) })
	n.goDo(func() { n.gossipQuarantine(ctx) })
	n.goDo(func() { n.followDrain(ctx) })
	n.goDo(func() { n.probeLoads(ctx) })
	if err := n.lifecycle.Event(ctx, eventServe); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.events.Emit(event.NodeServing, nil)
	return nil
}

func (n *Node) goDo(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Candidates implements ingress.Directory.
func (n *Node) Candidates(service string) []routing.Candidate {
	var out []routing.Candidate
	for _, m := range n.agent.Service(service) {
		usable := m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_READY || m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_WARMING
		if !usable {
			continue
		}
		out = append(out, routing.Candidate{
			NodeID: m.NodeId, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, FailureDomain: m.FailureDomain,
			Slots: int(m.Slots), Warming: m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_WARMING,
		})
	}
	return out
}

// Intent implements ingress.Intents.
func (n *Node) Intent() *intent.Intent { return n.keeper.Current().Intent }

// Members implements operator.Fleet.
func (n *Node) Members() []*pb.Member { return n.agent.Members() }

// Status implements operator.Fleet.
func (n *Node) Status() *pb.NodeStatusResponse {
	cur := n.keeper.Current()
	resp := &pb.NodeStatusResponse{
		Member: n.agent.Self(), Load: n.sidecar.Load(), Lifecycle: n.lifecycle.Current(),
		ConfigVersion: cur.Version, IntentYaml: cur.State.IntentYaml, LogReachable: true,
		LogNextOffset: cur.State.NextOffset, ConfigAgeMs: time.Since(cur.Installed).Milliseconds(),
	}
	if err := n.keeper.LogError(); err != nil {
		resp.LogReachable, resp.LogError = false, err.Error()
	}
	return resp
}

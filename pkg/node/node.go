// Package node assembles the components of one node and runs them.
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

// States and events of the node's life cycle.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
	stateStopped  = "stopped"

	eventServe = "serve"
	eventDrain = "drain"
	eventStop  = "stop"
)

// leaseTTL is one announcement interval shorter than 3 s, the time after which a
// leaving upstream must receive no new requests.
const leaseTTL = 2500 * time.Millisecond

// Node is one node of the load balancer: ingress, sidecar and membership agent.
type Node struct {
	settings    Settings
	incarnation uint64
	events      *event.Logger
	registry    metrics.Registry
	lifecycle   *fsm.FSM

	log     configlog.Log
	replica *configlog.Replica
	peers   *peer.Client
	agent   *membership.Agent
	sidecar *sidecar.Sidecar
	// tokens, quarantine and guard handle the sidecar's requests. newSidecar sets guard.
	tokens     *idempotency.Registry
	quarantine *quarantine.Table
	guard      *quarantine.Guard
	ingress    *ingress.Ingress
	// newerPeers carries the address of a peer that has a newer configuration.
	newerPeers chan string
	capacity   capacityCache
	drain      drainState
	// poll returns the time until the next read of the log.
	poll func() time.Duration

	servers  servers
	draining atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New validates the settings and returns a node that has not started.
func New(s Settings, events *event.Logger) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	logURL, err := url.Parse(s.LogURL)
	if err != nil {
		return nil, fmt.Errorf("node: parse log URL: %w", err)
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
		return nil, fmt.Errorf("node: create token registry: %w", err)
	}
	n.replica = configlog.NewReplica(n.log, n.events, configlog.WithRetention(s.LogRetention))
	n.sidecar = n.newSidecar()
	n.agent = membership.NewAgent(membership.Config{
		Period: s.ProbePeriod, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 4 * time.Second,
		Registry: n.registry,
	}, &pb.Member{
		NodeId: s.NodeID, Incarnation: n.incarnation, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Region: s.Region, FailureDomain: s.FailureDomain,
	}, n.peers, n.events)
	n.newerPeers = make(chan string, 1)
	n.poll = n.pollInterval
	n.agent.OnUpdate(n.onMemberUpdate)
	n.ingress = n.newIngress()
	return n, nil
}

// Start opens the listeners and starts the background tasks.
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
	peerMux.Handle("/", n.sidecar.WithResponseHeaders(n.tokens.Wrap(n.sidecar)))
	localMux := http.NewServeMux()
	localMux.HandleFunc("/v1/announce", n.sidecar.ServeAnnounce)
	adminMux := http.NewServeMux()
	operator.New(n.replica, n, operator.WithExplainer(n.ingress), operator.WithCapacity(n.fleetCapacity),
		operator.WithDrainDelivery(n.deliverOrder)).Mount(adminMux)
	adminMux.Handle("GET /metrics", telemetry.Handler(n.registry))
	if err := n.listenAll(peerMux, localMux, adminMux, n.ingress); err != nil {
		n.closeServers()
		cancel()
		return err
	}
	n.spawn(func() { n.replica.Run(ctx, n.poll) })
	n.spawn(func() { n.agent.Run(ctx) })
	n.spawn(func() { n.announceSelf(ctx) })
	n.spawn(func() { n.fetchFromPeers(ctx) })
	n.spawn(func() { n.refreshSelf(ctx) })
	n.spawn(func() { n.gossipQuarantine(ctx) })
	n.spawn(func() { n.watchDrainOrders(ctx) })
	n.spawn(func() { n.probeLoads(ctx) })
	if err := n.lifecycle.Event(ctx, eventServe); err != nil {
		return fmt.Errorf("node: start: %w", err)
	}
	n.events.Emit(event.NodeServing, nil)
	return nil
}

// spawn runs f on a goroutine that Stop waits for.
func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// Candidates returns the ready and warming upstreams of a service. It implements
// ingress.Directory.
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

// Intent returns the intent in force, or nil. It implements ingress.Intents.
func (n *Node) Intent() *intent.Intent { return n.replica.Current().Intent }

// Members returns all known members. It implements operator.Fleet.
func (n *Node) Members() []*pb.Member { return n.agent.Members() }

// Status returns the state of this node. It implements operator.Fleet.
func (n *Node) Status() *pb.NodeStatusResponse {
	cur := n.replica.Current()
	resp := &pb.NodeStatusResponse{
		Member: n.agent.Self(), Load: n.sidecar.Load(), Lifecycle: n.lifecycle.Current(),
		ConfigVersion: cur.Version, IntentYaml: cur.State.IntentYaml, LogReachable: true,
		LogNextOffset: cur.State.NextOffset, ConfigAgeMs: time.Since(cur.Installed).Milliseconds(),
	}
	if err := n.replica.LogError(); err != nil {
		resp.LogReachable, resp.LogError = false, err.Error()
	}
	return resp
}

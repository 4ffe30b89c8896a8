package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/drain"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/telemetry"
)

const (
	// aloneAfter is how long a node that hears no other waits before it is ready.
	aloneAfter = 1200 * time.Millisecond
	// headerLimit is how long others than callers may take to send the header of a request.
	headerLimit = 10 * time.Second
	// unreadyTime is how long a stopping node still takes requests: its callers need
	// two failed readiness checks, one a second, until they turn to another node.
	unreadyTime = 2300 * time.Millisecond
	// finishTime is left of unreadyTime for calls that run when the upstream takes no more.
	finishTime = 700 * time.Millisecond
	// stopReserve is left of the time to stop for closing connections.
	stopReserve = 600 * time.Millisecond
	// stopPoll is how often a stopping node looks whether it is done.
	stopPoll = 20 * time.Millisecond
	// dropReport is how often dropped log lines are reported.
	dropReport = 5 * time.Second
)

// Ports are what a node needs from outside.
type Ports struct {
	Names    relay.Names
	Configs  Configs
	Registry Registry
	// Announcements returns the handler that takes the upstream's announcements.
	Announcements func(*relay.Sidecar) http.Handler
	Events        *event.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// Node runs beside one upstream. Provision, then Run.
type Node struct {
	settings Settings
	ports    Ports
	start    time.Time
	metrics  metrics.Registry

	dir      *directory
	gossip   *gossip
	sidecar  *relay.Sidecar
	ingress  *relay.Ingress
	peers    *relay.HTTPPeers
	follower *follower
	fetcher  *fetcher
	configs  *configServer

	// servers begin with that of the callers.
	servers   []*http.Server
	listeners []net.Listener
	stopping  atomic.Bool
	ready     atomic.Bool
	tableAt   atomic.Int64
	// installed is signalled when the first table is in force.
	installed chan struct{}
	wg        sync.WaitGroup
}

// New returns a node with the settings. Errors wrap ErrSettings.
func New(s Settings, p Ports) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Node{settings: s, ports: p, start: time.Now(), metrics: metrics.NewRegistry(), installed: make(chan struct{}, 1)}, nil
}

// Provision opens the listeners and connects the parts.
func (n *Node) Provision() error {
	s, p := n.settings, n.ports
	udp, err := net.ResolveUDPAddr("udp", s.PeerAddress)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	n.dir = newDirectory(s.PeerAddress, s.Domain, n.start)
	n.gossip = newGossip(n.dir, conn, p.Events)
	n.sidecar = relay.NewSidecar(p.Names, s.Service, s.UpstreamAddress, p.Events, n.gossip.tell, n.gossip.tellAll)
	n.dir.sidecar = n.sidecar
	n.gossip.status, n.gossip.heard = n.status, n.heard
	n.peers = relay.NewHTTPPeers()
	n.ingress = &relay.Ingress{
		Names: p.Names, Service: s.Service, Dir: n.dir, Peers: n.peers, Sidecar: n.sidecar, Events: p.Events, Metrics: n.metrics,
	}
	n.ingress.Provision()
	n.follower = &follower{configs: p.Configs, events: p.Events, install: n.install, spread: n.gossip.tellAll, role: n.dir.reader}
	n.fetcher = newFetcher(n.follower, n.dir, n.peers, p.Events)
	n.configs = newConfigServer(n.ingress.Table, p.Events)
	n.gauges()
	return n.listen()
}

func (d *directory) len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Len()
}

// gauges registers what is read when the metrics are asked for.
func (n *Node) gauges() {
	for name, value := range map[string]func() int64{
		"requests.active":   n.ingress.Active,
		"members":           func() int64 { return int64(n.dir.len()) },
		"config.version":    func() int64 { return int64(n.follower.version()) },
		"log.dropped":       n.ports.Dropped,
		"upstream.dials":    n.sidecar.Dials,
		"upstream.running":  func() int64 { return int64(n.sidecar.Status().Running) },
		"upstream.queued":   func() int64 { return int64(n.sidecar.Status().Queued) },
		"upstream.pace":     func() int64 { return int64(n.sidecar.Status().Pace) },
		"upstream.failures": func() int64 { return int64(n.sidecar.Status().FailurePermille) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, n.metrics, value)
	}
}

func (n *Node) listen() error {
	s := n.settings
	callers := &http.Server{Handler: n.ingress, ConnState: newConnections(n.ingress.Table).note}
	list := []struct {
		name, address string
		server        *http.Server
	}{
		{"caller", s.CallerAddress, callers},
		{"peer", s.PeerAddress, relay.NewPeerServer(http.HandlerFunc(n.servePeer))},
		{"ready", s.ReadyAddress, &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerLimit}},
		{"announce", s.AnnounceAddress, &http.Server{Handler: n.ports.Announcements(n.sidecar), ReadHeaderTimeout: headerLimit}},
	}
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", telemetry.Handler(n.metrics))
		list = append(list, struct {
			name, address string
			server        *http.Server
		}{"metrics", s.MetricsAddress, &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}})
	}
	for _, l := range list {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		n.servers = append(n.servers, l.server)
		n.listeners = append(n.listeners, drain.NewListener(listener.(*net.TCPListener)))
	}
	return nil
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.ports.Events.Emit(event.NodeStarting, event.Fields{"peer": n.settings.PeerAddress, "service": n.settings.Service, "domain": n.settings.Domain})
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for i, server := range n.servers {
		n.spawn(func() {
			if err := server.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				n.ports.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error()})
			}
		})
	}
	n.spawn(n.gossip.receive)
	n.spawn(func() { n.gossip.send(work) })
	n.spawn(func() { n.follower.run(work) })
	n.spawn(func() { n.fetcher.run(work) })
	n.spawn(func() { n.register(work) })
	n.spawn(func() { n.unregister(work) })
	n.spawn(func() { n.sidecar.Watch(work) })
	n.spawn(func() { n.probe(work) })
	n.spawn(func() { n.reportDrops(work) })
	<-ctx.Done()
	n.stop()
	cancel()
	_ = n.gossip.conn.Close()
	n.wg.Wait()
	n.ports.Events.Emit(event.NodeStopped, event.Fields{"active": n.ingress.Active()})
	return nil
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// status is what the other nodes are told.
func (n *Node) status() roster.Status {
	phase := roster.Serving
	if n.sidecar.Stopped() {
		phase = roster.Stopping
	}
	return roster.Status{
		Address: n.settings.PeerAddress, Phase: phase, Domain: n.settings.Domain, Service: n.settings.Service,
		ConfigVersion: n.follower.version(), StoreLost: n.follower.storeLost(), Upstream: n.sidecar.Status(), Suspects: n.sidecar.Suspects(),
	}
}

// heard takes note of a status of another node.
func (n *Node) heard(s roster.Status, change roster.Change) {
	fields := event.Fields{
		"member": s.Address, "incarnation": s.Incarnation, "sequence": s.Sequence, "service": s.Service, "phase": int(s.Phase),
		"open": s.Upstream.Open, "upstream": s.Upstream.ID, "config": s.ConfigVersion,
	}
	n.sidecar.Suspected(s.Address, s.Suspects)
	switch change {
	case roster.Joined:
		n.ports.Events.Emit(event.MemberJoined, fields)
	case roster.Replaced:
		n.ports.Events.Emit(event.MemberReplaced, fields)
	case roster.Altered:
		n.ports.Events.Emit(event.MemberAltered, fields)
	}
	if s.ConfigVersion > n.follower.version() {
		n.fetcher.want()
	}
}

func (n *Node) install(t *route.Table) {
	n.ingress.Install(t)
	n.sidecar.Install(t)
	n.dir.install(t)
	if n.tableAt.CompareAndSwap(0, int64(time.Since(n.start))) {
		n.installed <- struct{}{}
	}
	n.gossip.tell()
}

// servePeer serves the calls of other nodes and gives them the configuration.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case relay.CallPath:
		n.sidecar.ServePeer(w, r)
	case relay.ConfigPath:
		n.configs.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serveReady tells whether callers should use the node.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := n.readiness()
	if n.ready.Swap(ok) != ok {
		n.ports.Events.Emit(event.ReadinessChanged, event.Fields{"ready": ok, "reason": reason})
	}
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) readiness() (bool, string) {
	if n.stopping.Load() {
		return false, "stopping"
	}
	if n.ingress.Table() == nil {
		return false, "no configuration"
	}
	if n.dir.len() < 2 && time.Since(n.start)-time.Duration(n.tableAt.Load()) < aloneAfter {
		return false, "no other node heard yet"
	}
	return true, "serving"
}

// register leaves the node's address in the registry and takes the others'.
func (n *Node) register(ctx context.Context) {
	pause := firstRetry
	for {
		err := n.registerOnce(ctx)
		if err == nil {
			return
		}
		n.ports.Events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "register"})
		if !sleep(ctx, pause) {
			return
		}
		pause = min(lastRetry, pause*2)
	}
}

func (n *Node) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	addresses, err := n.registered(ctx)
	if err != nil {
		return err
	}
	n.dir.mu.Lock()
	for _, a := range addresses {
		n.dir.roster.Add(n.dir.now(), a)
	}
	n.dir.mu.Unlock()
	n.ports.Events.Emit(event.NodeRegistered, event.Fields{"known": len(addresses)})
	n.gossip.greet()
	return nil
}

// registered returns all registered addresses, the node's own among them. Addresses
// outlive their node, so that one that restarts needs no call to register again. A
// new one reads after it has registered: of two that start together, the later one
// sees the other.
func (n *Node) registered(ctx context.Context) ([]string, error) {
	if !n.settings.FirstStart {
		addresses, err := n.ports.Registry.Addresses(ctx)
		if err != nil || slices.Contains(addresses, n.settings.PeerAddress) {
			return addresses, err
		}
	}
	if err := n.ports.Registry.Register(ctx, n.settings.PeerAddress); err != nil {
		return nil, err
	}
	return n.ports.Registry.Addresses(ctx)
}

// reportDrops logs how many lines were dropped since the last report.
func (n *Node) reportDrops(ctx context.Context) {
	last := int64(0)
	for sleep(ctx, dropReport) {
		if d := n.ports.Dropped(); d > last {
			n.ports.Events.Emit(event.LinesDropped, event.Fields{"count": d - last})
			last = d
		}
	}
}

// stop takes the node out of service without cutting a request. The upstream goes
// on taking calls for most of the time that the node has to stay for its callers.
func (n *Node) stop() {
	begun := time.Now()
	n.stopping.Store(true)
	n.ports.Events.Emit(event.NodeDraining, event.Fields{"active": n.ingress.Active(), "running": n.sidecar.Running()})
	n.ingress.CloseConnections()
	limit := begun.Add(n.settings.StopWithin - stopReserve)
	closed := false
	for time.Now().Before(limit) {
		if !closed && time.Since(begun) > unreadyTime-finishTime {
			n.sidecar.Stop()
			closed = true
		}
		idle := n.ingress.Active() == 0 && n.sidecar.Running() == 0
		if time.Since(begun) > unreadyTime {
			if idle {
				break
			}
			// Callers that still come may have no other node to go to.
			n.ingress.LeaveAt(limit)
		}
		time.Sleep(stopPoll)
	}
	n.closeServers(limit.Add(stopReserve / 2))
}

// closeServers waits for the callers' requests and then closes all connections.
func (n *Node) closeServers(limit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	// A connection that was accepted while the listener closed is known to the second.
	for range 2 {
		if err := n.servers[0].Shutdown(ctx); err != nil {
			n.ports.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error(), "during": "stop", "active": n.ingress.Active()})
		}
		time.Sleep(stopPoll)
	}
	for _, s := range n.servers {
		if err := s.Close(); err != nil {
			n.ports.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error(), "during": "stop"})
		}
	}
}

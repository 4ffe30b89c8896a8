package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/connlimit"
	"github.com/mulberrytray/mulberrytray/pkg/drain"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
	"github.com/mulberrytray/mulberrytray/pkg/pipeline"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
	"github.com/mulberrytray/mulberrytray/pkg/telemetry"
)

const (
	// aloneReadyDelay is how long a node without other members waits after its first
	// configuration before it is ready.
	aloneReadyDelay = 1200 * time.Millisecond
	// maxCallerHeaderBytes bounds the header of a caller's request, for which the configuration
	// has a lower limit.
	maxCallerHeaderBytes = 128 << 10
	// dropReportInterval is how often dropped log lines and closed connections are reported.
	dropReportInterval = 5 * time.Second
	// smallRequestTimeout bounds receiving a request at the small listeners, with its body.
	smallRequestTimeout = 3 * time.Second
	// smallIdleTimeout is how long a connection of a small listener may stay idle.
	smallIdleTimeout = 3 * time.Minute
	// callerListener and peerListener are the names of the listeners for callers and other nodes.
	callerListener, peerListener = "caller", "peer"
)

// Dependencies holds the external dependencies of a node.
type Dependencies struct {
	Names    relay.HeaderNames
	Configs  Configs
	Registry Registry
	// Announcements returns the handler that receives the upstream's announcements.
	Announcements func(*relay.Sidecar) http.Handler
	Events        *event.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// Node runs beside one upstream. Call Provision before Run.
type Node struct {
	settings Settings
	deps     Dependencies
	start    time.Time
	metrics  metrics.Registry

	dir     *directory
	gossip  *gossip
	sidecar *relay.Sidecar
	ingress *relay.Ingress
	peers   *relay.HTTPPeers
	// bodies limits the memory for bodies of requests and responses.
	bodies *bodybuf.Budget
	// requests limits the requests in progress.
	requests *relay.RequestLimit
	watcher  *configWatcher
	history  *storeHistory
	fetcher  *fetcher
	watchdog *watchdog
	quotas   *quotas
	// departures stores the departures of the upstream beside the node.
	departures *departureStore
	// evacuations holds the evacuated failure domains.
	evacuations *evacuations
	configs     *configServer
	// connections are those of the callers.
	connections *callerConnections

	// headers limits the memory of headers, limited are the listeners that do so.
	headers *connlimit.Limiter
	limited []limitedListener

	// servers and listeners have the same order. The first server is that for callers.
	servers   []*http.Server
	listeners []net.Listener
	stopping  atomic.Bool
	ready     atomic.Bool
	// firstTableAt is when the first table was installed, in nanoseconds since the start.
	firstTableAt atomic.Int64
	// installed receives a value when the first table is in force.
	installed chan struct{}
	wg        sync.WaitGroup
}

// New validates the settings and returns a node. Errors wrap ErrSettings.
func New(s Settings, d Dependencies) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Node{settings: s, deps: d, start: time.Now(), metrics: metrics.NewRegistry(), installed: make(chan struct{}, 1)}, nil
}

// Provision opens the listeners and creates the node's components.
func (n *Node) Provision() error {
	s, d := n.settings, n.deps
	udp, err := net.ResolveUDPAddr("udp", s.PeerAddress)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	n.dir = newDirectory(s.PeerAddress, s.Domain, n.start)
	n.gossip = newGossip(n.dir, conn, d.Events)
	n.sidecar = relay.NewSidecar(d.Names, s.Service, s.UpstreamAddress, d.Events, n.gossip.requestSend, n.upstreamChanged)
	n.sidecar.SetMaxAnnouncementDelay(s.MaxAnnouncementDelay)
	n.sidecar.SetColdBound(s.Cold.Overage, s.Cold.Slack)
	n.bodies = bodybuf.NewBudget(s.bodyMemory())
	n.sidecar.SetBodies(n.bodies)
	n.headers = connlimit.NewLimiter(s.headerMemory())
	n.requests = relay.NewRequestLimitWith(s.requestMemory(), s.bodyLimits())
	n.sidecar.SetRequestLimit(n.requests)
	n.bodies.SetReclaim(func() bool { return n.requests.Evict(intake.Place) })
	n.headers.SetReclaim(func() bool { return n.requests.Evict(intake.Header) })
	n.dir.sidecar, n.dir.metrics = n.sidecar, n.metrics
	n.gossip.status, n.gossip.onStatus, n.gossip.evidence = n.status, n.handleStatus, n.sidecar.Evidence
	n.gossip.departure, n.gossip.onDeparture = n.departure, n.handleDeparture
	timing := configTiming{s.ConfigWithin}
	timing.check(d.Events)
	n.peers = relay.NewHTTPPeers()
	n.peers.SetConfigStallTimeout(timing.scale(configStallTimeout))
	n.peers.Bodies = n.bodies
	n.ingress = &relay.Ingress{
		Names: d.Names, Service: s.Service, Dir: n.dir, Peers: n.peers, Sidecar: n.sidecar, Events: d.Events, Metrics: n.metrics, Bodies: n.bodies, Requests: n.requests,
	}
	n.ingress.Provision()
	n.history = newStoreHistory(d.Events)
	n.watcher = &configWatcher{
		configs: d.Configs, events: d.Events, install: n.install, notifyPeers: n.gossip.requestSendToAll, readerRole: n.dir.storeReader, history: n.history, timing: timing,
	}
	n.fetcher = newFetcher(n.watcher, n.dir, n.peers, timing, d.Events)
	n.configs = newConfigServer(n.ingress.Table, d.Events)
	n.configs.timing = timing
	n.watchdog = newWatchdog(n.dir, n.watcher, timing, n.gossip.sendReadReport, d.Events)
	n.watcher.onRead, n.gossip.onReadReport = n.watchdog.recordRead, n.watchdog.receive
	n.quotas = newQuotas(n.dir, n.gossip, s.Quota, d.Events, n.metrics)
	n.ingress.Quotas, n.gossip.onQuota, n.gossip.onContact = n.quotas, n.quotas.receive, n.quotas.recordContact
	n.departures = newDepartureStore(s.PeerAddress, d.Registry, n.sidecar, n.history, d.Events)
	n.departures.readTimeout = s.departureReadTimeout()
	n.sidecar.SetConfirmDeparture(n.departures.confirm)
	if !s.FirstStart {
		n.sidecar.Hold()
	}
	n.evacuations = newEvacuations(s, n.dir, n.sidecar, n.gossip, d.Events)
	n.watcher.onEvacuated, n.gossip.onEvacuated = n.evacuations.observeRead, n.evacuations.observeStatus
	n.peers.OnConfigHeader, n.configs.addHeader = n.evacuations.observeHeader, n.evacuations.writeHeader
	n.registerGauges()
	return n.listen()
}

func (d *directory) len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Len()
}

// registerGauges registers the metrics whose values are computed on each scrape.
func (n *Node) registerGauges() {
	for name, value := range map[string]func() int64{
		"requests.active":  n.ingress.Active,
		"bodies.bytes":     n.bodies.Used,
		"requests.limited": n.requests.Active,
		// requests.receiving are those whose bodies are being received.
		"requests.receiving": n.requests.Receiving,
		// requests.evicted counts those that gave way because their bodies had stalled.
		"requests.evicted":  n.requests.Evicted,
		"headers.bytes":     n.headers.Used,
		"members":           func() int64 { return int64(n.dir.len()) },
		"config.version":    func() int64 { return int64(n.watcher.version()) },
		"config.problems":   func() int64 { return int64(n.watcher.problems()) },
		"log.dropped":       n.deps.Dropped,
		"upstream.dials":    n.sidecar.Dials,
		"upstream.running":  func() int64 { return int64(n.sidecar.UpstreamState().Running) },
		"upstream.queued":   func() int64 { return int64(n.sidecar.UpstreamState().Queued) },
		"upstream.pace":     func() int64 { return int64(n.sidecar.UpstreamState().SlowdownPercent) },
		"evacuated.domains": n.evacuations.count,
		"evacuated.own":     n.evacuations.ownCount,
		"upstream.failures": func() int64 { return int64(n.sidecar.UpstreamState().FailurePermille) },
		"upstream.cold_ms":  n.sidecar.ColdMillis,
		// suspects.evidence is the evidence on requests that crash upstreams.
		"suspects.evidence": n.sidecar.EvidenceCount,
		// cold_delayed counts the calls that waited because of the cold rate.
		"upstream.cold_delayed": n.sidecar.DelayedByColdRate,
	} {
		metrics.NewRegisteredFunctionalGauge(name, n.metrics, value)
	}
}

func (n *Node) listen() error {
	s := n.settings
	n.connections = newCallerConnections(n.ingress.Table)
	callers := &http.Server{Handler: n.ingress, MaxHeaderBytes: maxCallerHeaderBytes, ConnState: n.connections.trackState, ConnContext: n.connections.connContext}
	list := []struct {
		name, address string
		server        *http.Server
	}{
		{callerListener, s.CallerAddress, callers},
		{peerListener, s.PeerAddress, relay.NewPeerServer(http.HandlerFunc(n.servePeer))},
		{"ready", s.ReadyAddress, &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadTimeout: smallRequestTimeout, IdleTimeout: smallIdleTimeout, MaxHeaderBytes: maxSmallHeaderBytes}},
		{"announce", s.AnnounceAddress, &http.Server{Handler: n.deps.Announcements(n.sidecar), ReadTimeout: smallRequestTimeout, IdleTimeout: smallIdleTimeout, MaxHeaderBytes: maxSmallHeaderBytes}},
	}
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", telemetry.Handler(n.metrics))
		list = append(list, struct {
			name, address string
			server        *http.Server
		}{"metrics", s.MetricsAddress, &http.Server{Handler: mux, ReadTimeout: smallRequestTimeout, IdleTimeout: smallIdleTimeout, MaxHeaderBytes: maxSmallHeaderBytes}})
	}
	for _, l := range list {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("%s listener: %w", l.name, err)
		}
		n.servers = append(n.servers, l.server)
		n.listeners = append(n.listeners, n.limitListener(l.name, drain.NewListener(listener.(*net.TCPListener)), l.server))
	}
	n.listeners[0] = pipeline.NewListener(n.listeners[0], n.ingress.StartAhead, n.bodies)
	return nil
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.deps.Events.Emit(event.NodeStarting, event.Fields{"peer": n.settings.PeerAddress, "service": n.settings.Service, "domain": n.settings.Domain})
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for i, server := range n.servers {
		n.spawn(func() {
			if err := server.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() {
				n.deps.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error()})
			}
		})
	}
	n.spawn(n.gossip.receiveLoop)
	n.spawn(func() { n.gossip.sendLoop(runCtx) })
	n.spawn(func() { n.watcher.run(runCtx) })
	n.spawn(func() { n.fetcher.run(runCtx) })
	n.spawn(func() { n.watchdog.run(runCtx) })
	n.spawn(func() { n.quotas.run(runCtx) })
	n.spawn(func() { n.register(runCtx) })
	n.spawn(func() { n.unregister(runCtx) })
	n.spawn(func() { n.departures.run(runCtx) })
	n.spawn(func() { n.evacuations.run(runCtx, n.settings.departureReadTimeout()) })
	n.spawn(func() { n.sidecar.RunTicker(runCtx) })
	n.spawn(func() { n.probe(runCtx) })
	n.spawn(func() { n.reportDrops(runCtx) })
	n.spawn(func() { n.reportRefusals(runCtx) })
	<-ctx.Done()
	n.stop()
	cancel()
	_ = n.gossip.conn.Close()
	n.wg.Wait()
	n.deps.Events.Emit(event.NodeStopped, event.Fields{"active": n.ingress.Active()})
	return nil
}

func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// status returns the status that is sent to the other nodes.
func (n *Node) status() roster.Status {
	phase := roster.Serving
	if n.sidecar.Stopped() {
		phase = roster.Stopping
	}
	suspects := n.sidecar.Suspects()
	var evidence []suspect.Evidence
	if len(suspects) > 0 {
		evidence = []suspect.Evidence{}
	}
	return roster.Status{
		Address: n.settings.PeerAddress, Phase: phase, Domain: n.settings.Domain, Service: n.settings.Service,
		ConfigVersion: n.watcher.version(), StoreUnavailable: n.watcher.isStoreUnreachable(), Upstream: n.sidecar.UpstreamState(), Suspects: suspects, Evidence: evidence,
		StoreHistory: n.history.lastRead(), Evacuated: n.evacuations.advertised(),
	}
}

// upstreamChanged reports the new state of the upstream beside the node to the other nodes, and
// stores its departure if it has left.
func (n *Node) upstreamChanged() {
	n.gossip.requestSendToAll()
	n.departures.request()
}

// departure returns the departure of the upstream beside the node, if it has announced one.
func (n *Node) departure() (roster.Departure, bool) { return n.departures.last() }

// handleDeparture stops the use of the upstream beside the node if it has left. Another node
// remembers this from before this process started.
func (n *Node) handleDeparture(d roster.Departure) { n.sidecar.ApplyDeparture(d) }

// handleStatus processes a status of another node: it passes the suspects to the sidecar, logs
// changes of the membership, records the store's history and requests a newer configuration.
func (n *Node) handleStatus(s roster.Status, change roster.Change) {
	fields := event.Fields{
		"member": s.Address, "incarnation": s.Incarnation, "sequence": s.Sequence, "service": s.Service, "phase": int(s.Phase),
		"open": s.Upstream.Accepting, "upstream": s.Upstream.ID, "config": s.ConfigVersion,
	}
	n.sidecar.MergeEvidence(s.Evidence)
	if s.Evidence == nil {
		n.sidecar.MergeEntries(s.Address, s.Incarnation, s.Suspects)
	}
	switch change {
	case roster.Joined:
		n.deps.Events.Emit(event.MemberJoined, fields)
	case roster.Replaced:
		n.deps.Events.Emit(event.MemberReplaced, fields)
	case roster.StateChanged:
		n.deps.Events.Emit(event.MemberAltered, fields)
	}
	n.history.observeReport(s.StoreHistory, s.Address)
	if s.ConfigVersion > n.watcher.version() {
		n.fetcher.request()
	}
}

func (n *Node) install(t *route.Table) {
	n.quotas.install(t)
	n.ingress.Install(t)
	n.sidecar.PruneServiceTimes(t)
	own := t.Services[n.settings.Service]
	n.sidecar.SetColdRate(own.ColdRate, own.ColdStart)
	n.dir.prune(t)
	if n.firstTableAt.CompareAndSwap(0, int64(time.Since(n.start))) {
		n.installed <- struct{}{}
	}
	n.gossip.requestSend()
}

// servePeer serves calls and configuration requests of other nodes.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		// Nodes use HTTP/1 for one request on each connection. What follows it isn't counted.
		w.Header().Set("Connection", "close")
	}
	if r.Body != http.NoBody {
		// Only calls need their bodies, and have a time limit of their own. An error means that the
		// connection is closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(smallRequestTimeout))
	}
	switch r.URL.Path {
	case relay.CallPath:
		n.sidecar.ServePeer(w, r)
	case relay.ConfigPath:
		n.configs.ServeHTTP(w, r)
	default:
		http.NotFound(w, r)
	}
}

// serveReady serves readiness checks of the callers.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := n.readiness()
	if n.ready.Swap(ok) != ok {
		n.deps.Events.Emit(event.ReadinessChanged, event.Fields{"ready": ok, "reason": reason})
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
	if n.dir.len() < 2 && time.Since(n.start)-time.Duration(n.firstTableAt.Load()) < aloneReadyDelay {
		return false, "no other node heard yet"
	}
	return true, "serving"
}

// reportDrops logs how many log lines were dropped since the last report.
func (n *Node) reportDrops(ctx context.Context) {
	last := int64(0)
	for sleep(ctx, dropReportInterval) {
		if dropped := n.deps.Dropped(); dropped > last {
			n.deps.Events.Emit(event.LinesDropped, event.Fields{"count": dropped - last})
			last = dropped
		}
	}
}

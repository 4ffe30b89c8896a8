package mesh

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/announce"
)

func TestRequestsReachUpstreamsOfOtherNodes(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "a request through the other node", func() bool { return a.respondsWith("/b/", "b") && b.respondsWith("/a/", "a") })
}

// Nodes that can't reach the store get a change from a node that has read it.
func TestConfigurationReachesNodesWithoutStore(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "first version", func() bool { return a.watcher.version() == 1 && b.watcher.version() == 1 })
	b.store.setDown(true)
	time.Sleep(50 * time.Millisecond)
	store.publish(t, 2, "a", "b")
	await.Eventually(t, "second version", func() bool { return b.watcher.version() == 2 })
}

// An older configuration never replaces a newer one.
func TestConfigVersionNeverDecreases(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 7, "a")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "version 7", func() bool { return a.watcher.version() == 7 })
	store.publish(t, 6, "a", "b")
	time.Sleep(2 * minReadInterval)
	if v := a.watcher.version(); v != 7 {
		t.Errorf("version %d, want 7", v)
	}
	if status, _, err := a.get("/b/"); err != nil || status != http.StatusNotFound {
		t.Errorf("a route of the older version: status %d, %v", status, err)
	}
}

// A node that restarts while it can't reach the store finds the other nodes, because they
// keep sending their statuses to its address.
func TestRestartWithoutStore(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 3, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	settings := newSettings(t, "b", 0)
	b := startNode(t, settings, &storeClient{memoryStore: store})
	await.Eventually(t, "both have each other's status", func() bool { return a.respondsWith("/b/", "b") })
	b.stop()
	disconnected := &storeClient{memoryStore: store}
	disconnected.setDown(true)
	b = startNode(t, settings, disconnected)
	await.Eventually(t, "configuration and upstreams from the other node", func() bool { return b.respondsWith("/a/", "a") })
	await.Eventually(t, "its upstream is used again", func() bool { return a.respondsWith("/b/", "b") })
}

// Calls to the store are expensive. A node that restarts finds its address registered.
func TestRestartDoesNotRegisterAgain(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	registrations := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.addresses)
	}
	settings := newSettings(t, "a", 0)
	for start := range 3 {
		settings.FirstStart = start == 0
		n := startNode(t, settings, &storeClient{memoryStore: store})
		await.Eventually(t, "the node has its own address", func() bool { return registrations() > 0 && n.dir.len() > 0 })
		n.stop()
	}
	if n := registrations(); n != 1 {
		t.Errorf("%d registrations for three starts, want 1", n)
	}
}

// Another writer's records in the nodes' topic name no node: they aren't members, which would
// receive statuses for a day, and the nodes beside them are found.
func TestRecordsThatAreNoAddressesAreNoMembers(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "the first node is registered", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.addresses) > 0
	})
	store.mu.Lock()
	store.addresses = append(store.addresses, "", "x", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
		"0.0.0.0:7600", "[::]:7600", "224.0.0.1:7600", "255.255.255.255:7600", "host:7600", "[fe80::1%x]:7600", "\x00\xff", strings.Repeat("\xff", 255), strings.Repeat("[", 255))
	store.mu.Unlock()
	b := startNode(t, newSettings(t, "b", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "both have each other's status", func() bool { return a.respondsWith("/b/", "b") && b.respondsWith("/a/", "a") })
	if n := b.dir.len(); n != 2 {
		t.Errorf("%d members, want 2", n)
	}
}

func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: newMemoryStore()})
	ready := func() int {
		resp, err := http.Get("http://" + a.settings.ReadyAddress + "/")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d without a configuration", got)
	}
	if status, _, err := a.get("/a/"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("request: status %d, %v; want 503, since the route may exist", status, err)
	}
	a.store.publish(t, 1, "a")
	await.Eventually(t, "ready with a configuration", func() bool { return ready() == http.StatusOK })
}

// After an upstream has announced that it drains, it gets no new requests. Other nodes that
// still send calls are rejected and use another upstream.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &storeClient{memoryStore: store})
	b.announce(announce.Ready, 1)
	await.Eventually(t, "the upstream is used", func() bool { return a.respondsWith("/b/", "b") })
	b.announce(announce.Draining, 2)
	for range 20 {
		if status, _, err := a.get("/b/"); err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %v", status, err)
		}
	}
}

// A planned stop under load: callers that follow the readiness check lose no requests.
func TestStopAbortsNoRequest(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	settings := newSettings(t, "a", 20*time.Millisecond)
	settings.StopWithin = 5 * time.Second
	a := startNode(t, settings, &storeClient{memoryStore: store})
	await.Eventually(t, "the upstream is used", func() bool { return a.respondsWith("/a/", "a") })
	var stopping atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stopping.Load() {
				status, _, err := a.get("/a/")
				if err != nil || (status != http.StatusOK && status != http.StatusServiceUnavailable) {
					t.Errorf("status %d, %v", status, err)
				}
			}
		}()
	}
	time.AfterFunc(unreadyDuration-200*time.Millisecond, func() { stopping.Store(true) })
	a.stop()
	wg.Wait()
}

// Callers that have no other node send requests until the node has stopped. An accepted
// request must still get a response.
func TestStopAnswersCallersThatKeepComing(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	settings := newSettings(t, "b", 0)
	settings.StopWithin = 5 * time.Second
	a := startNode(t, settings, &storeClient{memoryStore: store})
	b := startNode(t, newSettings(t, "a", 700*time.Millisecond), &storeClient{memoryStore: store})
	await.Eventually(t, "the other node's upstream is used", func() bool { return a.respondsWith("/a/", "a") })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				status, _, err := a.getWith(client, "/a/")
				if status == http.StatusServiceUnavailable {
					// Callers retry after a pause.
					time.Sleep(50 * time.Millisecond)
				}
				if isDialError(err) {
					return
				}
				if err != nil {
					t.Errorf("a request was aborted: %v", err)
				}
			}
		}()
	}
	a.stop()
	wg.Wait()
	b.stop()
}

// Only a few nodes read the store; the others get configurations from them.
func TestStoreReadsDoNotGrowWithFleetSize(t *testing.T) {
	const nodes = 12
	store := newMemoryStore()
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range nodes {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store}))
	}
	inForce := func(v uint64) func() bool {
		return func() bool {
			for _, n := range fleet {
				if n.watcher.version() != v {
					return false
				}
			}
			return true
		}
	}
	await.Eventually(t, "first version everywhere", inForce(1))
	await.Eventually(t, "the first node has all members", func() bool { return fleet[0].dir.len() == nodes })
	time.Sleep(2 * rolePollInterval)
	store.mu.Lock()
	before := store.reads
	store.mu.Unlock()
	start := time.Now()
	store.publish(t, 2, "a")
	await.Eventually(t, "second version everywhere", inForce(2))
	store.mu.Lock()
	defer store.mu.Unlock()
	// A store reader reads the change and then waits for the next one.
	bound := minStoreReaders * (2 + int(time.Since(start)/minReadInterval))
	if reads := store.reads - before; reads > bound {
		t.Errorf("%d reads for one change on %d nodes, want at most %d", reads, nodes, bound)
	}
}

// Probes of an idle upstream stay within the rate in the settings.
func TestProbeRateStaysWithinSetting(t *testing.T) {
	var count atomic.Int64
	settings := newCountingSettings(t, &count)
	settings.ProbesPerSecond = 4
	store := newMemoryStore()
	store.publish(t, 1, "a")
	startNode(t, settings, &storeClient{memoryStore: store})
	await.Eventually(t, "first probe", func() bool { return count.Load() > 0 })
	before, start := count.Load(), time.Now()
	time.Sleep(2 * time.Second)
	n, took := count.Load()-before, time.Since(start)
	if float64(n) > 4*took.Seconds()+1 {
		t.Errorf("%d probes in %v", n, took)
	}
}

func TestMetricsAreServed(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 4, "a")
	a := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "a response", func() bool { return a.respondsWith("/a/", "a") })
	resp, err := http.Get("http://" + a.settings.MetricsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"mulberrytray_config_version 4", "mulberrytray_request_answered_count", "mulberrytray_upstream_queued 0"} {
		if !strings.Contains(string(b), line) {
			t.Errorf("no line %q in the metrics", line)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	valid := Settings{
		Domain: "d", Service: "s", UpstreamAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3",
		ReadyAddress: "127.0.0.1:4", AnnounceAddress: "127.0.0.1:5", StopWithin: time.Second,
	}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, invalidate := range []func(*Settings){
		func(s *Settings) { s.Domain = "" }, func(s *Settings) { s.Service = "" }, func(s *Settings) { s.PeerAddress = "nowhere" },
		func(s *Settings) { s.UpstreamAddress = "" }, func(s *Settings) { s.StopWithin = time.Millisecond }, func(s *Settings) { s.MemoryBytes = -1 },
	} {
		s := valid
		invalidate(&s)
		if err := s.Validate(); !errors.Is(err, ErrSettings) {
			t.Errorf("%+v: %v", s, err)
		}
	}
}

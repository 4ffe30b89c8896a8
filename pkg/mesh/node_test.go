package mesh

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/announce"
)

func TestRequestsReachTheUpstreamsOfOtherNodes(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &access{memoryStore: store})
	await.Eventually(t, "a request through the other node", func() bool { return a.answers("/b/", "b") && b.answers("/a/", "a") })
}

// A change that one node reads is in force on nodes that don't reach the store.
func TestConfigurationSpreadsWithoutTheStore(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &access{memoryStore: store})
	await.Eventually(t, "first version", func() bool { return a.follower.version() == 1 && b.follower.version() == 1 })
	b.access.cut(true)
	time.Sleep(50 * time.Millisecond)
	store.publish(t, 2, "a", "b")
	await.Eventually(t, "second version", func() bool { return b.follower.version() == 2 })
}

// An older configuration never replaces a newer one.
func TestVersionNeverFalls(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 7, "a")
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	await.Eventually(t, "version 7", func() bool { return a.follower.version() == 7 })
	store.publish(t, 6, "a", "b")
	time.Sleep(2 * followGap)
	if v := a.follower.version(); v != 7 {
		t.Errorf("version %d", v)
	}
	if status, _, err := a.ask("/b/"); err != nil || status != http.StatusNotFound {
		t.Errorf("a route of the older version: status %d, %v", status, err)
	}
}

// A node that restarts while it cannot reach the store finds the others, because
// they go on telling its old address their status.
func TestRestartWithoutTheStore(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 3, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	settings := newSettings(t, "b", 0)
	b := startNode(t, settings, &access{memoryStore: store})
	await.Eventually(t, "both know each other", func() bool { return a.answers("/b/", "b") })
	b.stop()
	cut := &access{memoryStore: store}
	cut.cut(true)
	b = startNode(t, settings, cut)
	await.Eventually(t, "configuration and upstreams from the other node", func() bool { return b.answers("/a/", "a") })
	await.Eventually(t, "the upstream beside it is used again", func() bool { return a.answers("/b/", "b") })
}

// Calls to the store are dear: a node that restarts finds its address registered.
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
		n := startNode(t, settings, &access{memoryStore: store})
		await.Eventually(t, "the node knows its own address", func() bool { return registrations() > 0 && n.dir.len() > 0 })
		n.stop()
	}
	if n := registrations(); n != 1 {
		t.Errorf("%d registrations for three starts, want 1", n)
	}
}

func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: newMemoryStore()})
	ready := func() int {
		resp, err := http.Get("http://" + a.settings.ReadyAddress + "/")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("ready answered %d without a configuration", got)
	}
	if status, _, err := a.ask("/a/"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("request: status %d, %v; want 503, since the route may exist", status, err)
	}
	a.access.publish(t, 1, "a")
	await.Eventually(t, "ready with a configuration", func() bool { return ready() == http.StatusOK })
}

// After an upstream has announced that it leaves, nothing new reaches it, though
// other nodes still send; they get a refusal and go elsewhere.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a", "b")
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	b := startNode(t, newSettings(t, "b", 0), &access{memoryStore: store})
	b.announce(announce.Ready, 1)
	await.Eventually(t, "the upstream is used", func() bool { return a.answers("/b/", "b") })
	b.announce(announce.Draining, 2)
	for range 20 {
		if status, _, err := a.ask("/b/"); err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("status %d, %v", status, err)
		}
	}
}

// A planned stop under load: callers that keep to readiness lose no request.
func TestStopCutsNoRequest(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	settings := newSettings(t, "a", 20*time.Millisecond)
	settings.StopWithin = 5 * time.Second
	a := startNode(t, settings, &access{memoryStore: store})
	await.Eventually(t, "the upstream is used", func() bool { return a.answers("/a/", "a") })
	var stopping atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stopping.Load() {
				status, _, err := a.ask("/a/")
				if err != nil || (status != http.StatusOK && status != http.StatusServiceUnavailable) {
					t.Errorf("status %d, %v", status, err)
				}
			}
		}()
	}
	time.AfterFunc(unreadyTime-200*time.Millisecond, func() { stopping.Store(true) })
	a.stop()
	wg.Wait()
}

// Callers that have no other node go on sending until the node is gone. A request that
// was taken must still be answered.
func TestStopAnswersCallersThatKeepComing(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	settings := newSettings(t, "b", 0)
	settings.StopWithin = 5 * time.Second
	a := startNode(t, settings, &access{memoryStore: store})
	b := startNode(t, newSettings(t, "a", 700*time.Millisecond), &access{memoryStore: store})
	await.Eventually(t, "the other node's upstream is used", func() bool { return a.answers("/a/", "a") })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				status, _, err := a.askWith(client, "/a/")
				if status == http.StatusServiceUnavailable {
					// Callers come back later, not at once.
					time.Sleep(50 * time.Millisecond)
				}
				var op *net.OpError
				if errors.As(err, &op) && op.Op == "dial" {
					return
				}
				if err != nil {
					t.Errorf("a request was cut: %v", err)
				}
			}
		}()
	}
	a.stop()
	wg.Wait()
	b.stop()
}

// Few nodes read the store for all.
func TestStoreReadsDoNotGrowWithTheFleet(t *testing.T) {
	const nodes = 12
	store := newMemoryStore()
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range nodes {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &access{memoryStore: store}))
	}
	inForce := func(v uint64) func() bool {
		return func() bool {
			for _, n := range fleet {
				if n.follower.version() != v {
					return false
				}
			}
			return true
		}
	}
	await.Eventually(t, "first version everywhere", inForce(1))
	await.Eventually(t, "all know each other", func() bool { return fleet[0].dir.len() == nodes })
	time.Sleep(2 * rolePause)
	store.mu.Lock()
	before := store.reads
	store.mu.Unlock()
	start := time.Now()
	store.publish(t, 2, "a")
	await.Eventually(t, "second version everywhere", inForce(2))
	store.mu.Lock()
	defer store.mu.Unlock()
	// A reader reads the change and waits for the next one.
	bound := minReaders * (2 + int(time.Since(start)/followGap))
	if reads := store.reads - before; reads > bound {
		t.Errorf("%d reads for one change on %d nodes, want at most %d", reads, nodes, bound)
	}
}

// The probes of an idle upstream stay within the rate of the settings.
func TestProbesKeepTheirBudget(t *testing.T) {
	var count atomic.Int64
	settings := countHealth(t, &count)
	settings.ProbesPerSecond = 4
	store := newMemoryStore()
	store.publish(t, 1, "a")
	startNode(t, settings, &access{memoryStore: store})
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
	a := startNode(t, newSettings(t, "a", 0), &access{memoryStore: store})
	await.Eventually(t, "an answer", func() bool { return a.answers("/a/", "a") })
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
			t.Errorf("no %q", line)
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
	for _, spoil := range []func(*Settings){
		func(s *Settings) { s.Domain = "" }, func(s *Settings) { s.Service = "" }, func(s *Settings) { s.PeerAddress = "nowhere" },
		func(s *Settings) { s.UpstreamAddress = "" }, func(s *Settings) { s.StopWithin = time.Millisecond },
	} {
		s := valid
		spoil(&s)
		if err := s.Validate(); !errors.Is(err, ErrSettings) {
			t.Errorf("%+v: %v", s, err)
		}
	}
}

package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// fixedVersion decodes any bytes to a table of one version.
type fixedVersion struct {
	Configs
	version uint64
}

func (d fixedVersion) Decode(encoded []byte) (*route.Table, error) {
	t, err := route.NewTable(d.version, route.Limits{}, nil, nil)
	if err == nil {
		t.Source = encoded
	}
	return t, err
}

// Guards against a configuration that doesn't arrive because the first node that reported
// it is busy or has stopped, although other nodes have it.
func TestFetchRetriesOtherNodes(t *testing.T) {
	w := &configWatcher{configs: fixedVersion{version: 7}, events: event.Discard(), install: func(*route.Table) {}}
	var mu sync.Mutex
	fetches := 0
	fetch := &fetcher{
		watcher: w, events: event.Discard(), requested: make(chan struct{}, 1),
		findSource: func(version uint64) (string, bool) { return "node", version < 7 },
		fetch: func(context.Context, string) ([]byte, error) {
			mu.Lock()
			defer mu.Unlock()
			if fetches++; fetches < 4 {
				return nil, errors.New("busy")
			}
			return []byte("configuration"), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go fetch.run(ctx)
	fetch.request()
	await.Eventually(t, "the configuration arrives", func() bool { return w.version() == 7 })
}

func TestNewerConfigSourcePrefersLocalFailureDomain(t *testing.T) {
	d := newDirectory("10.0.0.1:1", "a", time.Now())
	for i, s := range []roster.Status{
		{Address: "10.0.0.2:1", Domain: "a", ConfigVersion: 3}, {Address: "10.0.0.3:1", Domain: "b", ConfigVersion: 5},
		{Address: "10.0.0.4:1", Domain: "a", ConfigVersion: 5},
	} {
		s.Incarnation, s.Sequence = 1, uint64(i+1)
		d.roster.Observe(d.now(), s)
	}
	for range 20 {
		if got, ok := d.newerConfigSource(4); !ok || got != "10.0.0.4:1" {
			t.Fatalf("source %q, %v; want 10.0.0.4:1", got, ok)
		}
	}
	if got, ok := d.newerConfigSource(5); ok {
		t.Errorf("source %q for a version that no node has", got)
	}
}

// largeTable returns a table of the size at which users' deployments lost requests: 1,780
// routes, 600 KB.
func largeTable(t *testing.T) *route.Table {
	t.Helper()
	table, err := route.NewTable(9, route.Limits{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	table.Source = []byte(strings.Repeat(`{"name":"r-njyheeg","kind":"safe","target_latency_ms":200,"match":{"path_prefix":"/bozi380/vo25/"}}`, 6000))
	return table
}

// Guards against transfers that saturate the links of the VMs: a configuration is sent
// compressed.
func TestConfigurationIsSentCompressed(t *testing.T) {
	table := largeTable(t)
	server := httptest.NewServer(newConfigServer(func() *route.Table { return table }, event.Discard()))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	got, err := relay.NewHTTPPeers().Config(context.Background(), address)
	if err != nil || string(got) != string(table.Source) {
		t.Fatalf("%d bytes, %v; want %d", len(got), err, len(table.Source))
	}
	raw, err := (&http.Transport{DisableCompression: true}).RoundTrip(gzipRequest(t, server.URL))
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Body.Close()
	if n, err := io.Copy(io.Discard, raw.Body); err != nil || n > int64(len(table.Source)/5) {
		t.Errorf("%d bytes on the wire for %d, %v", n, len(table.Source), err)
	}
}

func gzipRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	return req
}

// A node that is busy sending rejects further requests immediately. Receivers that stop
// reading lose their send slot after a timeout.
func TestStalledReceiversDoNotBlockOthers(t *testing.T) {
	// The stalled receivers get more than the socket buffers hold.
	var table atomic.Pointer[route.Table]
	stalling := largeTable(t)
	stalling.Source = []byte(strings.Repeat(string(stalling.Source), 20))
	table.Store(stalling)
	configs := newConfigServer(table.Load, event.Discard())
	server := httptest.NewServer(configs)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for range maxConfigSends {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	// A request before this point could take the slot of one of these receivers, which would
	// then be rejected.
	await.Eventually(t, "both send slots are in use", func() bool { return len(configs.sendSlots) == maxConfigSends })
	peers := relay.NewHTTPPeers()
	if _, err := peers.Config(context.Background(), address); err == nil {
		t.Error("a third receiver is served concurrently")
	}
	// A busy machine may not compress the long table within the time for one send.
	table.Store(largeTable(t))
	await.Eventually(t, "it is served after the timeout", func() bool {
		_, err := peers.Config(context.Background(), address)
		return err == nil
	})
}

// Guards against a configuration that is late because one source that has stopped is waited for,
// although other nodes have the configuration.
func TestFetchDoesNotWaitForOneSource(t *testing.T) {
	w := &configWatcher{configs: fixedVersion{version: 7}, events: event.Discard(), install: func(*route.Table) {}}
	var sources atomic.Int32
	f := &fetcher{
		watcher: w, events: event.Discard(), requested: make(chan struct{}, 1),
		findSource: func(version uint64) (string, bool) {
			return fmt.Sprint("node ", sources.Add(1)), version < 7
		},
		fetch: func(ctx context.Context, address string) ([]byte, error) {
			if address == "node 1" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return []byte("configuration"), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx)
	start := time.Now()
	f.request()
	for w.version() != 7 {
		if time.Since(start) > referenceConfigBound {
			t.Fatalf("no configuration after %v", referenceConfigBound)
		}
		time.Sleep(time.Millisecond)
	}
}

// frozenMembers adds members that accept connections and never respond, and that read the store
// instead of the node. It returns a function that sends their statuses with the version.
func frozenMembers(t *testing.T, n *testNode) func(version, sequence uint64) {
	t.Helper()
	var addresses []string
	for len(addresses) < minStoreReaders {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		if address := l.Addr().String(); xxhash.Sum64String(address) < xxhash.Sum64String(n.settings.PeerAddress) {
			addresses = append(addresses, address)
		}
	}
	return func(version, sequence uint64) {
		for _, a := range addresses {
			n.gossip.receiveStatus(roster.Status{Address: a, Incarnation: 1, Sequence: sequence, Phase: roster.Serving, Domain: "d1", Service: "b", ConfigVersion: version})
		}
	}
}

// Guards against a configuration that is late because all nodes that have reported it have failed
// before they could send it.
func TestConfigurationIsReadFromTheStoreWhenAllSourcesAreLost(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "version 1", func() bool { return n.watcher.version() == 1 })
	sendStatuses := frozenMembers(t, n)
	sendStatuses(1, 1)
	await.Eventually(t, "the other members read the store", func() bool {
		_, isReader := n.dir.storeReader()
		return !isReader
	})
	// The node's last read of its own ends.
	time.Sleep(fleetReadInterval)
	store.publish(t, 2, "a")
	start := time.Now()
	for sequence := uint64(2); n.watcher.version() != 2; sequence++ {
		if time.Since(start) > referenceConfigBound {
			t.Fatalf("version 2 is not in force after %v", referenceConfigBound)
		}
		sendStatuses(2, sequence)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a configuration that is late because one read of the store was lost and the next
// one came only after the bound, while the sources of the configuration did not respond.
func TestLostReadOfTheStoreIsRepeatedInTime(t *testing.T) {
	var reads atomic.Int32
	f := &fetcher{
		watcher:    &configWatcher{configs: fixedVersion{version: 6}, events: event.Discard(), install: func(*route.Table) {}},
		events:     event.Discard(),
		requested:  make(chan struct{}, 1),
		findSource: func(version uint64) (string, bool) { return "node", version < 7 },
		fetch: func(ctx context.Context, _ string) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	f.watcher.installIfNewer([]byte("configuration"), "store")
	f.readStore = func(ctx context.Context) error {
		if reads.Add(1) == 1 {
			sleep(ctx, directReadTimeout)
			return errStoreDown
		}
		f.watcher.configs = fixedVersion{version: 7}
		f.watcher.installIfNewer([]byte("configuration"), "store")
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx)
	start := time.Now()
	f.request()
	for f.watcher.version() != 7 {
		if time.Since(start) > referenceConfigBound {
			t.Fatalf("no configuration after %v and %d reads of the store", referenceConfigBound, reads.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against reads of the store without a pause by nodes that lack a configuration while the
// store fails.
func TestFailingReadsBesideFetchesArePaused(t *testing.T) {
	const watched = 5 * time.Second
	var reads atomic.Int32
	f := &fetcher{
		watcher:    &configWatcher{configs: fixedVersion{version: 6}, events: event.Discard(), install: func(*route.Table) {}},
		events:     event.Discard(),
		requested:  make(chan struct{}, 1),
		findSource: func(uint64) (string, bool) { return "node", true },
		fetch:      func(context.Context, string) ([]byte, error) { return nil, errStoreDown },
		readStore:  func(context.Context) error { reads.Add(1); return errStoreDown },
	}
	f.watcher.installIfNewer([]byte("configuration"), "store")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx)
	for start := time.Now(); time.Since(start) < watched; time.Sleep(10 * time.Millisecond) {
		f.request()
	}
	// At most one read in directReadDelay at first, and one in maxRetryDelay after the third.
	if n := int(reads.Load()); n < 2 || n > 3+int(watched/maxRetryDelay) {
		t.Errorf("%d reads of the store in %v", n, watched)
	}
}

// Guards against reads of the store by all nodes of a fleet that starts, in which few nodes have a
// configuration to send.
func TestFirstConfigurationIsNotReadBesideFetches(t *testing.T) {
	var reads atomic.Int32
	f := &fetcher{
		watcher:    &configWatcher{configs: fixedVersion{version: 7}, events: event.Discard()},
		events:     event.Discard(),
		findSource: func(uint64) (string, bool) { return "node", true },
		readStore:  func(context.Context) error { reads.Add(1); return nil },
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*(directReadDelay+directReadSpread))
	defer cancel()
	f.readStoreIfLate(ctx)
	if n := reads.Load(); n > 0 {
		t.Errorf("%d reads of the store by a node without a configuration", n)
	}
}

// Guards against receivers that stop reading and keep the only source of a configuration from
// sending it to others for longer than the bound.
func TestStalledReceiversHoldSendSlotsBriefly(t *testing.T) {
	table := largeTable(t)
	table.Source = []byte(strings.Repeat(string(table.Source), 20))
	configs := newConfigServer(func() *route.Table { return table }, event.Discard())
	server := httptest.NewServer(configs)
	defer server.Close()
	for range maxConfigSends {
		c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	await.Eventually(t, "both send slots are in use", func() bool { return len(configs.sendSlots) == maxConfigSends })
	start := time.Now()
	await.Eventually(t, "a send slot is free", func() bool { return len(configs.sendSlots) < maxConfigSends })
	if took := time.Since(start); took > referenceConfigBound {
		t.Errorf("no send slot was free for %v", took)
	}
}

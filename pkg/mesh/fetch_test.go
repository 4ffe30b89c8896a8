package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// decoded makes tables of one version from any bytes.
type decoded struct {
	Configs
	version uint64
}

// Decode implements Configs.
func (d decoded) Decode(encoded []byte) (*route.Table, error) {
	t, err := route.NewTable(d.version, route.Limits{}, nil, nil)
	if err == nil {
		t.Source = encoded
	}
	return t, err
}

// Guards against a configuration that stays away because the node that was heard
// first is busy, or gone, although others have it.
func TestFetchTriesOtherNodes(t *testing.T) {
	f := &follower{configs: decoded{version: 7}, events: event.Discard(), install: func(*route.Table) {}}
	var mu sync.Mutex
	asked := 0
	fetch := &fetcher{
		follower: f, events: event.Discard(), wanted: make(chan struct{}, 1),
		source: func(version uint64) (string, bool) { return "node", version < 7 },
		get: func(context.Context, string) ([]byte, error) {
			mu.Lock()
			defer mu.Unlock()
			if asked++; asked < 4 {
				return nil, errors.New("busy")
			}
			return []byte("configuration"), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go fetch.run(ctx)
	fetch.want()
	await.Eventually(t, "the configuration arrives", func() bool { return f.version() == 7 })
}

func TestNewerPrefersTheOwnFailureDomain(t *testing.T) {
	d := newDirectory("10.0.0.1:1", "a", time.Now())
	for i, s := range []roster.Status{
		{Address: "10.0.0.2:1", Domain: "a", ConfigVersion: 3}, {Address: "10.0.0.3:1", Domain: "b", ConfigVersion: 5},
		{Address: "10.0.0.4:1", Domain: "a", ConfigVersion: 5},
	} {
		s.Incarnation, s.Sequence = 1, uint64(i+1)
		d.roster.Observe(d.now(), s)
	}
	for range 20 {
		if got, ok := d.newer(4); !ok || got != "10.0.0.4:1" {
			t.Fatalf("asks %q, %v", got, ok)
		}
	}
	if got, ok := d.newer(5); ok {
		t.Errorf("asks %q for what nobody has", got)
	}
}

// largeTable holds a configuration of the size at which the users' deployments lost
// requests: 1,780 routes, 600 KB.
func largeTable(t *testing.T) *route.Table {
	t.Helper()
	table, err := route.NewTable(9, route.Limits{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	table.Source = []byte(strings.Repeat(`{"name":"r-njyheeg","kind":"safe","target_latency_ms":200,"match":{"path_prefix":"/bozi380/vo25/"}}`, 6000))
	return table
}

// Guards against transfers that fill the links of the VMs: a configuration is
// compressed and goes to a few nodes at a time.
func TestConfigurationIsSentCompressedToAFewAtATime(t *testing.T) {
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

// A node that is busy sending refuses at once, and receivers that stand still give
// their place up after a while.
func TestStandingReceiversDoNotBlockOthers(t *testing.T) {
	table := largeTable(t)
	table.Source = []byte(strings.Repeat(string(table.Source), 20))
	configs := newConfigServer(func() *route.Table { return table }, event.Discard())
	server := httptest.NewServer(configs)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for range configSends {
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
	// A receiver that asks sooner takes the place of one of these, which is refused then.
	await.Eventually(t, "both places are taken", func() bool { return len(configs.sends) == configSends })
	peers := relay.NewHTTPPeers()
	if _, err := peers.Config(context.Background(), address); err == nil {
		t.Error("a third receiver is served beside them")
	}
	await.Eventually(t, "it is served in the end", func() bool {
		_, err := peers.Config(context.Background(), address)
		return err == nil
	})
}

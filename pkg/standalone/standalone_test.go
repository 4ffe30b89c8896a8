package standalone

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/mesh"
)

const routesFile = `version: %d
limits: {max_body_bytes: 1048576}
services: [{name: a}, {name: b}]
routes:
  - {name: r, host: h, prefix: /r/, idempotent: true, target: 200ms, timeout: 2s, max_attempts: 2, shares: [{service: %s, weight: 1}]}
`

// node is a running node beside an upstream that responds with the name of its
// service and ignores mulberrytray's headers.
type node struct {
	settings mesh.Settings
	service  string
}

func startNode(t *testing.T, service, path string, peers ...string) node {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, service) }))
	t.Cleanup(upstream.Close)
	s := mesh.Settings{
		Domain: "d", Service: service, UpstreamAddress: upstream.Listener.Addr().String(), CallerAddress: await.FreeAddress(t), PeerAddress: await.FreeAddress(t),
		ReadyAddress: await.FreeAddress(t), AnnounceAddress: await.FreeAddress(t), StopWithin: time.Second,
	}
	n, err := mesh.New(s, mesh.Dependencies{
		Names: HeaderNames(), Configs: RoutesFile{Path: path}, Registry: Peers(peers), Announcements: Announcements(service, s.UpstreamAddress, event.Discard()),
		Events: event.Discard(), Dropped: func() int64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Provision(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return node{s, service}
}

// announce posts an announcement of the upstream and returns the response status.
func (n node) announce(t *testing.T, incarnation, state string) int {
	t.Helper()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":4,"incarnation":%q,"state":%q}`, n.service, n.settings.UpstreamAddress, incarnation, state)
	resp, err := http.Post("http://"+n.settings.AnnounceAddress+"/v1/announce", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// request sends a request to the node and returns the response status and body.
func (n node) request() (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.settings.CallerAddress+"/r/x", nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Runs two nodes without a platform, of which only a has a routes file. Requests at a
// reach the upstream beside b, changes of the file take effect at both nodes, and a
// draining upstream receives no new requests.
func TestNodesWithoutThePlatform(t *testing.T) {
	path := filepath.Join(t.TempDir(), "routes.yaml")
	writeFile(t, path, fmt.Sprintf(routesFile, 1, "b"))
	a := startNode(t, "a", path)
	b := startNode(t, "b", "", a.settings.PeerAddress)
	for _, n := range []node{a, b} {
		if status := n.announce(t, "first-"+n.service, "ready"); status != http.StatusOK {
			t.Fatalf("announcement: status %d", status)
		}
	}
	responds := func(n node, want string) func() bool {
		return func() bool { status, got := n.request(); return status == http.StatusOK && got == want }
	}
	await.Eventually(t, "requests at a reach the upstream beside b", responds(a, "b"))
	writeFile(t, path, fmt.Sprintf(routesFile, 2, "a"))
	await.Eventually(t, "the change takes effect at a", responds(a, "a"))
	await.Eventually(t, "the change takes effect at b", responds(b, "a"))
	a.announce(t, "first-a", "draining")
	await.Eventually(t, "no requests reach the draining upstream", func() bool { status, _ := b.request(); return status == http.StatusServiceUnavailable })
	a.announce(t, "second-a", "ready")
	a.announce(t, "first-a", "draining")
	await.Eventually(t, "the new incarnation is used despite a late announcement of the old one", responds(b, "a"))
}

func TestAnnouncementOfAnotherServiceIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "routes.yaml")
	writeFile(t, path, fmt.Sprintf(routesFile, 1, "a"))
	n := startNode(t, "a", path)
	n.service = "b"
	if status := n.announce(t, "x", "ready"); status != http.StatusUnprocessableEntity {
		t.Errorf("status %d, want 422", status)
	}
}

func TestRoutesAreChecked(t *testing.T) {
	valid := fmt.Sprintf(routesFile, 1, "a")
	if table, err := (RoutesFile{}).Decode([]byte(valid)); err != nil || table.Len() != 1 || table.Version != 1 {
		t.Fatalf("valid routes: %v", err)
	}
	for desc, content := range map[string]string{
		"no version":      strings.Replace(valid, "version: 1", "version: 0", 1),
		"unknown field":   valid + "color: red\n",
		"unknown service": strings.Replace(valid, "{service: a,", "{service: c,", 1),
		"no timeout":      strings.Replace(valid, "timeout: 2s,", "", 1),
		"no body limit":   strings.Replace(valid, "max_body_bytes: 1048576", "max_body_bytes: 0", 1),
		"not YAML":        "{",
	} {
		if _, err := (RoutesFile{}).Decode([]byte(content)); !errors.Is(err, ErrRoutes) {
			t.Errorf("%s: %v", desc, err)
		}
	}
}

// Guards against one late announcement of an unknown incarnation that keeps the one that lives out of
// use for good, and against a late "ready" that ends a drain.
func TestLateAnnouncementsOfIncarnations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "routes.yaml")
	writeFile(t, path, fmt.Sprintf(routesFile, 1, "a"))
	n := startNode(t, "a", path)
	served := func() bool { status, _ := n.request(); return status == http.StatusOK }
	await.Eventually(t, "the upstream is used", func() bool { return n.announce(t, "live", "ready") == http.StatusOK && served() })
	n.announce(t, "late", "ready")
	await.Eventually(t, "the upstream that goes on is in use", func() bool { return n.announce(t, "live", "ready") == http.StatusOK && served() })
	if status := n.announce(t, "live", "draining"); status != http.StatusOK {
		t.Fatalf("drain: status %d", status)
	}
	if status := n.announce(t, "live", "ready"); status != http.StatusServiceUnavailable {
		t.Errorf("late announcement after the drain: status %d, want 503", status)
	}
}

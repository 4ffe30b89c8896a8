package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
)

// Guards against requests that a stopping node takes and passes on, and whose connections it
// closes without an answer at the end of its time.
func TestRequestsBeyondTheEndOfAStopGetAnAnswer(t *testing.T) {
	for _, path := range []string{"/a/", "/once/a/"} {
		for _, local := range []bool{true, false} {
			name := path + " other upstream"
			if local {
				name = path + " own upstream"
			}
			t.Run(name, func(t *testing.T) {
				store := newMemoryStore()
				store.publish(t, 1, "a")
				// The upstream needs longer than the node has for its stop.
				upstream := newSettings(t, "a", 1800*time.Millisecond)
				settings := upstream
				if !local {
					startNode(t, upstream, &storeClient{memoryStore: store})
					settings = newSettings(t, "b", 0)
				}
				n := startNode(t, settings, &storeClient{memoryStore: store})
				await.Eventually(t, "the upstream is known", func() bool {
					_, ok := n.dir.Choose(relay.Demand{Service: "a", Class: "a"}, nil)
					return ok && n.ingress.Table() != nil
				})
				client := &http.Client{Transport: &http.Transport{}}
				var wg sync.WaitGroup
				wg.Go(func() {
					status, _, err := n.getWith(client, path)
					if err != nil || (status != http.StatusBadGateway && status != http.StatusGatewayTimeout) {
						t.Errorf("status %d, error %v", status, err)
					}
				})
				await.Eventually(t, "the request is passed on", func() bool { return n.ingress.Active() == 1 })
				time.Sleep(100 * time.Millisecond)
				n.stop()
				wg.Wait()
			})
		}
	}
}

// Guards against requests in the last part of a stop that are passed on and cut: each one has
// to be answered by its upstream or rejected as not run.
func TestLateRequestsOfAStopAreServedOrRejected(t *testing.T) {
	for _, path := range []string{"/a/", "/once/a/"} {
		t.Run(path, func(t *testing.T) {
			store := newMemoryStore()
			store.publish(t, 1, "a")
			settings := newSettings(t, "b", 0)
			settings.StopWithin = 4 * time.Second
			n := startNode(t, settings, &storeClient{memoryStore: store})
			startNode(t, newSettings(t, "a", 300*time.Millisecond), &storeClient{memoryStore: store})
			await.Eventually(t, "the other node's upstream is used", func() bool { return n.respondsWith("/a/", "a") })
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				n.stop()
			}()
			var wg sync.WaitGroup
			begun := time.Now()
			for sent := 0; time.Since(begun) < settings.StopWithin; sent++ {
				wg.Go(func() { checkServedOrRejected(t, n, path, begun) })
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
			<-stopped
		})
	}
}

// checkServedOrRejected sends a request. A node that has stopped accepts no connection.
func checkServedOrRejected(t *testing.T, n *testNode, path string, begun time.Time) {
	t.Helper()
	sentAt := time.Since(begun)
	status, body, err := n.getWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, path)
	switch {
	case isDialError(err), status == http.StatusOK && body == "a", status == http.StatusServiceUnavailable:
	default:
		t.Errorf("request %v after the stop began: status %d, body %q, error %v", sentAt, status, body, err)
	}
}

// isDialError reports whether the request was not sent because no connection was accepted.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Guards against a stopping node that closes its connections to other nodes while it still sends them
// responses: their callers get an error although the upstream has run the request.
func TestStopDeliversResponsesToOtherNodes(t *testing.T) {
	const length = 1 << 20
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Upstream", "up-a")
		w.Header().Set("X-Load", "8")
		w.Header().Set("X-Seal", "s")
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, length))
	}))
	defer upstream.Close()
	store := newMemoryStore()
	store.publish(t, 1, "a")
	settings := newSettings(t, "a", 0)
	settings.UpstreamAddress, settings.StopWithin = upstream.Listener.Addr().String(), 10*time.Second
	n := startNode(t, settings, &storeClient{memoryStore: store})
	n.announce(announce.Ready, 1)
	call := &relay.Call{
		Service: "a", Upstream: "up-a", Method: http.MethodGet, URI: "/a/", Host: "h", Header: http.Header{"X-Request-Id": {"id"}}, Idempotent: true,
		Timeout: 8 * time.Second, Target: time.Second, TargetLeft: time.Second,
	}
	peers := relay.NewHTTPPeers()
	var result *relay.Result
	await.Eventually(t, "the node serves calls", func() bool {
		result = peers.Call(context.Background(), settings.PeerAddress, call)
		return result.Kind == relay.Completed && result.Rest != nil
	})
	// The caller takes the rest slowly, so that it is still at the node when nothing runs there any more.
	stopped := make(chan struct{})
	go func() {
		n.stop()
		close(stopped)
	}()
	time.Sleep(unreadyDuration + 500*time.Millisecond)
	rest, err := io.ReadAll(result.Rest)
	if got := len(result.Body) + len(rest); err != nil || got != length {
		t.Errorf("%d of %d bytes, error %v", got, length, err)
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("the stop goes on after the response was delivered")
	}
}

package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

const callerHead = "Host: h\r\nAuthorization: Token k\r\nX-Timeout-Ms: 60000\r\nX-Request-Id: %s\r\n"

// stalledKinds are requests whose bodies stop.
var stalledKinds = []struct{ desc, path, rest string }{
	{"announced body", "/once/", "Content-Length: 1000\r\n\r\n"},
	{"body that stops short", "/once/", "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 999)},
	{"long body that stops short", "/once/", "Content-Length: 300000\r\n\r\n" + strings.Repeat("x", 299_999)},
	{"chunk that stops short", "/safe/", "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + strings.Repeat("x", 999)},
}

// limitPlaces gives the path places for n requests, of which half may be long.
func (p *pipelinePath) limitPlaces(n int64) {
	p.limit = NewRequestLimit(n * requestMemoryBytes)
	p.Requests = p.limit
	p.sidecar.SetRequestLimit(p.limit)
	p.budget.SetReclaim(func() bool { return p.limit.Evict(intake.Place) })
}

// stall opens n connections that send the request.
func (p *pipelinePath) stall(t *testing.T, n int, path, rest string) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for i := range n {
		conn := p.send(t)
		writeRaw(conn, "POST "+path+" HTTP/1.1\r\n"+fmt.Sprintf(callerHead, fmt.Sprintf("stalled-%d", i))+rest)
		conns = append(conns, conn)
	}
	return conns
}

// request sends an ordinary request on a connection of its own and returns the status, or 0.
func (p *pipelinePath) request(t *testing.T, method, path string) int {
	t.Helper()
	conn := p.send(t)
	defer func() { _ = conn.Close() }()
	head := method + " " + path + " HTTP/1.1\r\n" + fmt.Sprintf(callerHead, "ordinary")
	if method == http.MethodPost {
		head += "Content-Length: 1\r\n\r\nx"
	} else {
		head += "\r\n"
	}
	writeRaw(conn, head)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against requests whose bodies have stopped and that keep all places until their time limits, and
// against a refusal of one of them that is not true or says nothing.
func TestStalledBodiesGiveWayToOrdinaryRequests(t *testing.T) {
	const places = 4
	for _, kind := range stalledKinds {
		t.Run(kind.desc, func(t *testing.T) {
			u := startUpstream(t, func(c net.Conn, r *http.Request) { writeOK(c, r, "x") })
			p := newPipelinePath(t, u, true)
			p.limitPlaces(places)
			conns := p.stall(t, places, kind.path, kind.rest)
			// Some kinds may take half of the places only; the others of them are refused at once.
			await.Eventually(t, "all stalled requests are taken or refused", func() bool { return p.limit.Receiving()+p.counter("request.rejected") >= places })
			await.Eventually(t, "an ordinary request is served", func() bool { return p.request(t, http.MethodGet, "/safe/") == http.StatusOK })
			await.Eventually(t, "an ordinary upload is served", func() bool { return p.request(t, http.MethodPost, "/once/") == http.StatusOK })
			refused := 0
			for _, conn := range conns {
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					continue
				}
				// Both statuses mean that the request has not run.
				if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get("Retry-After") == "" {
					t.Errorf("status %d with Retry-After %q for a stalled body", resp.StatusCode, resp.Header.Get("Retry-After"))
				}
				refused++
			}
			if refused == 0 {
				t.Error("no stalled request was refused")
			}
			for _, r := range u.requests() {
				if id := r.Header.Get("X-Request-Id"); id != "ordinary" {
					t.Errorf("request %s was sent to the upstream", id)
				}
			}
			for _, conn := range conns {
				_ = conn.Close()
			}
			await.Eventually(t, "nothing is held", func() bool {
				return p.budget.Used() == 0 && p.limit.Active() == 0 && p.limit.Receiving() == 0 && p.Active() == 0
			})
		})
	}
}

// Guards against stalled bodies that hold the memory for bodies, so that an upload which comes in takes a slot
// meanwhile.
func TestStalledBodiesGiveWayToUploads(t *testing.T) {
	u := countingUpstream(t)
	p := newPipelinePath(t, u, true)
	p.limitPlaces(10)
	p.budget = bodybuf.NewBudget(5 << 18)
	p.Bodies = p.budget
	p.budget.SetReclaim(func() bool { return p.limit.Evict(intake.Place) })
	for n := range int64(2) {
		p.stall(t, 1, "/once/", "Content-Length: 360000\r\n\r\n"+strings.Repeat("x", 359_999))
		await.Eventually(t, "the body is held", func() bool { return p.budget.Used() >= (n+1)*359_999 && p.budget.Used() < (n+1)*450_000 })
	}
	time.Sleep(2 * intake.DefaultLimits.Pause)
	upload := p.send(t)
	writeRaw(upload, "POST /once/ HTTP/1.1\r\n"+fmt.Sprintf(callerHead, "upload")+"Content-Length: 360000\r\n\r\n"+strings.Repeat("x", 359_999))
	await.Eventually(t, "the upload has the memory of others", func() bool { return p.limit.Evicted() > 0 && p.limit.Receiving() > 0 })
	if n := p.sidecar.Running(); n != 0 {
		t.Errorf("%d slots taken by bodies that are not complete", n)
	}
	writeRaw(upload, "x")
	if resp, err := http.ReadResponse(bufio.NewReader(upload), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("upload: %v, %v", resp, err)
	}
}

// Guards against a stalled body that holds the only slot of an upstream, and against an upstream that counts as
// failing or crashed because of it.
func TestStalledBodyGivesItsSlotToAnotherRequest(t *testing.T) {
	u := countingUpstream(t)
	p := newPipelinePath(t, u, true)
	p.sidecar = newTestSidecar(u, 1)
	p.Sidecar = p.sidecar
	p.sidecar.SetBodies(p.budget)
	p.limitPlaces(10)
	conn := p.stall(t, 1, "/safe/", "Content-Length: 300000\r\n\r\n"+strings.Repeat("x", 299_999))[0]
	await.Eventually(t, "the stalled request holds the slot", func() bool { return p.sidecar.Running() == 1 })
	time.Sleep(2 * intake.DefaultLimits.Pause)
	if got := p.request(t, http.MethodGet, "/safe/"); got != http.StatusOK {
		t.Errorf("status %d for a request that needs the slot", got)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("stalled request: %v, %v; want a status that does not promise that it has not run", resp, err)
	}
	if state := p.sidecar.UpstreamState(); state.FailurePermille != 0 || p.sidecar.Down() || len(p.sidecar.Suspects()) != 0 {
		t.Errorf("upstream counts as failing or crashed: %+v", state)
	}
}

// Guards against the same at the listener for other nodes, over HTTP/1 and HTTP/2.
func TestStalledCallsGiveWayToCalls(t *testing.T) {
	const places = 4
	for _, protocol := range []string{"HTTP/1", "HTTP/2"} {
		t.Run(protocol, func(t *testing.T) {
			u := startUpstream(t, func(c net.Conn, r *http.Request) { writeOK(c, r, "x") })
			s := newTestSidecar(u, 20)
			limit := NewRequestLimit(places * requestMemoryBytes)
			s.SetRequestLimit(limit)
			s.SetBodies(bodybuf.NewBudget(16 << 20))
			address := startPeer(t, s)
			client := &http.Client{Transport: &http.Transport{}}
			if protocol == "HTTP/2" {
				client = NewHTTPPeers().client
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			outcomes := make(chan string, places)
			for range places {
				go func() {
					body, source := io.Pipe()
					go func() { _, _ = source.Write(make([]byte, 999)) }()
					c := &Call{Service: "svc", Upstream: "u1", Method: "POST", URI: "/x", Header: http.Header{"X-Request-Id": {"stalled"}}, Host: "h", Timeout: time.Minute, Rest: body, Length: 1000}
					resp, err := client.Do(c.peerRequest(ctx, address))
					if err != nil {
						outcomes <- err.Error()
						return
					}
					_ = resp.Body.Close()
					outcomes <- resp.Header.Get(outcomeHeader)
				}()
			}
			await.Eventually(t, "all places are taken", func() bool { return limit.Receiving() == places })
			await.Eventually(t, "an ordinary call is served", func() bool {
				c := &Call{Service: "svc", Upstream: "u1", Method: "GET", URI: "/x", Header: http.Header{"X-Request-Id": {"ordinary"}}, Host: "h", Timeout: 10 * time.Second, Idempotent: true}
				result := newHTTPPeers(testDialTimeout).Call(t.Context(), address, c)
				defer result.close()
				return result.Kind == Completed && result.Status == http.StatusOK
			})
			if got := <-outcomes; !strings.HasPrefix(got, string(Rejected)) || !strings.Contains(got, reasonMemory) {
				t.Errorf("outcome %q of a stalled call", got)
			}
			for _, r := range u.requests() {
				if id := r.Header.Get("X-Request-Id"); id != "ordinary" {
					t.Errorf("call %s was sent to the upstream", id)
				}
			}
		})
	}
}

// Guards against a planned stop that waits for bodies which do not come or whose requests can't be served any more.
func TestStopEndsStalledBodies(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, r *http.Request) { writeOK(c, r, "x") })
	p := newPipelinePath(t, u, true)
	p.limitPlaces(10)
	p.stall(t, 3, "/once/", "Content-Length: 1000\r\n\r\n")
	await.Eventually(t, "the bodies are awaited", func() bool { return p.limit.Receiving() == 3 })
	at := time.Now().Add(time.Second)
	p.StopAt(at)
	p.limit.EvictBodies(at)
	await.Eventually(t, "no request is left", func() bool { return p.Active() == 0 })
	conn := p.stall(t, 1, "/once/", "Content-Length: 1000\r\n\r\n")[0]
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v for a request that can't end before the stop", resp, err)
	}
}

package crowd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

const (
	// requestCrowd is the number of connections of the crowds that send whole headers.
	requestCrowd = 400
	// requestDescriptors is the limit of descriptors in the settings, high enough for the crowd.
	requestDescriptors = 2000
	// requestServiceTime is how long the upstreams work on each request, so that requests wait at
	// the nodes.
	requestServiceTime = 50 * time.Millisecond
	// requestCrowdTime is how long these crowds stay.
	requestCrowdTime = 3 * time.Second
	// legalHeaderBytes and legalBodyBytes are within the limits of the configuration (16,384 and 1,048,576)
	// and of the other listeners.
	legalHeaderBytes = 16000
	legalBodyBytes   = 1 << 20
	// shortBodyBytes is the length of a body that ordinary requests have.
	shortBodyBytes = 1000
	// pieceBytes and piecePause describe a body that comes slowly.
	pieceBytes = 2000
	piecePause = 20 * time.Millisecond
)

// lines are the kinds of header lines that take many times their length in memory.
var lines = []struct {
	desc string
	line func(i int) string
}{
	{"empty fields", func(int) string { return "a:\r\n" }},
	{"different names", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
	{"cookies", func(int) string { return "Cookie: =;;=;\r\n" }},
	{"odd characters", func(i int) string { return fmt.Sprintf("!#$%%&'*+-.^_`|~%x:\t\x80\xff ;,\"\r\n", i%300) }},
}

// fill returns the start of a header followed by lines, up to the given length.
func fill(start string, line func(i int) string, length int) string {
	var b strings.Builder
	b.WriteString(start)
	for i := 0; b.Len()+len(line(i)) < length; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// target returns the start of a header with the method, for what a crowd sends requests to.
type target func(method string) string

func callerTarget(path string) target {
	return func(method string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: beta\r\n%s: crowd\r\n", method, path, platform.HeaderNames().RequestID)
	}
}

var (
	safeTarget, onceTarget target = callerTarget("/safe/x"), callerTarget("/once/x")
	callTarget             target = func(method string) string {
		return method + " /mt/call HTTP/1.1\r\nHost: h\r\nMt-Call: alpha;;crowd;crowd;1;300;300;1500;1;c;POST\r\nMt-Uri: /once/x\r\n"
	}
	announceTarget target = func(method string) string {
		return method + " " + standin.AnnouncePath("u-alpha") + " HTTP/1.1\r\nHost: h\r\n"
	}
	plainTarget target = func(method string) string { return method + " /metrics HTTP/1.1\r\nHost: h\r\n" }
)

// again sends the text again and again without waiting for responses, which it reads.
func again(text string) member {
	return func(conn net.Conn) error {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
		}
	}
}

// inPieces sends the beginning, and the text in pieces with pauses.
func inPieces(beginning, text string) member {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, beginning)
		for rest := text; err == nil && rest != ""; {
			n := min(len(rest), pieceBytes)
			_, err = io.WriteString(conn, rest[:n])
			rest = rest[n:]
			time.Sleep(piecePause)
		}
		return err
	}
}

// crowdOf is a crowd with its description.
type crowdOf struct {
	desc string
	send member
}

// headerCrowds send whole headers of legal size.
func headerCrowds(to target) []crowdOf {
	var crowds []crowdOf
	for _, l := range lines {
		crowds = append(crowds, crowdOf{"whole headers of " + l.desc, again(fill(to("GET"), l.line, legalHeaderBytes) + "\r\n")})
	}
	names := fill(to("POST")+fmt.Sprintf("Content-Length: %d\r\n", shortBodyBytes), lines[1].line, legalHeaderBytes)
	return append(crowds,
		crowdOf{"headers of different names, the body stops short", once(names + "\r\n" + strings.Repeat("x", shortBodyBytes-1))},
		crowdOf{"headers over the limit", again(fill(to("GET"), lines[0].line, legalHeaderBytes*5/4) + "\r\n")},
		crowdOf{"empty lines before requests", again("\r\n\r\n" + to("GET") + "\r\n")},
		crowdOf{"requests after chunked ones", again(to("POST") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + fill(to("POST")+"Transfer-Encoding: chunked\r\n", lines[1].line, legalHeaderBytes) + "\r\n0\r\n\r\n")},
	)
}

// bodyCrowds send bodies of legal size.
func bodyCrowds(to target) []crowdOf {
	withLength := to("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBodyBytes)
	withChunks := to("POST") + "Transfer-Encoding: chunked\r\n\r\n"
	almost := strings.Repeat("x", legalBodyBytes-1)
	return []crowdOf{
		{"bodies that stop short", once(withLength + almost)},
		{"bodies in one chunk that stop short", once(fmt.Sprintf("%s%x\r\n%s", withChunks, legalBodyBytes, almost))},
		{"whole bodies", again(withLength + almost + "x")},
		{"bodies in pieces", inPieces(withLength, almost)},
		{"bodies in chunks of one byte", once(withChunks + strings.Repeat("1\r\nx\r\n", legalBodyBytes-1))},
		{"bodies that do not come", once(withLength)},
	}
}

// http2Streams is the number of streams on each connection of the crowds that speak HTTP/2.
const http2Streams = 50

// stalledBody ends after the bytes that are left if it is whole; otherwise it stops before the last one
// until it is closed.
type stalledBody struct {
	left   int
	whole  bool
	pause  time.Duration
	once   sync.Once
	closed chan struct{}
}

// Close implements io.Closer.
func (b *stalledBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 1 && !b.whole {
		<-b.closed
		return 0, net.ErrClosed
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	if !b.whole {
		n = min(n, b.left-1)
	}
	if b.pause > 0 {
		n = min(n, pieceBytes)
		time.Sleep(b.pause)
	}
	b.left -= n
	return n, nil
}

// calls sends calls on many streams of a connection. header has more fields of the calls, and body
// returns the body of each, or nil for one without.
func calls(header http.Header, length int64, body func() *stalledBody) member {
	return func(conn net.Conn) error {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var dial sync.Once
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := net.ErrClosed
			dial.Do(func() { err = nil })
			if err != nil {
				cancel()
				return nil, err
			}
			return conn, nil
		}}
		defer transport.CloseIdleConnections()
		var wg sync.WaitGroup
		for range http2Streams {
			wg.Go(func() {
				for ctx.Err() == nil {
					var r io.Reader
					if body != nil {
						b := body()
						b.closed = make(chan struct{})
						r = b
					}
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/mt/call", r)
					if err != nil {
						return
					}
					req.Header = header.Clone()
					if req.Header.Get("Mt-Header-Bytes") == "" {
						req.Header.Set("Mt-Call", "alpha;;crowd;crowd;1;300;300;1500;1;c;POST")
						req.Header.Set("Mt-Uri", "/once/x")
					}
					req.ContentLength = length
					resp, err := transport.RoundTrip(req)
					if err != nil {
						cancel()
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
		wg.Wait()
		return io.EOF
	}
}

// callCrowds are the crowds that send calls over HTTP/2.
func callCrowds() []crowdOf {
	names := http.Header{}
	for i := range 350 {
		names.Set(fmt.Sprintf("K%03d", i), "")
	}
	stops := func(n int) func() *stalledBody { return func() *stalledBody { return &stalledBody{left: n} } }
	whole := func() *stalledBody { return &stalledBody{left: legalBodyBytes, whole: true} }
	slow := func() *stalledBody { return &stalledBody{left: legalBodyBytes, pause: piecePause} }
	return []crowdOf{
		{"calls with headers of different names", calls(names, 0, nil)},
		{"calls with headers of different names, the body stops short", calls(names, shortBodyBytes, stops(shortBodyBytes))},
		{"calls with bodies that stop short", calls(http.Header{}, legalBodyBytes, stops(legalBodyBytes))},
		{"calls with bodies without length that stop short", calls(http.Header{}, -1, stops(legalBodyBytes))},
		{"calls with whole bodies", calls(http.Header{}, legalBodyBytes, whole)},
		{"calls with bodies in pieces", calls(http.Header{}, legalBodyBytes, slow)},
		{"calls with long headers that stop short", calls(http.Header{"Mt-Header-Bytes": {"300000"}}, 300000, stops(300000))},
	}
}

// gatherRequests holds a crowd of requests at the address, and checks the processes as gather does.
func gatherRequests(t *testing.T, alpha, beta *node, address string, send member) {
	t.Helper()
	hold(t, address, requestCrowd, requestCrowdTime, send)
	checkAfterCrowd(t, alpha, beta)
}

// Guards against requests of legal size whose headers or bodies fill the memory of a process, or leave
// it unable to serve others.
func TestRequestCrowdsAtTheListenerForCallers(t *testing.T) {
	crowds := append(headerCrowds(safeTarget), bodyCrowds(onceTarget)...)
	for _, c := range bodyCrowds(safeTarget) {
		crowds = append(crowds, crowdOf{c.desc + ", idempotent", c.send})
	}
	for _, c := range crowds {
		t.Run(c.desc, func(t *testing.T) {
			alpha, beta := startFleetWith(t, requestDescriptors, requestServiceTime)
			gatherRequests(t, alpha, beta, alpha.callers, c.send)
		})
	}
}

// Guards against the same at the listener for other nodes, over HTTP/1 and HTTP/2.
func TestRequestCrowdsAtTheListenerForNodes(t *testing.T) {
	crowds := append(headerCrowds(callTarget), bodyCrowds(callTarget)...)
	for _, c := range append(crowds, callCrowds()...) {
		t.Run(c.desc, func(t *testing.T) {
			alpha, beta := startFleetWith(t, requestDescriptors, requestServiceTime)
			gatherRequests(t, alpha, beta, alpha.peer, c.send)
		})
	}
}

// Guards against the same at the small listeners. Those without a handler that reads bodies differ
// only in their names.
func TestRequestCrowdsAtTheSmallListeners(t *testing.T) {
	announce := append(headerCrowds(announceTarget), bodyCrowds(announceTarget)...)
	headers, bodies := headerCrowds(plainTarget), bodyCrowds(plainTarget)
	plain := []crowdOf{headers[1], headers[4], bodies[0]}
	for _, l := range []struct {
		name    string
		address func(*node) string
		crowds  []crowdOf
	}{
		{"announce", func(n *node) string { return n.announce }, announce},
		{"ready", func(n *node) string { return n.ready }, plain},
		{"metrics", func(n *node) string { return n.metric }, plain},
	} {
		for _, c := range l.crowds {
			t.Run(l.name+", "+c.desc, func(t *testing.T) {
				alpha, beta := startFleetWith(t, requestDescriptors, requestServiceTime)
				gatherRequests(t, alpha, beta, l.address(alpha), c.send)
			})
		}
	}
}

// Guards against limits that refuse a single request within those of the configuration.
func TestSingleRequestsWithinTheLimitsAreServed(t *testing.T) {
	alpha, _ := startFleetWith(t, requestDescriptors, requestServiceTime)
	id := platform.HeaderNames().RequestID
	for _, tt := range []struct{ desc, text string }{
		{"empty fields", fill(safeTarget("GET"), lines[0].line, 16300) + "\r\n"},
		{"different names", fill(safeTarget("GET"), lines[1].line, 15700) + "\r\n"},
		{"cookies", fill(safeTarget("GET"), lines[2].line, 14000) + "\r\n"},
		{"odd characters", fill(safeTarget("GET"), lines[3].line, 14000) + "\r\n"},
		{"largest body", onceTarget("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBodyBytes) + strings.Repeat("x", legalBodyBytes)},
		{"largest body, idempotent", safeTarget("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBodyBytes) + strings.Repeat("x", legalBodyBytes)},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			status, err := alpha.exchange(strings.Replace(tt.text, id+": crowd", id+": single", 1))
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
}

// Guards against a crowd that keeps a planned stop from ending the requests that it has taken.
func TestPlannedStopDuringRequestCrowds(t *testing.T) {
	headers, bodies := headerCrowds(safeTarget), bodyCrowds(onceTarget)
	for _, c := range []crowdOf{headers[1], headers[4], bodies[0], bodies[2], bodies[3], bodies[5]} {
		t.Run(c.desc, func(t *testing.T) {
			alpha, beta := startFleetWith(t, requestDescriptors, requestServiceTime)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for range requestCrowd {
				go attend(ctx, alpha.callers, c.send)
			}
			time.Sleep(requestCrowdTime / 2)
			if err := errors.Join(alpha.stop(), beta.alive()); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a request whose body does not come and that keeps its connection, and so its place, for good.
func TestStalledRequestsLeaveTheOtherListeners(t *testing.T) {
	alpha, _ := startFleet(t)
	for name, tt := range map[string]struct {
		address string
		to      target
	}{
		"announce": {alpha.announce, announceTarget}, "ready": {alpha.ready, plainTarget}, "metrics": {alpha.metric, plainTarget},
		"nodes": {alpha.peer, plainTarget},
	} {
		conn, err := net.Dial("tcp", tt.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\nx", tt.to("POST"), shortBodyBytes); err != nil {
			t.Fatal(err)
		}
		await.Eventually(t, "the connection at listener "+name+" is closed", func() bool {
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err := io.Copy(io.Discard, conn)
			return !errors.Is(err, os.ErrDeadlineExceeded)
		})
	}
}

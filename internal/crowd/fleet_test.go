package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

const (
	// memoryMegabytes and maxDescriptors are the limits in the settings of each process, and the
	// bounds of the checks.
	memoryMegabytes = 64
	maxDescriptors  = 600
	// samplePeriod is the time between two counts of a process's descriptors.
	samplePeriod = 50 * time.Millisecond
	// requestTimeout bounds an ordinary request.
	requestTimeout = 5 * time.Second
)

// program is the path of mtmesh, built without the race detector, which multiplies memory.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "mtmesh")
	build := exec.Command("go", "build", "-o", program, "../../cmd/mtmesh")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a process of mtmesh beside an upstream of the service.
type node struct {
	service                                string
	maxDescriptors                         int
	callers, ready, announce, peer, metric string
	process                                *exec.Cmd
	exited                                 chan struct{}
	logPath                                string
	// descriptors is the largest number of open descriptors so far.
	descriptors atomic.Int64
}

// startFleet starts a node for each service, and waits until each serves requests for the other.
func startFleet(t *testing.T) (alpha, beta *node) {
	t.Helper()
	return startFleetWith(t, maxDescriptors, time.Millisecond)
}

// startFleetWith starts a fleet whose processes have the limit of descriptors. Its upstreams take the
// service time.
func startFleetWith(t *testing.T, descriptors int, serviceTime time.Duration) (alpha, beta *node) {
	t.Helper()
	store := standin.NewStore()
	store.PutConfig(standin.OperatorConfig(1, []string{"alpha", "beta"}, 0))
	storeAddress := serve(t, store)
	alpha, beta = startNode(t, "alpha", storeAddress, descriptors, serviceTime), startNode(t, "beta", storeAddress, descriptors, serviceTime)
	await.Eventually(t, "each node serves requests for the other", func() bool { return alpha.request("beta") == nil && beta.request("alpha") == nil })
	return alpha, beta
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// freePort returns a free address and its port.
func freePort(t *testing.T) (address string, port int) {
	t.Helper()
	address = await.FreeAddress(t)
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	if port, err = strconv.Atoi(text); err != nil {
		t.Fatal(err)
	}
	return address, port
}

func startNode(t *testing.T, service, storeAddress string, descriptors int, serviceTime time.Duration) *node {
	t.Helper()
	n := &node{service: service, maxDescriptors: descriptors, callers: await.FreeAddress(t), ready: await.FreeAddress(t), announce: await.FreeAddress(t), exited: make(chan struct{})}
	upstream := &standin.Upstream{ID: "u-" + service, Service: service, AnnounceAddress: n.announce, Slots: 10, ServiceTime: serviceTime, OnExecute: func(standin.Execution) {}}
	upstream.Restart(0)
	upstream.Address = serve(t, upstream)
	var ports [2]int
	n.peer, ports[0] = freePort(t)
	n.metric, ports[1] = freePort(t)
	host, _, _ := net.SplitHostPort(n.peer)
	settings := standin.SettingsFile("z-"+service, service, upstream.Address, n.callers, n.ready, n.announce, storeAddress, ports)
	settings = strings.Replace(settings, `ip = "127.0.0.1"`, fmt.Sprintf("ip = %q", host), 1)
	settings += fmt.Sprintf("[limits]\nmemory_mb = %d\nmax_fds = %d\n", memoryMegabytes, descriptors)
	path := filepath.Join(t.TempDir(), "node.toml")
	n.logPath = path + ".log"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(program)
	n.process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		<-n.exited
	})
	await.Eventually(t, "the heartbeat is acknowledged", func() bool { return upstream.Announce("ready") })
	go n.sampleDescriptors()
	return n
}

// sampleDescriptors records the largest number of open descriptors until the process exits.
func (n *node) sampleDescriptors() {
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
		if count := int64(len(entries)); err == nil && count > n.descriptors.Load() {
			n.descriptors.Store(count)
		}
		select {
		case <-n.exited:
			return
		case <-time.After(samplePeriod):
		}
	}
}

var requests atomic.Int64

// request sends an ordinary request for the service to the node on a new connection. The error
// is nil if it is served.
func (n *node) request(service string) error {
	status, err := n.exchange(fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\n%s: c%d\r\n\r\n", service, platform.HeaderNames().RequestID, requests.Add(1)))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// exchange sends a request on a new connection and returns the status of the response.
func (n *node) exchange(text string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", n.callers, requestTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// alive returns an error if the process has exited.
func (n *node) alive() error {
	select {
	case <-n.exited:
		b, _ := os.ReadFile(n.logPath)
		return fmt.Errorf("node of %s has exited: %s", n.service, b[max(0, len(b)-2000):])
	default:
		return nil
	}
}

// stop stops the process as planned, and returns an error if that does not end all requests.
func (n *node) stop() error {
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-n.exited
	b, err := os.ReadFile(n.logPath)
	if err != nil {
		return err
	}
	if state := n.process.ProcessState; !state.Success() {
		return fmt.Errorf("node of %s: %v: %s", n.service, state, b[max(0, len(b)-2000):])
	}
	for line := range bytes.Lines(b) {
		if bytes.Contains(line, []byte(event.NodeFailed.Message)) {
			return fmt.Errorf("node of %s: %s", n.service, line)
		}
	}
	return nil
}

// check checks that the process lives and stays within its limits.
func (n *node) check(t *testing.T) {
	t.Helper()
	if err := n.alive(); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	m := peakPattern.FindSubmatch(b)
	if m == nil {
		t.Fatalf("no peak in %s", b)
	}
	kilobytes, err := strconv.ParseFloat(string(m[1]), 64)
	if err != nil {
		t.Fatal(err)
	}
	peak, descriptors := kilobytes*1024/1e6, n.descriptors.Load()
	t.Logf("node of %s: peak of %.0f MB, %d descriptors", n.service, peak, descriptors)
	if peak > memoryMegabytes {
		t.Errorf("node of %s: peak of %.0f MB, limit %d MB", n.service, peak, memoryMegabytes)
	}
	if descriptors > int64(n.maxDescriptors) {
		t.Errorf("node of %s: %d descriptors, limit %d", n.service, descriptors, n.maxDescriptors)
	}
}

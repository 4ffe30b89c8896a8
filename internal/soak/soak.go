// Package soak runs real node processes on one machine, injects faults from outside and
// checks what callers and upstreams observe. A seed fixes the order of the faults, not
// the interleaving of the processes.
package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	apexlog "github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

const (
	// drainBound is how long an upstream may still receive requests after its drain was
	// acknowledged. The users require 2 s.
	drainBound = 2 * time.Second
	// applyBound is the time from the store's acknowledgement of a configuration until
	// nodes apply it. It is checked if VM and store had no fault for settleTime.
	applyBound = 2 * time.Second
	settleTime = 3 * time.Second
	// recoveryTime scales the recovery check after the last fault. Requests in its first
	// third are not counted. Of the requests in the following fifth at least a quarter must
	// be served.
	recoveryTime = 15 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause     = 15 * time.Millisecond
	callersPerVM    = 2
	heartbeatPeriod = 500 * time.Millisecond
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 3 * time.Second
)

// Options of a run.
type Options struct {
	// Binary is the path of mtmesh. Dir is the directory for settings and logs of the
	// processes.
	Binary, Dir string
	Seed        uint64
	// InjectFor is how long faults are injected.
	InjectFor time.Duration
	VMs       int
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Rejected int
	Faults                     []string
	Violations                 []string
	// MaxRuns is the largest number of requests that ran in a quotaWindow, by organisation.
	MaxRuns map[string]int
	// MaxColdArrivals is the largest number of requests that a cold upstream got within one second.
	MaxColdArrivals int
	// MaxMemoryMegabytes is the largest memory of a process that met a crowd.
	MaxMemoryMegabytes float64
}

// soak is the state of a run. The mutex guards the fields below it.
type soak struct {
	Options
	store *standin.Store
	vms   []*vm
	quit  chan struct{}
	wg    sync.WaitGroup
	// nextCrowd is the number of the next crowd.
	nextCrowd int

	mu     sync.Mutex
	report Report
	// executions counts the executions by request id. rejectedBy maps the id of a rejected
	// request to the VM whose node rejected it.
	executions map[string]int
	rejectedBy map[string]string
	// drainedAt is when the drain of an upstream was acknowledged.
	drainedAt map[string]time.Time
	// evacuatedAt is when the evacuation of a failure domain was acknowledged, until it is taken back.
	evacuatedAt map[string]time.Time
	version     int
	lastRoute   int
	lastRouteAt time.Time
	// keys are all keys, and keyInForce maps each organisation to the index of its newest one.
	// lastWithdrawn is the index of the key that was withdrawn last, or neverHeld.
	keys          []key
	keyInForce    map[string]int
	lastWithdrawn int
	// requests are the requests by id. runs counts those that ran, by organisation and quotaWindow.
	requests map[string]sentRequest
	runs     map[runWindow]int
	// lastStoreFault is when the store last had a fault.
	lastStoreFault time.Time
	// servedAfterFaults and sentAfterFaults count requests while faultsEnded is set.
	servedAfterFaults int
	sentAfterFaults   int
	faultsEnded       bool
}

var services = []string{"alpha", "beta"}

func newSoak(o Options) *soak {
	return &soak{
		Options: o, store: standin.NewStore(), quit: make(chan struct{}), executions: map[string]int{}, rejectedBy: map[string]string{},
		drainedAt: map[string]time.Time{}, evacuatedAt: map[string]time.Time{}, keys: make([]key, 1), keyInForce: map[string]int{},
		requests: map[string]sentRequest{}, runs: map[runWindow]int{},
	}
}

// Run runs the fleet under the faults of one seed and checks the results.
func Run(o Options) (Report, error) {
	s := newSoak(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Report{}, err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s.publishConfig(0, organisations...)
	for i := range o.VMs {
		v, err := newVM(fmt.Sprintf("vm%d", i), o.Binary, o.Dir, services[i%len(services)], l.Addr().String(), s.checkExecution)
		if err != nil {
			return Report{}, err
		}
		s.vms = append(s.vms, v)
		if err := errors.Join(v.limit(crowdMemoryMegabytes, crowdDescriptors), v.start()); err != nil {
			return Report{}, err
		}
	}
	defer s.stopProcesses()
	for _, v := range s.vms {
		s.spawn(func() { s.sendHeartbeats(v) })
		for c := range callersPerVM {
			s.spawn(func() { s.sendRequests(v, c) })
		}
	}
	time.Sleep(settleTime)
	if err := s.injectFaults(); err != nil {
		return s.report, err
	}
	s.awaitRecovery()
	close(s.quit)
	s.wg.Wait()
	s.checkHistory()
	return s.report, nil
}

func (s *soak) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// stopProcesses kills the processes that the run started.
func (s *soak) stopProcesses() {
	for _, v := range s.vms {
		_ = v.signal(syscall.SIGCONT)
		_ = v.signal(syscall.SIGKILL)
		v.wait()
		_ = v.upstreamServer.Close()
		_ = v.storeProxy.listener.Close()
	}
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

// checkExecution checks a request when an upstream starts to execute it.
func (s *soak) checkExecution(v *vm, e standin.Execution) {
	s.checkAccess(v, e)
	s.mu.Lock()
	s.executions[e.RequestID]++
	n, drained := s.executions[e.RequestID], s.drainedAt[e.Upstream]
	s.mu.Unlock()
	if strings.HasPrefix(e.RequestID, "once-crowd") {
		s.violation("request %s ran without its whole body", e.RequestID)
	}
	if n > 1 && strings.HasPrefix(e.RequestID, "once") {
		s.violation("request %s ran %d times", e.RequestID, n)
	}
	if !drained.IsZero() && e.StartedAt.Sub(drained) > drainBound {
		s.violation("request %s ran at %s %v after its drain was acknowledged", e.RequestID, e.Upstream, e.StartedAt.Sub(drained))
	}
}

// sendHeartbeats announces the upstream to its node until the run ends.
func (s *soak) sendHeartbeats(v *vm) {
	for {
		select {
		case <-s.quit:
			return
		case <-time.After(heartbeatPeriod):
			if !v.upstream.Draining() && !v.upstreamDown.Load() {
				v.upstream.Announce("ready")
			}
		}
	}
}

// sendRequests sends requests to the VM's node and checks each response.
func (s *soak) sendRequests(v *vm, caller int) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableCompression: true}}
	var lastSeen, seenStarts int
	for i := 0; ; i++ {
		select {
		case <-s.quit:
			return
		case <-time.After(callerPause):
		}
		kind := []string{"safe", "once"}[i%2]
		id := fmt.Sprintf("%s-%s-%d-%d", kind, v.name, caller, i)
		index, sentAt := s.pickKey(i/2), time.Now()
		s.recordSent(id, sentRequest{v, index})
		status, body := post(client, v.outboundAddress, services[i/2%len(services)], "/"+kind+"/x", id, index)
		s.checkResponse(v, id, index, sentAt, status, body)
		if i%10 == 0 {
			s.sendPipelined(v, caller, i)
		}
		if i%20 == 0 {
			lastSeen, seenStarts = s.checkRoute(client, v, lastSeen, seenStarts)
		}
	}
}

// recordSent records a request before it is sent.
func (s *soak) recordSent(id string, r sentRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[id] = r
}

// checkResponse counts and checks a response, or status 0 if there was none.
func (s *soak) checkResponse(v *vm, id string, index int, sentAt time.Time, status int, body string) {
	s.checkKeyStatus(id, v, index, status, sentAt)
	s.mu.Lock()
	s.report.Requests++
	// Requests with keys that are not in force are not to be served.
	if s.faultsEnded && index == s.keyInForce[s.keys[index].organisation] && index != neverHeld {
		s.sentAfterFaults++
	}
	switch status {
	case http.StatusOK:
		s.report.Served++
		if s.faultsEnded {
			s.servedAfterFaults++
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		s.report.Rejected++
		s.rejectedBy[id] = v.name
	}
	s.mu.Unlock()
	if status == http.StatusOK && body != standin.ResponseBody(id) {
		s.violation("request %s got response body %q", id, body)
	}
	if status == http.StatusNotFound {
		s.violation("request %s: status 404 for a route that every configuration has", id)
	}
}

// post sends a request with the id and the key and returns status and body of the response. The status
// is 0 without a complete response.
func post(client *http.Client, address, host, path, id string, index int) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	names := platform.HeaderNames()
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.TimeoutMillis, "1500")
	req.Header.Set(names.Credentials, names.KeyScheme+" "+keyText(index))
	req.Header.Set(names.Organisation, spoofedOrganisation)
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// checkRoute requests the newest route. The node must serve it once applyBound has passed
// since its addition. A route that the node has served must stay until the node restarts.
// lastSeen is the newest route that the node served, and seenStarts is the number of its
// starts at that time. checkRoute returns the new values of both.
func (s *soak) checkRoute(client *http.Client, v *vm, lastSeen, seenStarts int) (int, int) {
	s.mu.Lock()
	route, sinceAdded := s.lastRoute, time.Since(s.lastRouteAt)
	storeSettled := time.Since(s.lastStoreFault) > settleTime
	s.mu.Unlock()
	starts, sinceFault := v.state()
	if route == 0 || v.upstream.Draining() {
		return lastSeen, starts
	}
	id, index := fmt.Sprintf("route-%s-%d", v.name, time.Now().UnixNano()), s.pickKey(0)
	s.recordSent(id, sentRequest{v, index})
	status, _ := post(client, v.outboundAddress, services[0], fmt.Sprintf("/v%d/x", route), id, index)
	startsAfter, sinceFaultAfter := v.state()
	switch {
	case status == http.StatusOK:
		return route, starts
	case status != http.StatusNotFound || startsAfter != starts:
		return lastSeen, seenStarts
	case lastSeen >= route && seenStarts == starts:
		s.violation("%s lost route v%d", v.name, route)
	case sinceAdded > applyBound && sinceFault > settleTime && sinceFaultAfter > settleTime && storeSettled:
		s.violation("%s has no route v%d %v after it was added", v.name, route, sinceAdded)
	}
	return lastSeen, seenStarts
}

// awaitRecovery ends all faults and counts the requests served after part of recoveryTime.
func (s *soak) awaitRecovery() {
	s.store.SetFault(standin.NoFault)
	for _, v := range s.vms {
		v.storeProxy.setMode(pass)
		v.upstream.SetFaults(0, 1)
	}
	time.Sleep(recoveryTime / 3)
	s.mu.Lock()
	s.faultsEnded = true
	s.mu.Unlock()
	time.Sleep(recoveryTime / 5)
}

// checkHistory makes the checks that need the complete history.
func (s *soak) checkHistory() {
	for id, vmName := range s.rejectedBy {
		if strings.HasPrefix(id, "once") && s.executions[id] > 0 {
			s.violation("request %s was rejected by the node of %s but ran", id, vmName)
		}
	}
	for _, v := range s.vms {
		n := v.upstream.MaxColdArrivals()
		s.report.MaxColdArrivals = max(s.report.MaxColdArrivals, n)
		if n > coldBound {
			s.violation("%s got %d requests in one second while it was cold", v.upstream.ID, n)
		}
	}
	s.report.MaxRuns = s.maxRuns()
	if s.sentAfterFaults == 0 || s.servedAfterFaults*4 < s.sentAfterFaults {
		s.violation("only %d of %d requests were served after the faults ended", s.servedAfterFaults, s.sentAfterFaults)
	}
}

// injectFaults injects faults one after another until the time is over, and logs them to a
// file beside the nodes' logs.
func (s *soak) injectFaults() (err error) {
	log, err := os.Create(filepath.Join(s.Dir, "faults.log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	events := event.NewLogger(log, event.FormatJSON, apexlog.InfoLevel)
	r := rand.New(rand.NewPCG(s.Seed, 0))
	for end := time.Now().Add(s.InjectFor); time.Now().Before(end); {
		f := faults[r.IntN(len(faults))]
		v := s.vms[r.IntN(len(s.vms))]
		s.report.Faults = append(s.report.Faults, f.name+" "+v.name)
		began := time.Now()
		if err := f.inject(s, v, r); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		events.Emit(event.FaultInjected, event.Fields{"fault": f.name, "vm": v.name, "lasted_ms": time.Since(began).Milliseconds()})
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
	return nil
}

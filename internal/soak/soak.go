// Package soak runs the real node processes on one machine, harms them from outside
// and checks what callers and upstreams see. A seed fixes the order of the faults, not
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
	// drainBound is how long after its acknowledged leaving an upstream may still get
	// requests; the users state 2 s.
	drainBound = 2 * time.Second
	// applyBound is the time from the store's acknowledgement to the configuration in
	// force, and calmTime how long a VM must have been undisturbed for it to hold.
	applyBound = 2 * time.Second
	calmTime   = 3 * time.Second
	// recovery is the time after the last fault from which a quarter must be served.
	recovery = 15 * time.Second
	// callerPause and callersPerVM give the load.
	callerPause  = 15 * time.Millisecond
	callersPerVM = 2
	heartbeat    = 500 * time.Millisecond
)

// Options of a run.
type Options struct {
	Binary, Dir string
	Seed        uint64
	Faults      time.Duration
	VMs         int
}

// Report is what a run saw.
type Report struct {
	Requests, Served, Refused int
	Faults                    []string
	Violations                []string
}

type soak struct {
	Options
	store *standin.Store
	vms   []*vm
	quit  chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	report  Report
	runs    map[string]int
	refused map[string]string
	drained map[string]time.Time
	added   int
	addedAt time.Time
	// storeHarmed is when the store was last in trouble.
	storeHarmed time.Time
	lateServed  int
	lateAsked   int
	late        bool
}

var services = []string{"alpha", "beta"}

// Run plays one seed.
func Run(o Options) (Report, error) {
	s := &soak{Options: o, store: standin.NewStore(), quit: make(chan struct{}), runs: map[string]int{}, refused: map[string]string{}, drained: map[string]time.Time{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Report{}, err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s.store.PutConfig(standin.Config(1, services, 0))
	for i := range o.VMs {
		v, err := newVM(fmt.Sprintf("vm%d", i), o.Binary, o.Dir, services[i%len(services)], l.Addr().String(), s.ran)
		if err != nil {
			return Report{}, err
		}
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return Report{}, err
		}
	}
	defer s.end()
	for _, v := range s.vms {
		s.spawn(func() { s.announce(v) })
		for c := range callersPerVM {
			s.spawn(func() { s.call(v, c) })
		}
	}
	time.Sleep(calmTime)
	if err := s.harm(); err != nil {
		return s.report, err
	}
	s.recover()
	close(s.quit)
	s.wg.Wait()
	s.judge()
	return s.report, nil
}

func (s *soak) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// end stops the processes that the run started.
func (s *soak) end() {
	for _, v := range s.vms {
		_ = v.signal(syscall.SIGCONT)
		_ = v.signal(syscall.SIGKILL)
		v.wait()
		_ = v.app.Close()
		_ = v.store.listener.Close()
	}
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

// ran checks an execution as it begins.
func (s *soak) ran(r standin.Run) {
	s.mu.Lock()
	s.runs[r.ID]++
	n, gone := s.runs[r.ID], s.drained[r.Upstream]
	s.mu.Unlock()
	if n > 1 && strings.HasPrefix(r.ID, "once") {
		s.violation("request %s ran %d times", r.ID, n)
	}
	if !gone.IsZero() && r.At.Sub(gone) > drainBound {
		s.violation("request %s reached %s %v after it had left", r.ID, r.Upstream, r.At.Sub(gone))
	}
}

func (s *soak) announce(v *vm) {
	for {
		select {
		case <-s.quit:
			return
		case <-time.After(heartbeat):
			if !v.upstream.Draining() {
				v.upstream.Announce("ready")
			}
		}
	}
}

// call sends requests to the VM's node and checks each answer.
func (s *soak) call(v *vm, caller int) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	var route, starts int
	for i := 0; ; i++ {
		select {
		case <-s.quit:
			return
		case <-time.After(callerPause):
		}
		kind := []string{"safe", "once"}[i%2]
		id := fmt.Sprintf("%s-%s-%d-%d", kind, v.name, caller, i)
		s.ask(client, v, services[i/2%len(services)], kind, id)
		if i%20 == 0 {
			route, starts = s.checkRoute(client, v, route, starts)
		}
	}
}

func (s *soak) ask(client *http.Client, v *vm, service, path, id string) {
	status, body := request(client, v.outbound, service, "/"+path+"/x", id)
	s.mu.Lock()
	s.report.Requests++
	if s.late {
		s.lateAsked++
	}
	switch status {
	case http.StatusOK:
		s.report.Served++
		if s.late {
			s.lateServed++
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.report.Refused++
		s.refused[id] = v.name
	}
	s.mu.Unlock()
	if status == http.StatusOK && body != standin.Answer(id) {
		s.violation("request %s got %q", id, body)
	}
	if status == http.StatusNotFound {
		s.violation("request %s: 404 for a route that was always there", id)
	}
}

// request returns status 0 if there was no whole answer.
func request(client *http.Client, address, host, path, id string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	names := platform.Names()
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.TimeoutMillis, "1500")
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

// checkRoute asks for the route that was added last. It must be there within the
// bound, and once seen it must not vanish while the process lives.
func (s *soak) checkRoute(client *http.Client, v *vm, seen, seenAt int) (int, int) {
	s.mu.Lock()
	added, since := s.added, time.Since(s.addedAt)
	calmStore := time.Since(s.storeHarmed) > calmTime
	s.mu.Unlock()
	starts, calm := v.state()
	if added == 0 || v.upstream.Draining() {
		return seen, starts
	}
	status, _ := request(client, v.outbound, services[0], fmt.Sprintf("/v%d/x", added), fmt.Sprintf("route-%s-%d", v.name, time.Now().UnixNano()))
	after, calmAfter := v.state()
	switch {
	case status == http.StatusOK:
		return added, starts
	case status != http.StatusNotFound || after != starts:
		return seen, seenAt
	case seen >= added && seenAt == starts:
		s.violation("%s lost route v%d", v.name, added)
	case since > applyBound && calm > calmTime && calmAfter > calmTime && calmStore:
		s.violation("%s has no route v%d %v after it was added", v.name, added, since)
	}
	return seen, seenAt
}

// recover ends all faults and asks that the fleet serves again.
func (s *soak) recover() {
	s.store.Misbehave(standin.None)
	for _, v := range s.vms {
		v.store.set(pass)
		v.upstream.Misbehave(0, 1)
	}
	time.Sleep(recovery / 3)
	s.mu.Lock()
	s.late = true
	s.mu.Unlock()
	time.Sleep(recovery / 5)
}

// judge checks what only the whole history shows.
func (s *soak) judge() {
	for id, node := range s.refused {
		if strings.HasPrefix(id, "once") && s.runs[id] > 0 {
			s.violation("request %s was refused by %s and ran", id, node)
		}
	}
	if s.lateAsked == 0 || s.lateServed*4 < s.lateAsked {
		s.violation("after the faults %d of %d requests were served", s.lateServed, s.lateAsked)
	}
}

// harm injects faults, one or two at a time, until the time is over, and logs them
// beside the nodes' logs.
func (s *soak) harm() (err error) {
	log, err := os.Create(filepath.Join(s.Dir, "faults.log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	events := event.NewLogger(log, event.FormatJSON, apexlog.InfoLevel)
	r := rand.New(rand.NewPCG(s.Seed, 0))
	for end := time.Now().Add(s.Faults); time.Now().Before(end); {
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

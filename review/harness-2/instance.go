package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names of headers of the platform.
const (
	idHeader       = "X-Mulberrytray-Attempt-Id"
	deadlineHeader = "X-Mulberrytray-Deadline-Ms"
	sealHeader     = "X-Mulberrytray-Response-Seal"
	expectHeader   = "X-Mulberrytray-Expect-Instance"
	loadHeader     = "X-Mulberrytray-Instance-Load"
	notRunHeader   = "X-Mulberrytray-Not-Executed"
	instanceHeader = "X-Mulberrytray-Instance-Id"
	tenantHeader   = "X-Mulberrytray-Tenant"
	coldHeader     = "X-Mulberrytray-Cold-Ms"
)

const (
	slots = 12
	// beatInterval is that of the settings.
	beatInterval = 1500 * time.Millisecond
)

// execution is a request that an instance has run.
type execution struct {
	id, instance, path, tenant, authorization string
	at                                        time.Time
}

// instance is a sound instance that follows the platform's pages.
type instance struct {
	f                                         *fleet
	name, id, service, zone, address, control string
	born                                      int64
	work                                      time.Duration
	server                                    *http.Server
	running, reads                            atomic.Int64
	stop                                      chan struct{}

	// mu also guards id and born, which change when the instance starts again.
	mu sync.Mutex
	// sequence is that of the last heartbeat.
	sequence int64
	// coldUntil is the end of the cold time, or zero.
	coldUntil time.Time
	// coldLimit is the number of requests in one second beyond which a cold instance crashes, or 0.
	coldLimit int
	// down is set while the instance is away after a crash. starts counts its starts.
	down       bool
	starts     int
	executions []execution
	// poison is the path of requests that crash the instance, and crashes when that happened.
	poison  string
	crashes []time.Time
}

func newInstance(f *fleet, id, service, zone, address, control string) *instance {
	return &instance{
		f: f, name: id, id: id, service: service, zone: zone, address: address, control: control, born: time.Now().UnixMilli(), work: 20 * time.Millisecond, stop: make(chan struct{}),
	}
}

func (i *instance) listen() error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(l) }()
	return nil
}

func (i *instance) close() {
	select {
	case <-i.stop:
	default:
		close(i.stop)
	}
	if i.server != nil {
		_ = i.server.Close()
	}
}

// currentID returns the id of the current start.
func (i *instance) currentID() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.id
}

// ServeHTTP runs a request or answers a health check.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(loadHeader, fmt.Sprintf("%d,0,%d,100", i.running.Load(), slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set(instanceHeader, i.currentID())
		if left := i.coldLeft(); left > 0 {
			w.Header().Set(coldHeader, fmt.Sprint(left.Milliseconds()))
		}
		return
	}
	id, own := r.Header.Get(idHeader), i.currentID()
	w.Header().Set(idHeader, id)
	if want := r.Header.Get(expectHeader); want != "" && want != own {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.running.Add(1) > slots {
		i.running.Add(-1)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	if r.Method == http.MethodGet {
		i.reads.Add(1)
		defer i.reads.Add(-1)
	}
	e := execution{id, own, r.URL.Path, r.Header.Get(tenantHeader), r.Header.Get("Authorization"), time.Now()}
	i.mu.Lock()
	i.executions = append(i.executions, e)
	i.mu.Unlock()
	i.f.note("instance %s runs %s %s, tenant %q, key %q", own, id, r.URL.Path, e.tenant, e.authorization)
	if i.poison != "" && r.URL.Path == i.poison {
		go i.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if i.overColdLimit() {
		go i.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work := i.work
	if i.coldLeft() > 0 {
		work *= 2
	}
	time.Sleep(work)
	w.Header().Set(sealHeader, "seal-of-"+own)
	_, _ = io.WriteString(w, "answer to "+id)
}

// coldLeft returns how much longer the instance stays cold.
func (i *instance) coldLeft() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(0, time.Until(i.coldUntil))
}

// overColdLimit reports whether the instance is cold and got more requests in the last second than it bears.
func (i *instance) overColdLimit() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, count := time.Now(), 0
	if i.coldLimit == 0 || !now.Before(i.coldUntil) {
		return false
	}
	since := i.coldUntil.Add(-coldTime)
	for _, e := range i.executions {
		if e.at.After(since) && now.Sub(e.at) < time.Second {
			count++
		}
	}
	return count > i.coldLimit
}

// crashTime is how long an instance is away after a crash.
const crashTime = 2 * time.Second

// crash ends all connections of the instance. It is back after crashTime as a new incarnation.
func (i *instance) crash() {
	i.mu.Lock()
	if i.down {
		i.mu.Unlock()
		return
	}
	i.down = true
	i.crashes = append(i.crashes, time.Now())
	i.mu.Unlock()
	i.f.note("instance %s crashes", i.currentID())
	_ = i.server.Close()
	if !i.pause(crashTime) {
		return
	}
	i.mu.Lock()
	i.starts++
	i.id = fmt.Sprintf("%s.%d", i.name, i.starts)
	i.sequence, i.born, i.down, i.coldUntil = 0, time.Now().UnixMilli(), false, time.Time{}
	i.mu.Unlock()
	if err := i.listen(); err != nil {
		i.f.note("instance %s does not start again: %v", i.name, err)
		return
	}
	i.f.note("instance %s starts", i.currentID())
	i.heartbeat()
}

// ran returns the requests that have run so far.
func (i *instance) ran() []execution {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]execution(nil), i.executions...)
}

// beat sends heartbeats until the instance ends.
func (i *instance) beat() {
	// The first one is sent again at once until the node listens.
	for !i.heartbeat() {
		if !i.pause(100 * time.Millisecond) {
			return
		}
	}
	for i.pause(beatInterval) {
		i.mu.Lock()
		down := i.down
		i.mu.Unlock()
		if !down {
			i.heartbeat()
		}
	}
}

// pause waits for d. It reports false if the instance has ended.
func (i *instance) pause(d time.Duration) bool {
	select {
	case <-i.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// heartbeat sends a heartbeat with the next sequence number.
func (i *instance) heartbeat() bool {
	i.mu.Lock()
	i.sequence++
	sequence := i.sequence
	i.mu.Unlock()
	return i.sendHeartbeat(sequence)
}

// sendHeartbeat reports whether the heartbeat with the sequence number was acknowledged.
func (i *instance) sendHeartbeat(sequence int64) bool {
	coldLeft := i.coldLeft().Milliseconds()
	i.mu.Lock()
	born := i.born
	i.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":%d,"sequence":%d,"born":%d}`,
		i.service, i.address, i.zone, slots, coldLeft, sequence, born)
	return i.send("instances.heartbeat", body)
}

func (i *instance) send(call, body string) bool {
	client, id := http.Client{Timeout: time.Second}, i.currentID()
	resp, err := client.Post("http://"+i.control+"/rpc?call="+call+"&of="+id, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	i.f.note("%s of %s %s: %d", call, id, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// instanceSettings are the settings of a stand-in instance.
type instanceSettings struct {
	ID, Service, Zone, Address, Control string
	Slots                               int
	Work                                time.Duration
	// Born is the start time of the instance in Unix milliseconds; 0 stands for now.
	Born int64
	// Unframed makes the instance answer requests with long bodies before it has read them,
	// without a length.
	Unframed bool
	// OwnProcess is set if the instance is killed by the case.
	OwnProcess bool
}

const heartbeatPeriod = 1500 * time.Millisecond

// execution is an event at an instance, which it prints as a line of JSON.
type execution struct {
	At        time.Time
	Event, ID string
	Instance  string
}

// instance is a stand-in for an application instance.
type instance struct {
	instanceSettings
	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool

	mu  sync.Mutex
	out io.Writer
}

func newInstance(s instanceSettings, out io.Writer) *instance {
	if s.Born == 0 {
		s.Born = time.Now().UnixMilli()
	}
	return &instance{instanceSettings: s, out: out}
}

// runInstance runs an instance as a process of its own. Lines on standard input are commands.
func runInstance(encoded string) error {
	var s instanceSettings
	if err := json.Unmarshal([]byte(encoded), &s); err != nil {
		return err
	}
	in := newInstance(s, os.Stdout)
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	go in.serve(l)
	// The process ends with the one that started it.
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

func (in *instance) serve(l net.Listener) {
	go in.sendHeartbeats()
	_ = (&http.Server{Handler: in}).Serve(l)
}

func (in *instance) sendHeartbeats() {
	for !in.leaving.Load() {
		pause := heartbeatPeriod
		if !in.heartbeat("ready") {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (in *instance) log(event, id string) {
	b, err := json.Marshal(execution{time.Now(), event, id, in.ID})
	if err != nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	_, _ = in.out.Write(append(b, '\n'))
}

// heartbeat sends a heartbeat and reports whether it was acknowledged within a second.
func (in *instance) heartbeat(state string) bool {
	return in.call("heartbeat", in.heartbeatBody(state))
}

// heartbeatBody returns the next heartbeat.
func (in *instance) heartbeatBody(state string) map[string]any {
	return map[string]any{
		"service": in.Service, "address": in.Address, "zone": in.Zone, "version": "v1", "slots": in.Slots,
		"state": state, "cold_left_ms": 0, "sequence": in.sequence.Add(1), "born": in.Born,
	}
}

func (in *instance) deregister() bool {
	in.leaving.Store(true)
	return in.call("deregister", map[string]any{"born": in.Born})
}

func (in *instance) call(name string, body map[string]any) bool {
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+in.Control+"/rpc?call=instances."+name+"&of="+in.ID, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

const (
	attemptID = "X-Mulberrytray-Attempt-Id"
	deadline  = "X-Mulberrytray-Deadline-Ms"
	seal      = "X-Mulberrytray-Response-Seal"
	expect    = "X-Mulberrytray-Expect-Instance"
	loadName  = "X-Mulberrytray-Instance-Load"
	notRun    = "X-Mulberrytray-Not-Executed"
	instID    = "X-Mulberrytray-Instance-Id"
)

// answerBody is the body of the answer to a request.
func answerBody(id string) []byte { return bytes.Repeat([]byte(id+"\n"), 1200) }

func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(loadName, fmt.Sprintf("%d,0,%d,100", in.running.Load(), in.Slots))
	if r.URL.Path == "/healthz" {
		h.Set(instID, in.ID)
		if in.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(attemptID)
	h.Set(attemptID, id)
	if want := r.Header.Get(expect); want != "" && want != in.ID {
		h.Set(instID, in.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.running.Add(1) > int64(in.Slots) {
		in.running.Add(-1)
		h.Set(notRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer in.running.Add(-1)
	in.log("run", id)
	if in.Unframed && r.ContentLength > 64<<10 {
		in.answerUnframed(w, r, id)
		return
	}
	time.Sleep(in.Work)
	h.Set(seal, "seal-"+in.ID)
	body := answerBody(id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answerUnframed answers before the instance has read the request's body. The answer has no
// length and ends with the connection. The instance then reads the rest of the body, so that
// the connection is closed and not reset.
func (in *instance) answerUnframed(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.CopyN(io.Discard, r.Body, 16<<10)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := answerBody(id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n\r\n", attemptID, id, seal, in.ID)
	_, _ = conn.Write(body[:len(body)/2])
	in.log("half", id)
	time.Sleep(in.Work)
	_, _ = conn.Write(body[len(body)/2:])
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, buffered)
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// program is the program of the role in deploy/system.toml. The scripts start in the root of
// the repository.
const program = "target/mtmesh"

// machine is a sidecar machine with its node and its instance.
type machine struct {
	name, ip, zone, service string
	ports                   portList
	settings                string
	node                    *process
	instance                *process
	// local is the instance if it runs in this process.
	local            *instance
	instanceSettings instanceSettings
	// lastRead is when the node last began to wait for changes at the store, in Unix nanoseconds.
	lastRead atomic.Int64
}

func (m *machine) addr(port int) string     { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) instanceAddress() string  { return m.addr(m.ports.app) }
func (m *machine) outboundAddress() string  { return m.addr(m.ports.outbound) }
func (m *machine) controlAddress() string   { return m.addr(m.ports.control) }
func (m *machine) readinessAddress() string { return m.addr(m.ports.ready) }

// portList holds the ports, which are the same on all machines.
type portList struct{ app, inbound, outbound, ready, control, peer, store int }

// process is a process that the script has started.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string
	ports    portList
	store    *store
	machines []*machine
	record   *record
	// firstStart is set until the first restart of a node.
	firstStart bool
	// inProcess is set if the instances run in the process of the case, because they are not
	// killed.
	inProcess bool
	// network is the second byte of the addresses.
	network int

	mu         sync.Mutex
	executions []execution
	processes  []*process
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// newDeployment starts the store and chooses ports that are free on all addresses.
func newDeployment(rec *record, machines int, services []string, zones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "mulberrytray-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: newStore(), record: rec, firstStart: true, network: 1 + os.Getpid()%200}
	for i := range machines {
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("m%d", i+1), ip: fmt.Sprintf("127.%d.0.%d", d.network, i+1), zone: zones[i%len(zones)], service: services[i%len(services)],
		})
	}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	// Each machine reaches the store at an address of its own, which tells its calls apart.
	for _, m := range d.machines {
		l, err := net.Listen("tcp", d.storeAddress(m))
		if err != nil {
			return nil, err
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/log-read" {
					m.lastRead.Store(time.Now().UnixNano())
				}
				d.store.ServeHTTP(w, r)
			}))
		}()
	}
	return d, nil
}

func (d *deployment) storeAddress(m *machine) string {
	return fmt.Sprintf("127.%d.1.%s:%d", d.network, m.name[1:], d.ports.store)
}

// choosePorts finds consecutive ports that are free on the first machine's address. The
// addresses of the others are used by this script only.
func (d *deployment) choosePorts() error {
	for base := 21000 + os.Getpid()%8000; base < 32000; base += 20 {
		free := true
		for p := base; p < base+20 && free; p++ {
			for _, m := range d.machines {
				l, err := net.Listen("tcp", m.addr(p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			d.ports = portList{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 19}
			for _, m := range d.machines {
				m.ports = d.ports
				m.settings = filepath.Join(d.dir, m.name+".toml")
			}
			return nil
		}
	}
	return errors.New("no free ports")
}

// settingsText returns the settings of a node, with the values of a small deployment.
func (d *deployment) settingsText(m *machine) string {
	p := d.ports
	return fmt.Sprintf(`node = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "ostregion"
internal_ports = [%d,%d]
seeds = []
bootstrap = %t
loss_counted = false
discovery = "static"
entry = "static"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
app_addr = %q
service = %q
[listen]
inbound = %q
outbound = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 56
recovery_s = 15
probes_per_s = 60
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
write_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
`, m.name, m.ip, m.zone, p.peer, p.peer+10, d.firstStart, m.addr(p.app), m.service,
		m.addr(p.inbound), m.addr(p.outbound), m.addr(p.ready), m.addr(p.control), d.storeAddress(m))
}

// startNode starts the node of a machine. Its output goes to a file of the temporary folder.
func (d *deployment) startNode(m *machine) error {
	if err := os.WriteFile(m.settings, []byte(d.settingsText(m)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"MULBERRYTRAY_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	cmd.Stdout, cmd.Stderr = out, out
	m.node, err = d.start(cmd)
	return err
}

// startInstance starts the instance of a machine as a process and collects its events.
func (d *deployment) startInstance(m *machine, s instanceSettings) error {
	s.Service, s.Zone, s.Address, s.Control = m.service, m.zone, m.instanceAddress(), m.controlAddress()
	m.instanceSettings = s
	if d.inProcess && !s.OwnProcess {
		return d.serveInstance(m, s)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return err
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(exe, "instance", string(encoded))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if m.instance, err = d.start(cmd); err != nil {
		return err
	}
	m.instance.stdin = stdin
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var e execution
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				d.addExecution(e)
			}
		}
	}()
	return nil
}

// serveInstance runs an instance in this process.
func (d *deployment) serveInstance(m *machine, s instanceSettings) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	m.local = newInstance(s, executionWriter{d})
	go m.local.serve(l)
	return nil
}

// executionWriter adds the events of an instance in this process.
type executionWriter struct{ d *deployment }

func (w executionWriter) Write(line []byte) (int, error) {
	var e execution
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, err
	}
	w.d.addExecution(e)
	return len(line), nil
}

func (d *deployment) addExecution(e execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executions = append(d.executions, e)
	d.record.printf("instance %s: %s %s", e.Instance, e.Event, e.ID)
}

func (d *deployment) executionList() []execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]execution(nil), d.executions...)
}

func (d *deployment) start(cmd *exec.Cmd) (*process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, nil
}

// startAll starts all nodes and instances and waits until all nodes are ready.
func (d *deployment) startAll(config []byte, settings func(m *machine) instanceSettings) error {
	d.store.putConfig(config)
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return err
		}
		if err := d.startInstance(m, settings(m)); err != nil {
			return err
		}
	}
	if err := d.awaitReady(d.machines, 15*time.Second); err != nil {
		return err
	}
	// The instances announce themselves within one heartbeat.
	time.Sleep(2 * time.Second)
	d.firstStart = false
	return nil
}

// awaitReady waits until the nodes answer 200 to the readiness check.
func (d *deployment) awaitReady(machines []*machine, within time.Duration) error {
	end := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	for _, m := range machines {
		for {
			resp, err := client.Get("http://" + m.readinessAddress() + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// answer is what a client got for a request.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	seal       string
	body       []byte
	err        error
}

// send sends one attempt on a connection of its own.
func (d *deployment) send(m *machine, method, host, path, id string, deadlineMillis int, body []byte) answer {
	a := answer{id: id, sent: time.Now()}
	d.record.printf("client at %s: %s %s%s as %s", m.name, method, host, path, id)
	defer func() {
		a.done = time.Now()
		d.record.printf("client at %s: %s got %d, %d bytes, seal %q, error %v", m.name, id, a.status, len(a.body), a.seal, a.err)
	}()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: time.Duration(deadlineMillis+1000) * time.Millisecond}
	req, err := http.NewRequest(method, "http://"+m.outboundAddress()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(attemptID, id)
	req.Header.Set(deadline, fmt.Sprint(deadlineMillis))
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get(seal)
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// rule is a routing rule of a configuration.
type rule struct {
	host, prefix, kind, service string
}

// operatorConfig returns a configuration as the operator writes it.
func operatorConfig(version int, services []string, rules []rule) []byte {
	byHost := map[string][]any{}
	var hosts []string
	for i, r := range rules {
		if byHost[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": fmt.Sprintf("r%d", i), "kind": r.kind, "priority": 1, "target_latency_ms": 500,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": 3000, "max_attempts": 2},
		})
	}
	listeners, clusters := []any{}, []any{}
	for _, h := range hosts {
		listeners = append(listeners, map[string]any{"host": h, "rules": byHost[h]})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 220})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "listeners": listeners, "clusters": clusters,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

// vm is an upstream and the node process beside it.
type vm struct {
	name, binary, dir                 string
	service, domain                   string
	upstreamServer                    *http.Server
	outboundAddress, readinessAddress string
	controlAddress                    string
	storeProxy                        *proxy
	upstream                          *standin.Upstream
	// upstreamDown is set while the upstream restarts.
	upstreamDown atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// starts counts the starts of the node. lastFault is when the VM last had a fault.
	starts    int
	lastFault time.Time
}

// newVM starts the upstream. The node is started by start.
func newVM(name, binary, dir, service, storeAddress string, onExecute func(*vm, standin.Execution)) (*vm, error) {
	storeProxy, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	addresses, ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	upstreamPort, err := freePort()
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, binary: binary, dir: dir, service: service, domain: "z" + name[len(name)-1:], outboundAddress: addresses[0], readinessAddress: addresses[1], controlAddress: addresses[2], storeProxy: storeProxy}
	v.upstream = &standin.Upstream{
		ID: "u-" + name, Service: service, Address: net.JoinHostPort("127.0.0.1", strconv.Itoa(upstreamPort)), AnnounceAddress: v.controlAddress, Slots: 10,
		ServiceTime: 20 * time.Millisecond, OnExecute: func(e standin.Execution) { onExecute(v, e) },
	}
	if err := v.startUpstream(0); err != nil {
		return nil, err
	}
	settings := standin.SettingsFile(v.domain, service, v.upstream.Address, addresses[0], addresses[1], addresses[2], storeProxy.address(), ports)
	return v, os.WriteFile(v.settingsPath(), []byte(settings), 0o600)
}

// startUpstream starts the upstream, which is cold for a time.
func (v *vm) startUpstream(cold time.Duration) error {
	listener, err := net.Listen("tcp", v.upstream.Address)
	if err != nil {
		return err
	}
	v.upstream.Restart(cold)
	v.upstreamServer = &http.Server{Handler: v.upstream}
	go func(s *http.Server) { _ = s.Serve(listener) }(v.upstreamServer)
	return nil
}

// restartUpstream ends the connections of the upstream and starts it again after the downtime.
func (v *vm) restartUpstream(downtime, cold time.Duration) error {
	v.upstreamDown.Store(true)
	defer v.upstreamDown.Store(false)
	_ = v.upstreamServer.Close()
	time.Sleep(downtime)
	return v.startUpstream(cold)
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.name+".toml") }

// Ports of the nodes are below the kernel's range for outgoing connections, so that they
// stay free while a node is down.
const (
	firstPort = 12000
	lastPort  = 32000
	// portsPerRun separates the ports of concurrent runs.
	portsPerRun = 600
)

var nextPort = firstPort + os.Getpid()*portsPerRun%(lastPort-firstPort)

// freePort returns the next port that is not in use.
func freePort() (int, error) {
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort)))
		if err == nil {
			return nextPort, l.Close()
		}
	}
	return 0, errors.New("no free port")
}

// freePorts returns three addresses and two ports.
func freePorts() (addresses [3]string, ports [2]int, err error) {
	for i := range 5 {
		port, err := freePort()
		if err != nil {
			return addresses, ports, err
		}
		if i < 3 {
			addresses[i] = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		} else {
			ports[i-3] = port
		}
	}
	return addresses, ports, nil
}

// start starts the node. The node's log is appended to a file in dir.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(v.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.process, v.exited = cmd, exited
	v.starts++
	v.lastFault = time.Now()
	return nil
}

// signal sends a signal to the node.
func (v *vm) signal(s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFault = time.Now()
	if err := v.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal the node of %s: %w", v.name, err)
	}
	return nil
}

// pid returns the id of the node's process.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process.Process.Pid
}

// limit sets the limits of the node's process. It must be called before start.
func (v *vm) limit(memoryMegabytes, descriptors int) error {
	f, err := os.OpenFile(v.settingsPath(), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "[limits]\nmemory_mb = %d\nmax_fds = %d\n", memoryMegabytes, descriptors)
	return errors.Join(err, f.Close())
}

// wait waits until the node's process has exited.
func (v *vm) wait() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
}

// markFault records that the VM has a fault now.
func (v *vm) markFault() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFault = time.Now()
}

// state returns the number of starts and the time since the last fault.
func (v *vm) state() (starts int, sinceFault time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts, time.Since(v.lastFault)
}

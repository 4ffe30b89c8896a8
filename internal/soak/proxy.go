package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

type proxyMode int

const (
	// pass forwards data without a fault.
	pass proxyMode = iota
	// delayed adds proxyDelay in each direction.
	delayed
	// blackholed forwards no data; connections stay open.
	blackholed
	// oneWay forwards no data to the client.
	oneWay
	proxyModeCount
)

// proxyDelay is added to each read in mode delayed, and is the time between two checks
// of the mode while data is not forwarded.
const proxyDelay = 30 * time.Millisecond

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) copy(to, from net.Conn, toClient bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		for m := p.currentMode(); m == blackholed || (m == oneWay && toClient); m = p.currentMode() {
			time.Sleep(proxyDelay)
		}
		if p.currentMode() == delayed {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, from)
	p.mu.Unlock()
	_ = from.Close()
	if c, ok := to.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
}

package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address and can harm them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

type proxyMode int

const (
	pass proxyMode = iota
	// delayed connections are slower by proxyDelay each way.
	delayed
	// silenced connections carry nothing, and stay open.
	silenced
	// oneWay connections carry nothing back.
	oneWay
	proxyModes
)

// proxyDelay is the delay of delayed connections, each way and read.
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

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) current() proxyMode {
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

func (p *proxy) copy(to, from net.Conn, back bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		for m := p.current(); m == silenced || (m == oneWay && back); m = p.current() {
			time.Sleep(proxyDelay)
		}
		if p.current() == delayed {
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

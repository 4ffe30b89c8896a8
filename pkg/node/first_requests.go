package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestChecks is for how many checks, firstRequestInterval apart, a stopping
	// server waits for the first request on a connection that it has accepted.
	firstRequestChecks   = 15
	firstRequestInterval = 20 * time.Millisecond
)

// firstRequests tracks the connections on which no request has completed yet. It is safe
// for concurrent use.
type firstRequests struct {
	// checks is firstRequestChecks, except in tests.
	checks int

	mu sync.Mutex
	// conns maps a connection to whether its first request was read.
	conns map[net.Conn]bool
}

func newFirstRequests() *firstRequests {
	return &firstRequests{checks: firstRequestChecks, conns: map[net.Conn]bool{}}
}

// trackState is the ConnState hook of an http.Server.
func (f *firstRequests) trackState(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.conns[conn] = false
	case http.StateActive:
		if _, ok := f.conns[conn]; ok {
			f.conns[conn] = true
		}
	default:
		delete(f.conns, conn)
	}
}

// count returns the number of connections, and on how many of them the first request was
// read.
func (f *firstRequests) count() (all, active int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, read := range f.conns {
		if read {
			active++
		}
	}
	return len(f.conns), active
}

// wait waits until the first requests have completed. It gives up on connections without a
// request after some checks.
func (f *firstRequests) wait(ctx context.Context) {
	for check := range math.MaxInt {
		all, active := f.count()
		if all == 0 || active == 0 && check >= f.checks {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstRequestInterval):
		}
	}
}

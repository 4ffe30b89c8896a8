package sidecar

import (
	"context"
	"sync"
)

// activity counts requests in progress and lets a caller wait until there are
// none. It is safe for concurrent use.
type activity struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (a *activity) enter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *activity) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

func (a *activity) wait(ctx context.Context) error {
	a.mu.Lock()
	if a.count == 0 {
		a.mu.Unlock()
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package sidecar

import (
	"context"
	"sync"
)

// activity counts the requests in progress and can wait until there are none. It is safe
// for concurrent use.
type activity struct {
	mu    sync.Mutex
	count int
	// idle is closed when count becomes 0. It is nil if no goroutine waits.
	idle chan struct{}
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

package mesh

import (
	"context"
	"sync"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// storeHistory tracks the newest history of the store.
type storeHistory struct {
	events *event.Logger
	// increased receives a value when newest increases.
	increased chan struct{}

	mu sync.Mutex
	// read is the newest history in the store's responses to this node.
	read uint64
	// newest also counts the histories that other nodes have reported.
	newest uint64
	// wrong is a report that the store did not confirm, or 0.
	wrong uint64
}

func newStoreHistory(events *event.Logger) *storeHistory {
	return &storeHistory{events: events, increased: make(chan struct{}, 1)}
}

// observeRead records the history in a response of the store.
func (h *storeHistory) observeRead(history uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read = max(h.read, history)
	h.advance(history, "store")
}

// observeReport records the history that another node has reported.
func (h *storeHistory) observeReport(history uint64, member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if history != h.wrong {
		h.advance(history, member)
	}
}

// verify compares the newest history before a call to the store with that of its response. If
// the store is not that far, the report was wrong.
func (h *storeHistory) verify(reported, read uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reported > read {
		h.newest, h.wrong = h.read, reported
	}
}

// advance records a history and logs it if the store was restored since the newest one. The
// caller holds mu.
func (h *storeHistory) advance(history uint64, source string) {
	if history <= h.newest {
		return
	}
	if h.newest > 0 {
		h.events.Emit(event.LogReplaced, event.Fields{"from": h.newest, "to": history, "source": source})
	}
	h.newest = history
	notify(h.increased)
}

// lastRead returns the newest history in the store's responses to this node.
func (h *storeHistory) lastRead() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.read
}

// latest returns the newest history that this node has read or another has reported.
func (h *storeHistory) latest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// waitAfter waits for a history after the given one. It returns false if the context ends.
func (h *storeHistory) waitAfter(ctx context.Context, history uint64) bool {
	for h.latest() <= history {
		select {
		case <-ctx.Done():
			return false
		case <-h.increased:
		}
	}
	return true
}

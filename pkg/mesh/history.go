package mesh

import (
	"sync"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// storeHistory tracks the newest history of the store.
type storeHistory struct {
	events *event.Logger

	mu     sync.Mutex
	newest uint64
}

// observe records the history in a response of the store, and logs it if the store was
// restored since the last one.
func (h *storeHistory) observe(history uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if history <= h.newest {
		return
	}
	if h.newest > 0 {
		h.events.Emit(event.LogReplaced, event.Fields{"from": h.newest, "to": history})
	}
	h.newest = history
}

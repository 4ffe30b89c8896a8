package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

const (
	// departureConfirmTimeout bounds how long the acknowledgement of a departure waits for the
	// store. Upstreams wait one second for it and then announce their departure again.
	departureConfirmTimeout = 800 * time.Millisecond
	// departureStoreTimeout is the time limit of one attempt to store a departure. Two attempts
	// fit into departureConfirmTimeout.
	departureStoreTimeout = 350 * time.Millisecond
	// defaultDrainBound is the bound of departures if the settings have none.
	defaultDrainBound = 2 * time.Second
	// departureReadDivisor is the part of the bound of departures for which a new process leaves
	// its upstream unused because it doesn't know the stored departures.
	departureReadDivisor = 4
)

// departureReadTimeout bounds how long a new process leaves its upstream unused because it
// doesn't know the stored departures. Without the store, the other nodes send them.
func (s Settings) departureReadTimeout() time.Duration {
	return cmp.Or(s.DrainWithin, defaultDrainBound) / departureReadDivisor
}

// errDepartureNotStored means that a departure must not be acknowledged yet.
var errDepartureNotStored = errors.New("departure is not stored yet")

// departureStore stores the departure of the upstream beside the node in the registry, where it
// outlives all nodes. An upstream may still respond after it has left, and its late heartbeats
// may reach a later process of the node.
type departureStore struct {
	address  string
	registry Registry
	sidecar  *relay.Sidecar
	history  *storeHistory
	events   *event.Logger
	// requested triggers an attempt to store the current departure.
	requested chan struct{}
	// readTimeout bounds how long the upstream is unused before the first read of the registry.
	readTimeout time.Duration

	mu sync.Mutex
	// stored is the departure in the store. last is the newest one that this process has read
	// or stored; a restore of the store may have removed it.
	stored, last roster.Departure
	// changed is closed and replaced when stored changes.
	changed chan struct{}
}

func newDepartureStore(address string, r Registry, s *relay.Sidecar, h *storeHistory, events *event.Logger) *departureStore {
	return &departureStore{
		address: address, registry: r, sidecar: s, history: h, events: events, requested: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// current returns the departure of the upstream, if it has announced one.
func (s *departureStore) current() (roster.Departure, bool) {
	id, start, leaves := s.sidecar.Departure()
	return roster.Departure{Address: s.address, Upstream: id, StartUnixMillis: start}, leaves && start > 0
}

// missing returns the departure that should be stored and isn't: the current one, or the last
// one.
func (s *departureStore) missing() (roster.Departure, bool) {
	d, leaves := s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leaves {
		d = s.last
	}
	return d, d != s.stored
}

// awaited returns the current departure if it isn't stored, and a channel that is closed when
// another one is.
func (s *departureStore) awaited() (roster.Departure, <-chan struct{}, bool) {
	d, leaves := s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return d, s.changed, leaves && d != s.stored
}

// confirm waits until the current departure, if there is one, is stored.
func (s *departureStore) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departureConfirmTimeout)
	defer cancel()
	for {
		d, changed, waiting := s.awaited()
		if !waiting {
			return nil
		}
		notify(s.requested)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: upstream %s", errDepartureNotStored, d.Upstream)
		case <-changed:
		}
	}
}

// run stores departures until the context ends. The upstream may be used from the first read of
// the registry on, or after readTimeout.
func (s *departureStore) run(ctx context.Context) {
	unhold := time.AfterFunc(s.readTimeout, s.sidecar.Unhold)
	defer unhold.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.requested:
			s.storeMissing(ctx)
		}
	}
}

// storeMissing stores the missing departure. It retries until it succeeds.
func (s *departureStore) storeMissing(ctx context.Context) {
	pause := minRetryDelay
	for {
		d, missing := s.missing()
		if !missing {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
		history, err := s.registry.RecordDeparture(callCtx, d)
		cancel()
		if err == nil {
			s.history.observeRead(history)
			s.recordStored(d)
			continue
		}
		s.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "record departure", "upstream": d.Upstream})
		if !sleep(ctx, pause) {
			return
		}
		pause = min(maxRetryDelay, pause*2)
	}
}

// recordStored records that this process has stored the departure.
func (s *departureStore) recordStored(d roster.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = d
	s.setStored(d)
}

// setStored records the departure that is in the store. The caller holds mu.
func (s *departureStore) setStored(d roster.Departure) {
	s.stored = d
	close(s.changed)
	s.changed = make(chan struct{})
}

// observe processes the departure that the registry contains for this node. It is empty if there
// is none. After a restore of the store, it may be older than the last one or missing: only this
// node's processes store its departures.
func (s *departureStore) observe(stored roster.Departure) {
	s.mu.Lock()
	isNew := s.last == (roster.Departure{}) && stored != s.last
	if isNew {
		s.last = stored
	}
	s.setStored(stored)
	s.mu.Unlock()
	if isNew {
		s.sidecar.ApplyDeparture(stored)
	}
	s.sidecar.Unhold()
	if _, missing := s.missing(); missing {
		notify(s.requested)
	}
}

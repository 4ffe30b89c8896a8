package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
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

// departureStore stores the departures of upstreams beside the node in the registry, where they
// outlive all nodes. An upstream may still respond after it has left, and its late heartbeats
// may reach a later process of the node.
type departureStore struct {
	address  string
	registry Registry
	sidecar  *relay.Sidecar
	history  *storeHistory
	events   *event.Logger
	// requested triggers an attempt to store the current departures.
	requested chan struct{}
	// readTimeout bounds how long the upstream is unused before the first read of the registry.
	readTimeout time.Duration

	mu sync.Mutex
	// stored are the departures in the store, as far as this process has read or stored them.
	stored []roster.Departure
	// changed is closed and replaced when stored changes.
	changed chan struct{}
}

func newDepartureStore(address string, r Registry, s *relay.Sidecar, h *storeHistory, events *event.Logger) *departureStore {
	return &departureStore{
		address: address, registry: r, sidecar: s, history: h, events: events, requested: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// current returns the departures that have to be stored. An upstream that is followed by a later
// start is not among them: its record would keep the later one out of use after a restart of the
// node.
func (s *departureStore) current() []roster.Departure {
	var list []roster.Departure
	for _, d := range s.sidecar.Departures() {
		list = append(list, roster.Departure{Address: s.address, Upstream: d.ID, StartUnixMillis: d.StartUnixMillis})
	}
	return list
}

// last returns the departure of the upstream if it has announced one and none has followed.
func (s *departureStore) last() (roster.Departure, bool) {
	list := s.current()
	if len(list) == 0 || !s.sidecar.Leaves() {
		return roster.Departure{}, false
	}
	return list[len(list)-1], true
}

// missing returns the current departures and a channel that is closed when others are stored.
// The result is false if they are stored already.
func (s *departureStore) missing() ([]roster.Departure, <-chan struct{}, bool) {
	list := s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return list, s.changed, !slices.Equal(list, s.stored)
}

// request triggers an attempt to store the current departures. It never blocks.
func (s *departureStore) request() { notify(s.requested) }

// confirm waits until the current departures are stored.
func (s *departureStore) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, departureConfirmTimeout)
	defer cancel()
	for {
		list, changed, missing := s.missing()
		if !missing {
			return nil
		}
		s.request()
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %d upstreams at %s", errDepartureNotStored, len(list), s.address)
		case <-changed:
		}
	}
}

// run stores departures until the context ends. The upstream may be used from the first read of
// the registry on, or after readTimeout if it shows that it is alive.
func (s *departureStore) run(ctx context.Context) {
	endHold := time.AfterFunc(s.readTimeout, s.sidecar.EndHold)
	defer endHold.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.requested:
			s.storeMissing(ctx)
		}
	}
}

// storeMissing stores the current departures unless they are stored. It retries until it
// succeeds.
func (s *departureStore) storeMissing(ctx context.Context) {
	pause := minRetryDelay
	for {
		list, _, missing := s.missing()
		if !missing {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
		history, err := s.registry.RecordDepartures(callCtx, s.address, list)
		cancel()
		if err == nil {
			s.history.observeRead(history)
			s.setStored(list)
			continue
		}
		s.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error(), "call": "record departures", "count": len(list)})
		if !sleep(ctx, pause) {
			return
		}
		pause = min(maxRetryDelay, pause*2)
	}
}

// setStored records which departures are in the store.
func (s *departureStore) setStored(list []roster.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = list
	close(s.changed)
	s.changed = make(chan struct{})
}

// observe processes the departures that the registry contains for this node. After a restore of
// the store, some that this process knows may be missing: they are stored again.
func (s *departureStore) observe(stored []roster.Departure) {
	s.setStored(stored)
	for _, d := range slices.Backward(stored) {
		s.sidecar.ApplyDeparture(d)
	}
	s.sidecar.ConfirmRecords()
	if _, _, missing := s.missing(); missing {
		s.request()
	}
}

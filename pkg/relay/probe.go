package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/exchange"
)

// Adopt sets the upstream's id and slots as read from the upstream itself, for a
// node that starts beside a running upstream. An announcement goes first.
func (s *Sidecar) Adopt(id string, load UpstreamLoad) {
	s.mu.Lock()
	adopted := s.tracker.Current().State == announce.Unknown && id != "" && load.Slots > 0
	if adopted {
		s.tracker.Observe(announce.Announcement{ID: id, State: announce.Ready, Slots: load.Slots})
		s.applyState()
	}
	s.mu.Unlock()
	s.Observe(load)
	if adopted {
		s.events.Emit(event.UpstreamReady, event.Fields{"upstream": id, "slots": load.Slots, "source": "health"})
		s.urgent()
	}
}

// PaceAge returns the time since the upstream last stated its pace, 0 if it never did.
func (s *Sidecar) PaceAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paceAt == 0 {
		return 0
	}
	return s.now() - s.paceAt
}

// Stalled reports whether requests wait for the end of a stall of the VM.
func (s *Sidecar) Stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Stalled(s.now())
}

// Observe takes the load that the upstream stated just now.
func (s *Sidecar) Observe(l UpstreamLoad) {
	s.mu.Lock()
	s.inherit(l)
	if l.Pace <= 0 {
		s.settle(s.gate.Advance(s.now()))
		s.mu.Unlock()
		return
	}
	old := s.declared.Pace
	s.declared, s.paceAt = l, s.now()
	s.settle(s.gate.Pace(s.now(), l.Pace))
	s.mu.Unlock()
	if l.Pace > old*1.25 || l.Pace < old*0.8 {
		s.changed()
	}
}

// inherit notes the requests that an earlier process of the node left running at
// the upstream. The first load tells them; later ones only lower the number, since
// a load may be older than the requests that were sent meanwhile. The lock is held.
func (s *Sidecar) inherit(l UpstreamLoad) {
	rest := max(0, l.Running+l.Waiting-s.gate.Running())
	if s.loadKnown {
		rest = min(rest, s.gate.Foreign())
	}
	s.loadKnown = true
	s.gate.Occupied(rest)
}

func (s *Sidecar) setDown(err error) {
	s.mu.Lock()
	was := s.down
	s.down = true
	s.applyState()
	s.mu.Unlock()
	if !was {
		id, _ := s.Known()
		s.events.Emit(event.UpstreamDown, event.Fields{"upstream": id, "error": err.Error()})
		s.urgent()
	}
}

// Down reports whether the upstream takes no connections.
func (s *Sidecar) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Up notes that the upstream takes connections again.
func (s *Sidecar) Up() {
	s.mu.Lock()
	s.down = false
	s.applyState()
	s.mu.Unlock()
	id, born := s.Known()
	s.events.Emit(event.UpstreamUp, event.Fields{"upstream": id, "born": born})
	s.urgent()
}

// Probe asks the upstream for its health and load.
func (s *Sidecar) Probe(ctx context.Context, path, host string) error {
	resp, err := s.client.Do(ctx, &exchange.Request{Method: http.MethodGet, URI: path, Host: host, Header: http.Header{}, IDHeader: s.names.AnswerID})
	if err != nil {
		if errors.Is(err, exchange.ErrRefused) && ctx.Err() == nil {
			s.setDown(err)
		}
		return fmt.Errorf("probe: %w", err)
	}
	if resp.Rest != nil {
		_ = resp.Rest.Close()
	}
	if s.Down() {
		s.Up()
	}
	l, ok := s.names.ParseLoad(resp.Header.Get(s.names.Load))
	if ok && resp.Status == http.StatusOK {
		s.Adopt(resp.Header.Get(s.names.UpstreamID), l)
	}
	return nil
}

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

// Adopt applies a health check that the upstream has passed. It sets the upstream's id and slots
// for a node that starts beside a running upstream. Announcements take precedence.
func (s *Sidecar) Adopt(id string, load UpstreamLoad) {
	if announce.ValidateID(id) == nil && load.Slots > 0 {
		s.apply("health", func(t *announce.Tracker) announce.Verdict { return t.ObserveHealth(id, load.Slots, s.messageTime()) })
	}
	s.RecordLoad(load)
}

// SlowdownAge returns the time since the upstream last reported its slowdown, or 0 if it
// never did.
func (s *Sidecar) SlowdownAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowdownAt == 0 {
		return 0
	}
	return s.now() - s.slowdownAt
}

// Stalled reports whether requests are queued while the VM is in a stall.
func (s *Sidecar) Stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.QueuedInStall(s.now())
}

// RecordLoad records a load report of the upstream that has just been received.
func (s *Sidecar) RecordLoad(l UpstreamLoad) {
	s.mu.Lock()
	s.updateUntracked(l)
	if l.Slowdown <= 0 {
		s.deliver(s.gate.Advance(s.now()))
		s.mu.Unlock()
		return
	}
	old := s.lastLoad.Slowdown
	s.lastLoad, s.slowdownAt = l, s.now()
	s.deliver(s.gate.RecordSlowdown(s.now(), l.Slowdown))
	s.mu.Unlock()
	if l.Slowdown > old*1.25 || l.Slowdown < old*0.8 {
		s.loadChanged()
	}
}

// updateUntracked sets the number of slots that are taken by requests of an
// earlier process of the node. The first load report gives that number; later ones
// only lower it, since a report may be older than requests sent in the meantime. The
// lock must be held.
func (s *Sidecar) updateUntracked(l UpstreamLoad) {
	untracked := max(0, l.Running+l.Waiting-s.gate.Running())
	if s.loadKnown {
		untracked = min(untracked, s.gate.Untracked())
	}
	s.loadKnown = true
	s.gate.SetUntracked(untracked)
}

func (s *Sidecar) markDown(err error) {
	s.mu.Lock()
	wasDown := s.down
	s.down = true
	s.applyState()
	s.mu.Unlock()
	if !wasDown {
		id, _ := s.CurrentUpstream()
		s.events.Emit(event.UpstreamDown, event.Fields{"upstream": id, "error": err.Error()})
		s.stateChanged()
	}
}

// Down reports whether the upstream accepts no connections.
func (s *Sidecar) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// MarkUp records that the upstream accepts connections again, and reports it to other
// nodes.
func (s *Sidecar) MarkUp() {
	s.mu.Lock()
	s.down = false
	s.startAnew("up again")
	s.applyState()
	s.mu.Unlock()
	id, startUnixMillis := s.CurrentUpstream()
	s.events.Emit(event.UpstreamUp, event.Fields{"upstream": id, "born": startUnixMillis})
	s.stateChanged()
}

// Probe requests the upstream's health and load.
func (s *Sidecar) Probe(ctx context.Context, path, host string) error {
	sent := s.beginColdProbe()
	resp, err := s.client.Do(ctx, &exchange.Request{
		Method: http.MethodGet, URI: path, Host: host, Header: http.Header{},
		IDHeader: s.names.ResponseID, IDOptional: s.names.ResponseIDOptional, NotRunHeader: s.names.NotRun,
	})
	if err != nil {
		if errors.Is(err, exchange.ErrConnRefused) && ctx.Err() == nil {
			s.markDown(err)
		}
		return fmt.Errorf("probe: %w", err)
	}
	resp.Close()
	if s.Down() {
		s.MarkUp()
	}
	l, ok := s.names.ParseLoad(resp.Header.Get(s.names.Load))
	if ok && resp.Status == http.StatusOK {
		s.Adopt(resp.Header.Get(s.names.UpstreamID), l)
	}
	if s.names.Cold != "" && resp.Status == http.StatusOK {
		s.observeColdHealth(sent, resp.Header.Get(s.names.UpstreamID), resp.Header.Get(s.names.Cold))
	}
	return nil
}

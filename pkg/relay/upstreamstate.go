package relay

import (
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// SetMaxAnnouncementDelay sets how late announcements may arrive. It must be called before the
// first announcement. Without it, announce.DefaultMaxDelay applies.
func (s *Sidecar) SetMaxAnnouncementDelay(d time.Duration) { s.tracker.MaxDelay = d }

// messageTime returns the time since the start without the time for which the process did not run,
// in which messages wait in its sockets. The lock must be held.
func (s *Sidecar) messageTime() time.Duration {
	now := s.now()
	if gap := now - s.lastTick; s.lastTick > 0 && gap > standstillThreshold {
		s.standstill += gap
		s.lastTick = now
	}
	return now - s.standstill
}

// ApplyAnnouncement applies an announcement of the upstream. It is in effect when
// ApplyAnnouncement returns, unless the verdict is announce.Refused.
func (s *Sidecar) ApplyAnnouncement(a announce.Announcement) announce.Verdict {
	newest := false
	verdict := s.apply("announcement", func(t *announce.Tracker) announce.Verdict {
		before := t.Current()
		verdict := t.Observe(a, s.messageTime())
		if a.State == announce.Ready && verdict != announce.Refused {
			if s.down {
				s.startAnew("up again")
			}
			s.down = false
		}
		after := t.Current()
		repeated := sameStart(before, after) && before.Sequence == a.Sequence
		newest = sameStart(a, after) && after.Sequence == a.Sequence && !repeated
		return verdict
	})
	if newest {
		s.observeColdAnnouncement(a.WarmUpRemaining)
	}
	return verdict
}

// ApplyStop applies the message in which the upstream reports that it is about to stop. The
// start time is zero if the message does not contain it.
func (s *Sidecar) ApplyStop(id string, startUnixMillis int64) announce.Verdict {
	return s.apply("stop", func(t *announce.Tracker) announce.Verdict { return t.ObserveStop(id, startUnixMillis, s.messageTime()) })
}

// ApplyDeparture applies a departure that an earlier process of the node has recorded.
func (s *Sidecar) ApplyDeparture(d roster.Departure) {
	s.apply("record", func(t *announce.Tracker) announce.Verdict {
		return t.ObserveDeparture(announce.Departure{ID: d.Upstream, StartUnixMillis: d.StartUnixMillis})
	})
}

// apply lets the tracker observe a message from the source, and reports the new state if it has
// changed.
func (s *Sidecar) apply(source string, observe func(*announce.Tracker) announce.Verdict) announce.Verdict {
	s.mu.Lock()
	before := s.tracker.Current()
	verdict := observe(&s.tracker)
	after := s.tracker.Current()
	if newStart(before, after) {
		s.startAnew("new start")
	}
	s.applyState()
	s.mu.Unlock()
	if before.ID != after.ID || before.StartUnixMillis != after.StartUnixMillis || before.State != after.State || before.Slots != after.Slots {
		s.events.Emit(upstreamEvent(after.State), event.Fields{
			"upstream": after.ID, "born": after.StartUnixMillis, "sequence": after.Sequence, "slots": after.Slots, "state": after.State.String(),
			"source": source, "previous": before.ID, "previous_born": before.StartUnixMillis, "previous_state": before.State.String(),
		})
		s.stateChanged()
	}
	return verdict
}

// Hold keeps the upstream out of use until EndHold or ConfirmRecords: it may have left before
// this process started.
func (s *Sidecar) Hold() {
	s.changeUse(func() {
		s.held = true
		s.tracker.RequireConfirmation(true)
	})
}

// EndHold lets the upstream be used although the recorded departures are not known. Upstreams
// must show that they are alive until ConfirmRecords is called.
func (s *Sidecar) EndHold() { s.changeUse(func() { s.held = false }) }

// ConfirmRecords records that all recorded departures were applied.
func (s *Sidecar) ConfirmRecords() {
	s.changeUse(func() {
		s.held = false
		s.tracker.RequireConfirmation(false)
	})
}

// changeUse calls change, which may change whether the upstream is in use.
func (s *Sidecar) changeUse(change func()) {
	s.mu.Lock()
	before := s.usable()
	change()
	changed := s.usable() != before
	s.applyState()
	s.mu.Unlock()
	if changed {
		s.stateChanged()
	}
}

// Departures returns the starts of upstreams that have left and that no later one has followed,
// the last one at the end.
func (s *Sidecar) Departures() []announce.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Departures()
}

// Leaves reports whether the last upstream has announced that it leaves.
func (s *Sidecar) Leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.tracker.Current().State
	return state == announce.Draining || state == announce.Gone
}

func upstreamEvent(st announce.State) event.Event {
	if st == announce.Ready {
		return event.UpstreamReady
	}
	return event.UpstreamDraining
}

// CurrentUpstream returns the id and the start time of the upstream beside the node.
// The id is empty if it is unknown.
func (s *Sidecar) CurrentUpstream() (id string, startUnixMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.tracker.Current()
	return cur.ID, cur.StartUnixMillis
}

// applyState opens or closes the gate by the upstream's state. The lock must be held.
func (s *Sidecar) applyState() {
	if s.usable() && !s.down && !s.stopping {
		s.deliver(s.gate.Open(s.now(), s.tracker.Current().Slots))
		return
	}
	s.deliver(s.gate.Close(s.now()))
}

// usable reports whether an upstream is known that has not left and is not evacuated. The lock
// must be held.
func (s *Sidecar) usable() bool {
	return s.tracker.Current().State == announce.Ready && !s.held && !s.evacuated
}

// UpstreamState returns the state of the upstream for other nodes.
func (s *Sidecar) UpstreamState() roster.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	st := s.gate.State(now)
	u := roster.Upstream{
		ID: s.tracker.Current().ID, Accepting: st.Open, Limit: st.Limit, Running: st.Running, Queued: st.Queued,
		WaitMillis: int(st.Wait.Milliseconds()), ServiceMicros: int(s.meanService.Microseconds()),
		FailurePermille: int(s.failures.value(now) * 1000), ColdMillis: s.cold.remainingMillis(now),
	}
	if s.slowdownAt > 0 {
		u.SlowdownPercent, u.SlowdownAgeMillis = int(st.Slowdown*100), int((now - s.slowdownAt).Milliseconds())
	}
	return u
}

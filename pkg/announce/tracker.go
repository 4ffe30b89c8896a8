package announce

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultMaxDelay is the longest time from the sending of an announcement to its arrival.
	// Upstreams send the next one after a second without an acknowledgement; a partition or a
	// stalled process holds an announcement for some seconds more.
	DefaultMaxDelay = 8 * time.Second
	// unidentifiedStopHold is how long an upstream may go on announcing itself after a stop
	// message that does not name its start. Upstreams exit some seconds after they have left.
	unidentifiedStopHold = 30 * time.Second
	// minRepeatGap is the minimum time between two announcements that show that an upstream
	// goes on announcing itself. Upstreams announce themselves about every 1.5 s.
	minRepeatGap = 500 * time.Millisecond
	// maxStarts is the number of starts that a Tracker remembers. More than two within
	// DefaultMaxDelay are rare.
	maxStarts = 8
	// UnidentifiedStart is the start time of departures whose message did not contain it.
	UnidentifiedStart = -1
)

// Verdict is the effect of a message on a Tracker.
type Verdict int

// Verdicts on a message.
const (
	// Refused messages have no effect and must not be acknowledged: it is not yet known that
	// the upstream is alive, or it is known that it has left.
	Refused Verdict = iota
	// Unchanged messages report what is in force already.
	Unchanged
	// Changed messages changed the upstream in use, its state or its slots.
	Changed
)

// Tracker derives which upstream is at an address and whether it may be used. It is not safe
// for concurrent use. Its clock is the time since the process began, without the time for which
// the process stood still: messages that arrived meanwhile are not that late.
//
// At most one start is alive at a time, and a message arrives at most MaxDelay after it was
// sent. So a start that announces itself more than MaxDelay after the first message of another
// one is the later of both. Until then their order is open, and an id is used only if none of
// its starts that may be the latest one has left. An upstream that lives goes on announcing
// itself and is in use again after MaxDelay and one announcement period at most.
//
// Starts with other ids don't keep an upstream out of use, since requests name the id that may
// run them.
type Tracker struct {
	// MaxDelay replaces DefaultMaxDelay if it is not zero.
	MaxDelay time.Duration

	starts []*start
	// chosen is the start of the upstream in use, or nil.
	chosen *start
	// confirmRequired is set while it is not known which upstreams have left.
	confirmRequired bool
}

// Departure is a start that has left.
type Departure struct {
	ID string
	// StartUnixMillis is the start time, or UnidentifiedStart.
	StartUnixMillis int64
}

// RequireConfirmation sets whether upstreams are used only once they have announced themselves
// repeatedly or have passed a health check: a single announcement may be a late one of an
// upstream that has left.
func (t *Tracker) RequireConfirmation(required bool) {
	t.confirmRequired = required
	t.choose()
}

// Current returns the upstream in use, or else the last one that has left. State is Unknown if
// there is neither.
func (t *Tracker) Current() Announcement {
	if t.chosen == nil {
		return Announcement{}
	}
	return t.chosen.latest
}

// Observe processes an announcement that arrived at the given time.
func (t *Tracker) Observe(a Announcement, now time.Duration) Verdict {
	before := t.Current()
	s := t.find(a.ID, a.StartUnixMillis)
	if s == nil || t.restarted(s, a, now) {
		s = t.add(s, &start{latest: Announcement{ID: a.ID, StartUnixMillis: a.StartUnixMillis}, identified: a.StartUnixMillis != 0, firstSequence: a.Sequence, first: now, last: now})
	}
	s.observe(a, now)
	t.choose()
	if !t.inForce(s, a.State) {
		return Refused
	}
	return verdict(before, t.Current())
}

// ObserveStop processes the message in which an upstream reports that it is about to stop. A zero
// start time means that the message does not contain it.
func (t *Tracker) ObserveStop(id string, startUnixMillis int64, now time.Duration) Verdict {
	before := t.Current()
	if startUnixMillis == 0 {
		t.stopUnidentified(id, now)
	} else {
		t.stop(id, startUnixMillis, now).arrived(now)
	}
	t.choose()
	return verdict(before, t.Current())
}

// ObserveDeparture processes a departure that an earlier process of the node has recorded, or that
// this process has recorded itself. Unless it is known, the message that reported it arrived before
// this process began.
func (t *Tracker) ObserveDeparture(d Departure) Verdict {
	before := t.Current()
	known := t.find(d.ID, d.StartUnixMillis)
	switch {
	case d.StartUnixMillis != UnidentifiedStart:
		t.stop(d.ID, d.StartUnixMillis, 0)
	case known == nil:
		t.stopUnidentified(d.ID, 0)
	}
	if known == nil {
		// What is known already is not earlier.
		last := len(t.starts) - 1
		t.starts = slices.Insert(t.starts[:last:last], 0, t.starts[last])
	}
	t.choose()
	return verdict(before, t.Current())
}

// ObserveHealth processes a health check in which the upstream has named its id and stated that
// it is healthy and not leaving. Health checks don't name the service, so they don't replace an
// upstream that has announced itself.
func (t *Tracker) ObserveHealth(id string, slots int, now time.Duration) Verdict {
	before := t.Current()
	known := slices.ContainsFunc(t.starts, func(s *start) bool { return s.id() == id || !s.recordedOnly() })
	for _, s := range t.starts {
		s.healthy = s.healthy || s.id() == id
	}
	if !known {
		t.add(nil, &start{latest: Announcement{ID: id, State: Ready, Slots: slots}, firstSequence: -1, first: now, last: now, healthy: true})
	}
	t.choose()
	return verdict(before, t.Current())
}

// Departures returns the starts that have left and that no later start with the same id has
// followed, the last one at the end.
func (t *Tracker) Departures() []Departure {
	var left []*start
	for _, s := range t.starts {
		if s.leaves() && !t.superseded(s, sameID) {
			left = append(left, s)
		}
	}
	slices.SortStableFunc(left, func(a, b *start) int { return cmp.Compare(a.last, b.last) })
	var list []Departure
	for _, s := range left {
		list = append(list, Departure{s.id(), cmp.Or(s.latest.StartUnixMillis, UnidentifiedStart)})
	}
	return list
}

func verdict(before, after Announcement) Verdict {
	if before.ID != after.ID || before.StartUnixMillis != after.StartUnixMillis || before.State != after.State || before.Slots != after.Slots {
		return Changed
	}
	return Unchanged
}

// inForce reports whether the state that a start has announced is in force. A start that has ended
// gets no requests, so that it has left in any case.
func (t *Tracker) inForce(s *start, announced State) bool {
	if announced == Ready {
		return t.mayBeUsed(s)
	}
	return s.leaves() || t.superseded(s, anyID)
}

// mayBeUsed reports whether the start's id is in use or only lacks a confirmation, and the start
// may be the one that runs.
func (t *Tracker) mayBeUsed(s *start) bool {
	if t.superseded(s, anyID) || t.leaving(s.id()) {
		return false
	}
	return t.chosen == nil || t.chosen.leaves() || t.chosen.id() == s.id()
}

// leaving reports whether a start with the id that may be the latest one has left.
func (t *Tracker) leaving(id string) bool {
	return slices.ContainsFunc(t.starts, func(s *start) bool { return s.id() == id && s.leaves() && !t.superseded(s, anyID) })
}

func (t *Tracker) find(id string, startUnixMillis int64) *start {
	for _, s := range t.starts {
		if s.id() == id && s.latest.StartUnixMillis == startUnixMillis {
			return s
		}
	}
	return nil
}

// stop records that a start has left. A start that is not known sent its first message at the
// given time at the latest.
func (t *Tracker) stop(id string, startUnixMillis int64, first time.Duration) *start {
	s := t.find(id, startUnixMillis)
	if s == nil {
		s = t.add(nil, &start{latest: Announcement{ID: id, StartUnixMillis: startUnixMillis}, identified: true, firstSequence: -1, first: first, last: first})
	}
	s.latest.State = Gone
	return s
}

// stopUnidentified records that some start with the id has left.
func (t *Tracker) stopUnidentified(id string, now time.Duration) {
	s := &start{latest: Announcement{ID: id, State: Gone, StartUnixMillis: UnidentifiedStart}, firstSequence: -1, first: now, last: now}
	t.add(t.find(id, UnidentifiedStart), s)
}

// add adds a start in place of old, if that is not nil. If there are too many, it forgets the one
// that matters least.
func (t *Tracker) add(old, s *start) *start {
	var kept []*start
	for _, other := range t.starts {
		if other != old && !t.settled(other) {
			kept = append(kept, other)
		}
	}
	if len(kept) >= maxStarts {
		i := slices.Index(kept, slices.MinFunc(kept, t.compareImportance))
		kept = slices.Delete(kept, i, i+1)
	}
	t.starts = append(kept, s)
	return s
}

// settled reports whether no more messages of the start can arrive, since another one has been
// alive for MaxDelay. Departures of other ids are kept as long as there is room.
func (t *Tracker) settled(s *start) bool {
	if s == t.chosen || s.leaves() && !t.superseded(s, sameID) {
		return false
	}
	return slices.ContainsFunc(t.starts, func(other *start) bool {
		return t.follows(other, s) && other.last-other.first > t.maxDelay()
	})
}

// compareImportance orders starts by how much their loss would matter: most that of the one in
// use and of those that have left and may run.
func (t *Tracker) compareImportance(a, b *start) int {
	rank := func(s *start) int {
		switch {
		case s == t.chosen:
			return 3
		case t.superseded(s, anyID):
			return 0
		case s.leaves():
			return 2
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.last, b.last))
}

// choose selects the upstream in use among the starts that may be the latest one. The one in use
// stays unless another one is preferred.
func (t *Tracker) choose() {
	var usable []*start
	var left *start
	for _, s := range t.starts {
		switch {
		case t.superseded(s, anyID):
		case s.leaves():
			if left == nil || s.last >= left.last {
				left = s
			}
		case !t.leaving(s.id()) && (!t.confirmRequired || s.healthy || s.repeated()):
			usable = append(usable, s)
		}
	}
	var used *start
	if slices.Contains(usable, t.chosen) {
		used = t.chosen
	}
	for _, s := range usable {
		if used == nil || preferred(s, used) {
			used = s
		}
	}
	t.chosen = cmp.Or(used, left)
}

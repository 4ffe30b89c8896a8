package announce

import (
	"cmp"
	"slices"
	"time"
)

// start is one start of an upstream at the address.
type start struct {
	// latest is the announcement with the highest sequence, and the state in force.
	latest Announcement
	// identified is set if the start time is known.
	identified bool
	// firstSequence is that of the first announcement that arrived, or -1 if none did.
	firstSequence int64
	// first is when the first message arrived, or later. previous and last are when the last
	// but one and the last message arrived, and newest when that with the highest sequence did.
	first, previous, last, newest time.Duration
	// healthy is set once a health check has shown that the upstream is alive and not leaving.
	healthy bool
}

func (s *start) leaves() bool { return s.latest.State == Draining || s.latest.State == Gone }

func (s *start) id() string { return s.latest.ID }

// recordedOnly reports whether the start is known only from a recorded departure.
func (s *start) recordedOnly() bool { return s.last == 0 && s.leaves() }

// repeated reports whether the start has gone on announcing itself.
func (s *start) repeated() bool { return s.last-s.first >= minRepeatGap }

// observe processes an announcement of the start. Gone is final.
func (s *start) observe(a Announcement, now time.Duration) {
	s.arrived(now)
	isNewest := s.firstSequence < 0 || a.Sequence > s.latest.Sequence || s.latest.State == Unknown
	if s.firstSequence < 0 {
		s.firstSequence = a.Sequence
	}
	if !isNewest {
		return
	}
	if s.latest.State == Gone {
		a.State = Gone
	}
	s.latest, s.newest = a, now
}

func (s *start) arrived(now time.Duration) {
	if now > s.last {
		s.previous, s.last = s.last, now
	}
}

func (t *Tracker) maxDelay() time.Duration { return cmp.Or(t.MaxDelay, DefaultMaxDelay) }

// follows reports whether a is certainly a later start than b: a message of a that arrived more
// than MaxDelay after the first one of b was sent after it.
func (t *Tracker) follows(a, b *start) bool {
	if a == b || a.anonymous() && a.id() == b.id() {
		return false
	}
	wait := t.maxDelay()
	mayBeSame := a.id() == b.id() && (!a.identified || !b.identified && b.leaves())
	if mayBeSame && !a.startedAfter(b) {
		wait += unidentifiedStopHold
	}
	return a.last-b.first > wait
}

// anonymous reports whether only the id of the start is known, so that it may be any other one
// with that id.
func (s *start) anonymous() bool { return !s.identified && s.firstSequence < 0 }

// startedAfter reports whether s has not announced itself before b, and its first announcement
// that arrived was the first that it sent.
func (s *start) startedAfter(b *start) bool {
	return s.first > b.first && s.firstSequence >= 0 && s.firstSequence <= 1
}

// matching selects the starts that supersede another one.
type matching bool

const (
	anyID  matching = false
	sameID matching = true
)

// superseded reports whether another start is certainly later. Two starts that each seem later
// than the other contradict MaxDelay; then the last message counts.
func (t *Tracker) superseded(s *start, m matching) bool {
	return slices.ContainsFunc(t.starts, func(other *start) bool {
		return (m == anyID || other.id() == s.id()) && t.follows(other, s) && (!t.follows(s, other) || other.last > s.last)
	})
}

// restarted reports whether the announcement comes from a later start with the same id and start
// time: its sequence is lower than one that arrived more than MaxDelay ago.
func (t *Tracker) restarted(s *start, a Announcement, now time.Duration) bool {
	return s.firstSequence >= 0 && a.Sequence <= s.latest.Sequence && now-s.newest > t.maxDelay()
}

// preferred reports whether a is more likely than b to be the start that runs while their order is
// open: a has the later start time, which is right unless a clock was put back, or goes on
// announcing itself while b does not.
func preferred(a, b *start) bool {
	return a.last > b.last && (a.latest.StartUnixMillis > b.latest.StartUnixMillis || a.previous > b.last)
}

// Package announce decides what an upstream's announcements mean. Announcements
// may arrive late, twice, out of order or after a later start of the upstream,
// so only the newest one of the newest start counts.
package announce

import "time"

// State is what an upstream says of itself.
type State int

// States of an upstream. Gone is final for one start.
const (
	Unknown State = iota
	Ready
	Draining
	Gone
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "gone"}[s]
}

// Announcement is one statement of an upstream about itself.
type Announcement struct {
	ID    string
	State State
	Slots int
	// Born is when the upstream started, in Unix milliseconds by its own clock.
	Born int64
	// Sequence grows with each announcement of one start.
	Sequence int64
	// ColdLeft is how much longer the upstream expects to be slow after its start.
	ColdLeft time.Duration
}

// Verdict tells what became of an announcement.
type Verdict int

// Verdicts.
const (
	// Stale announcements change nothing; something newer is known.
	Stale Verdict = iota
	// Same announcements are the newest but tell nothing new.
	Same
	// Changed announcements changed the state, the slots or the start.
	Changed
)

// Tracker holds the newest announcement. It is not safe for concurrent use.
type Tracker struct {
	current Announcement
}

// Current returns the newest announcement; State is Unknown before the first.
func (t *Tracker) Current() Announcement { return t.current }

// Observe takes an announcement that just arrived.
func (t *Tracker) Observe(a Announcement) Verdict {
	cur := t.current
	if cur.State == Unknown || a.Born > cur.Born {
		t.current = a
		return Changed
	}
	if a.Born < cur.Born || a.ID != cur.ID || a.Sequence <= cur.Sequence || cur.State == Gone {
		return Stale
	}
	t.current = a
	if a.State != cur.State || a.Slots != cur.Slots {
		return Changed
	}
	return Same
}

// Leave takes the statement of an upstream that it is about to end, at the given
// time in Unix milliseconds. A zero born means that the statement does not tell the
// start; then every start before now counts as ended.
func (t *Tracker) Leave(id string, born, now int64) Verdict {
	cur := t.current
	if cur.State == Unknown {
		t.current = Announcement{ID: id, State: Gone, Born: orNow(born, now)}
		return Changed
	}
	if cur.ID != id || (born != 0 && born < cur.Born) || cur.State == Gone {
		return Stale
	}
	t.current.State = Gone
	t.current.Born = orNow(max(cur.Born, born), now)
	return Changed
}

func orNow(born, now int64) int64 {
	if born == 0 {
		return now
	}
	return born
}

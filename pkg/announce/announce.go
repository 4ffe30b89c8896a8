// Package announce derives the state of an upstream from its announcements.
// Announcements may arrive late, twice, out of order or after a restart of the
// upstream, so only the newest announcement of the latest start counts.
package announce

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// MaxSlots is the largest number of concurrent requests of one upstream.
	MaxSlots = 10_000
	// maxClockLead is how far a start time may be ahead of the receiver's clock, which may
	// have been set back since the start.
	maxClockLead = 24 * time.Hour
	// maxSequence is the largest integer that all JSON libraries represent exactly.
	maxSequence = 1<<53 - 1
	// maxIDBytes keeps the status of a node, which contains the id, within one datagram.
	maxIDBytes = 128
)

// ErrInvalid marks an announcement that no upstream sends.
var ErrInvalid = errors.New("invalid announcement")

// State is the state that an upstream reports.
type State int

// States of an upstream. Gone means that the upstream has stopped or is about to;
// it is final for one start.
const (
	Unknown State = iota
	Ready
	Draining
	Gone
)

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "gone"}[s]
}

// Announcement is a message in which an upstream reports its own state.
type Announcement struct {
	ID    string
	State State
	Slots int
	// StartUnixMillis is when the upstream started, in Unix milliseconds by its own clock.
	StartUnixMillis int64
	// Sequence increases with each announcement of one start.
	Sequence int64
	// WarmUpRemaining is how much longer the upstream expects to be slow after its start.
	WarmUpRemaining time.Duration
}

// Validate checks the ranges of the values. now is the time at which the announcement
// arrived. Errors wrap ErrInvalid.
func (a Announcement) Validate(now time.Time) error {
	if err := ValidateID(a.ID); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("%w: %d slots are not in the range 1 to %d", ErrInvalid, a.Slots, MaxSlots)
	}
	if a.Sequence < 0 || a.Sequence > maxSequence {
		return fmt.Errorf("%w: sequence number %d is not in the range 0 to %d", ErrInvalid, a.Sequence, int64(maxSequence))
	}
	return ValidateStart(a.StartUnixMillis, now)
}

// ValidateID checks the id of an upstream: 1 to 128 visible ASCII characters, because it is
// sent in headers. Errors wrap ErrInvalid.
func ValidateID(id string) error {
	if id == "" || len(id) > maxIDBytes {
		return fmt.Errorf("%w: id of %d bytes is not in the range 1 to %d", ErrInvalid, len(id), maxIDBytes)
	}
	if strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("%w: id %q has other than visible ASCII characters", ErrInvalid, id)
	}
	return nil
}

// ValidateStart checks the start time of an upstream in a message that arrived now. A start
// time in the future would make all announcements of the upstream itself look stale. Errors
// wrap ErrInvalid.
func ValidateStart(startUnixMillis int64, now time.Time) error {
	if startUnixMillis < 0 || startUnixMillis > now.Add(maxClockLead).UnixMilli() {
		return fmt.Errorf("%w: start time %d is negative or more than %v ahead", ErrInvalid, startUnixMillis, maxClockLead)
	}
	return nil
}

// Verdict is the effect of an announcement on a Tracker.
type Verdict int

// Verdicts on an announcement.
const (
	// Stale announcements are ignored, because newer information is known.
	Stale Verdict = iota
	// Unchanged announcements are the newest, but have the same state, slots and start.
	Unchanged
	// Changed announcements changed the state, the slots or the start.
	Changed
)

// Tracker stores the newest announcement. It is not safe for concurrent use.
type Tracker struct {
	current Announcement
	// unknownStop is the stop of an upstream of which nothing was known, not even its start
	// time.
	unknownStop stop
	// departed is a stop that an earlier process of the node has recorded.
	departed stop
}

// stop is the stop of all starts under an id up to a time, in Unix milliseconds.
type stop struct {
	id    string
	until int64
}

func (s stop) includes(a Announcement) bool { return a.ID == s.id && a.StartUnixMillis <= s.until }

// Current returns the newest announcement; State is Unknown before the first.
func (t *Tracker) Current() Announcement { return t.current }

// Observe processes an announcement that just arrived.
func (t *Tracker) Observe(a Announcement) Verdict {
	cur := t.current
	if t.unknownStop.includes(a) || t.departed.includes(a) {
		return Stale
	}
	// An unknown upstream that stopped may have been another one, which has no start time to
	// compare with.
	if cur.State == Unknown || a.StartUnixMillis > cur.StartUnixMillis || t.unknownStop.includes(cur) {
		t.current = a
		return Changed
	}
	if a.StartUnixMillis < cur.StartUnixMillis || a.ID != cur.ID || a.Sequence <= cur.Sequence || cur.State == Gone {
		return Stale
	}
	t.current = a
	if a.State != cur.State || a.Slots != cur.Slots {
		return Changed
	}
	return Unchanged
}

// ObserveStop processes the message in which an upstream reports that it is about to
// stop. Both times are in Unix milliseconds. A zero start means that the message does not
// contain the start time; then every start before now counts as stopped.
func (t *Tracker) ObserveStop(id string, start, now int64) Verdict {
	cur := t.current
	if cur.State == Unknown {
		t.current = Announcement{ID: id, State: Gone, StartUnixMillis: startOrNow(start, now)}
		if start == 0 {
			t.unknownStop = stop{id, now}
		}
		return Changed
	}
	if cur.ID != id || (start != 0 && start < cur.StartUnixMillis) || cur.State == Gone {
		return Stale
	}
	t.current.State = Gone
	t.current.StartUnixMillis = startOrNow(max(cur.StartUnixMillis, start), now)
	return Changed
}

// ObserveDeparture processes the stop of an upstream that an earlier process of the node has
// recorded. Announcements of other upstreams still count, also those of an earlier start: they
// may come from a VM with another clock that has the same address.
func (t *Tracker) ObserveDeparture(id string, start int64) Verdict {
	t.departed = stop{id, start}
	if !t.departed.includes(t.current) || t.current.State == Unknown || t.current.State == Gone {
		return Stale
	}
	t.current.State, t.current.StartUnixMillis = Gone, start
	return Changed
}

func startOrNow(start, now int64) int64 {
	if start == 0 {
		return now
	}
	return start
}

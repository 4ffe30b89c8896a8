// Package announce derives the state of an upstream from its announcements, which may arrive
// late, twice, out of order or after a restart of the upstream.
//
// The start time in an announcement identifies a start and doesn't order starts: the clock of a
// VM may be put back by seconds or hours. Starts are ordered by when their announcements
// arrive.
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
	// have been put back since the start.
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

// ValidateStart checks the start time of an upstream in a message that arrived now. Errors wrap
// ErrInvalid.
func ValidateStart(startUnixMillis int64, now time.Time) error {
	if startUnixMillis < 0 || startUnixMillis > now.Add(maxClockLead).UnixMilli() {
		return fmt.Errorf("%w: start time %d is negative or more than %v ahead", ErrInvalid, startUnixMillis, maxClockLead)
	}
	return nil
}

package roster

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
)

// Departure states that an upstream has announced that it leaves. Other nodes keep it for the
// node beside the upstream, which forgets it when its process restarts: the upstream may still
// respond to health checks, but does not announce itself any more.
type Departure struct {
	// Address is that of the node beside the upstream.
	Address string
	// Upstream is the id of the upstream, and StartUnixMillis its start time or
	// announce.UnidentifiedStart.
	Upstream        string
	StartUnixMillis int64
}

// Validate checks the ranges of the values. now is the time at which the departure arrived.
// Errors wrap ErrInvalid.
func (d Departure) Validate(now time.Time) error {
	if err := ValidateAddress(d.Address); err != nil {
		return err
	}
	if err := announce.ValidateID(d.Upstream); err != nil {
		return fmt.Errorf("%w: departure: %w", ErrInvalid, err)
	}
	if d.StartUnixMillis == announce.UnidentifiedStart {
		return nil
	}
	if err := announce.ValidateStart(d.StartUnixMillis, now); err != nil {
		return fmt.Errorf("%w: departure: %w", ErrInvalid, err)
	}
	if d.StartUnixMillis == 0 {
		return fmt.Errorf("%w: departure without a start time", ErrInvalid)
	}
	return nil
}

// maxDepartures is the number of departures that are kept for a member.
const maxDepartures = 4

// RecordDeparture stores a departure with its member, if that is known. Start times don't order
// departures, since the clock of a VM may be put back, so earlier ones are kept as well.
func (r *Roster) RecordDeparture(d Departure) {
	m := r.members[d.Address]
	if m == nil || slices.Contains(m.Departures, d) {
		return
	}
	if len(m.Departures) == maxDepartures {
		m.Departures = m.Departures[1:]
	}
	m.Departures = append(m.Departures, d)
}

// MissedDepartures returns the departures that the sender of a status may not know: its process
// is new or has just begun to use an upstream that has left.
func (m *Member) MissedDepartures(s Status, change Change) []Departure {
	if change != Replaced && (change != StateChanged || !s.Upstream.Accepting) {
		return nil
	}
	var list []Departure
	for _, d := range m.Departures {
		if s.Upstream.ID == "" || s.Upstream.ID == d.Upstream {
			list = append(list, d)
		}
	}
	return list
}

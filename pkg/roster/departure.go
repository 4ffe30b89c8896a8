package roster

import (
	"fmt"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
)

// Departure states that an upstream has announced that it leaves. Other nodes keep it for the
// node beside the upstream, which forgets it when its process restarts: the upstream may still
// respond to health checks, but does not announce itself any more.
type Departure struct {
	// Address is that of the node beside the upstream.
	Address string
	// Upstream is the id of the upstream, and StartUnixMillis its start time.
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
	if err := announce.ValidateStart(d.StartUnixMillis, now); err != nil {
		return fmt.Errorf("%w: departure: %w", ErrInvalid, err)
	}
	if d.StartUnixMillis == 0 {
		return fmt.Errorf("%w: departure without a start time", ErrInvalid)
	}
	return nil
}

// RecordDeparture stores a departure with its member, if that is known.
func (r *Roster) RecordDeparture(d Departure) {
	if m := r.members[d.Address]; m != nil && d.StartUnixMillis >= m.Departure.StartUnixMillis {
		m.Departure = d
	}
}

// MissedDeparture returns the departure that the sender of a status may not know: its process
// is new or has just begun to use the upstream that has left.
func (m *Member) MissedDeparture(s Status, change Change) (Departure, bool) {
	d, u := m.Departure, s.Upstream
	concerns := d.Upstream != "" && (u.ID == "" || u.ID == d.Upstream)
	return d, concerns && (change == Replaced || change == StateChanged && u.Accepting)
}

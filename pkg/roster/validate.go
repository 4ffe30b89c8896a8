package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
)

// ErrInvalid marks a status or an address that comes from no node.
var ErrInvalid = errors.New("invalid status or address")

const (
	// maxRequests bounds the numbers of running and queued requests of one upstream.
	maxRequests = 1 << 20
	// maxSlowdownPercent bounds the reported slowdown of a VM.
	maxSlowdownPercent = 1_000_000
	// maxDuration bounds the ages, waits and service times in a status.
	maxDuration = 10 * 365 * 24 * time.Hour
	// maxClockLead bounds how far the incarnation of a node, which starts as its start time in
	// Unix milliseconds, may be ahead of the receiver's clock. It leaves room for clocks that
	// are wrong, and for nodes that move to an incarnation after that of another sender.
	maxClockLead = 10 * 365 * 24 * time.Hour
	// maxCrashes bounds the number of crashes of one suspect.
	maxCrashes = 1 << 20
)

// broadcastAddress is the IPv4 broadcast address of the local network.
var broadcastAddress = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// ValidateAddress checks that the address is the IP:port of one node. Errors wrap ErrInvalid.
func ValidateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%w: %.100q is not IP:port", ErrInvalid, address)
	}
	ip := a.Addr().Unmap()
	if a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcastAddress || ip.Zone() != "" {
		return fmt.Errorf("%w: %.100q is not the address of one node", ErrInvalid, address)
	}
	return nil
}

// Validate checks the ranges of the values. now is the time at which the status arrived.
// Errors wrap ErrInvalid.
func (s Status) Validate(now time.Time) error {
	if err := ValidateAddress(s.Address); err != nil {
		return err
	}
	maxIncarnation := now.Add(maxClockLead).UnixMilli()
	switch {
	case s.Incarnation < 1 || s.Incarnation > maxIncarnation:
		return fmt.Errorf("%w: incarnation %d", ErrInvalid, s.Incarnation)
	case s.ReceiverIncarnation < 0 || s.ReceiverIncarnation > maxIncarnation:
		return fmt.Errorf("%w: incarnation %d of the receiver", ErrInvalid, s.ReceiverIncarnation)
	case s.Phase > Stopping:
		return fmt.Errorf("%w: phase %d", ErrInvalid, s.Phase)
	}
	for _, e := range s.Suspects {
		if e.Crashes < 0 || e.Crashes > maxCrashes {
			return fmt.Errorf("%w: %d crashes", ErrInvalid, e.Crashes)
		}
	}
	return s.Upstream.Validate()
}

// Validate checks the ranges of the values. The id is empty while the upstream is unknown.
// Errors wrap ErrInvalid.
func (u Upstream) Validate() error {
	if u.ID != "" {
		if err := announce.ValidateID(u.ID); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	for _, n := range []struct {
		name       string
		value, max int64
	}{
		{"limit", int64(u.Limit), announce.MaxSlots},
		{"running", int64(u.Running), maxRequests},
		{"queued", int64(u.Queued), maxRequests},
		{"slowdown", int64(u.SlowdownPercent), maxSlowdownPercent},
		{"age of the slowdown", int64(u.SlowdownAgeMillis), maxDuration.Milliseconds()},
		{"wait", int64(u.WaitMillis), maxDuration.Milliseconds()},
		{"service time", int64(u.ServiceMicros), maxDuration.Microseconds()},
		{"failures", int64(u.FailurePermille), 1000},
		{"cold time", int64(u.ColdMillis), maxDuration.Milliseconds()},
	} {
		if n.value < 0 || n.value > n.max {
			return fmt.Errorf("%w: %s %d is not in the range 0 to %d", ErrInvalid, n.name, n.value, n.max)
		}
	}
	return nil
}

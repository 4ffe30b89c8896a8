package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// crashWindow is how long after a connection error a new incarnation still
// counts as evidence of a crash.
const crashWindow = 200 * time.Millisecond

// hasCrashed looks for evidence that the upstream crashed after a connection
// error, and ends its lease if there is any.
func (s *Sidecar) hasCrashed(ctx context.Context, c *call, a Announcement) bool {
	if s.refusesDial(a) {
		return true
	}
	timer := time.NewTimer(crashWindow)
	defer timer.Stop()
	select {
	case <-c.replaced:
		s.endLease(a)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// refusesDial reports whether the upstream refuses connections, and then ends its lease.
func (s *Sidecar) refusesDial(a Announcement) bool {
	dialer := net.Dialer{Timeout: crashWindow}
	conn, err := dialer.Dial("tcp", a.Address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	s.endLease(a)
	return true
}

func (s *Sidecar) endLease(a Announcement) {
	if s.lease.end(a.Incarnation) {
		s.events.Emit(event.UpstreamCrashed, event.Fields{"service": a.Service, "incarnation": a.Incarnation})
	}
}

package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// crashWindow is the time after a connection error within which a new incarnation
// counts as evidence of a crash. It also bounds the dial that checks the upstream.
const crashWindow = 200 * time.Millisecond

// hasCrashed reports, after a connection error, whether there is evidence that the
// upstream crashed. If there is, it ends the lease.
func (s *Sidecar) hasCrashed(ctx context.Context, c *call, a Announcement) bool {
	if s.refusesConnections(a) {
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

// refusesConnections reports whether the upstream refuses TCP connections. If it
// does, its lease is ended.
func (s *Sidecar) refusesConnections(a Announcement) bool {
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

// endLease ends the lease of a crashed incarnation. It logs the crash once.
func (s *Sidecar) endLease(a Announcement) {
	if s.lease.end(a.Incarnation) {
		s.events.Emit(event.UpstreamCrashed, event.Fields{"service": a.Service, "incarnation": a.Incarnation})
	}
}

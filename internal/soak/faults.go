package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/platform/standin"
)

// fault is a kind of fault. inject injects one fault of the kind. If the fault has a
// duration, inject returns after its end.
type fault struct {
	name   string
	inject func(*soak, *vm, *rand.Rand) error
}

// lateHeartbeatDelay is the time from the start of all nodes to a late heartbeat of each upstream.
const lateHeartbeatDelay = 300 * time.Millisecond

var faults = []fault{
	{"kill", func(_ *soak, v *vm, r *rand.Rand) error {
		if err := v.signal(syscall.SIGKILL); err != nil {
			return err
		}
		v.wait()
		time.Sleep(faultDuration(r))
		return v.start()
	}},
	{"stop", func(_ *soak, v *vm, _ *rand.Rand) error {
		if err := v.signal(syscall.SIGTERM); err != nil {
			return err
		}
		v.wait()
		return v.start()
	}},
	{"freeze", func(_ *soak, v *vm, r *rand.Rand) error {
		if err := v.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(faultDuration(r))
		return v.signal(syscall.SIGCONT)
	}},
	{"crowd", func(s *soak, v *vm, r *rand.Rand) error {
		s.startCrowd(v, r)
		return nil
	}},
	{"crowd and stop", func(s *soak, v *vm, r *rand.Rand) error {
		s.startCrowd(v, r)
		time.Sleep(faultDuration(r) / 2)
		if err := v.signal(syscall.SIGTERM); err != nil {
			return err
		}
		v.wait()
		return v.start()
	}},
	{"signals", func(_ *soak, v *vm, r *rand.Rand) error {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGHUP} {
			if err := v.signal(sig); err != nil {
				return err
			}
		}
		time.Sleep(faultDuration(r) / 2)
		for _, sig := range []syscall.Signal{syscall.SIGCONT, syscall.SIGHUP, syscall.SIGTERM} {
			if err := v.signal(sig); err != nil {
				return err
			}
		}
		v.wait()
		return v.start()
	}},
	{"reload", func(_ *soak, v *vm, _ *rand.Rand) error { return v.signal(syscall.SIGHUP) }},
	{"kill all", func(s *soak, _ *vm, _ *rand.Rand) error {
		for _, v := range s.vms {
			if err := v.signal(syscall.SIGKILL); err != nil {
				return err
			}
			v.wait()
		}
		for _, v := range s.vms {
			if err := v.start(); err != nil {
				return err
			}
		}
		// A heartbeat from before a drain must not bring the upstream back. A node that is not
		// up yet gets none.
		time.Sleep(lateHeartbeatDelay)
		for _, v := range s.vms {
			v.upstream.AnnounceLate()
		}
		return nil
	}},
	{"store", func(s *soak, _ *vm, r *rand.Rand) error {
		modes := []standin.Fault{standin.Busy, standin.Silent, standin.LostResponse, standin.Slow}
		s.markStoreFault()
		s.store.SetFault(modes[r.IntN(len(modes))])
		time.Sleep(faultDuration(r))
		s.store.SetFault(standin.NoFault)
		s.markStoreFault()
		return nil
	}},
	{"forget", func(s *soak, _ *vm, _ *rand.Rand) error {
		s.markStoreFault()
		s.store.DeleteHistory()
		return nil
	}},
	{"link", func(_ *soak, v *vm, r *rand.Rand) error {
		v.markFault()
		v.storeProxy.setMode(proxyMode(1 + r.IntN(int(proxyModeCount)-1)))
		time.Sleep(faultDuration(r))
		v.storeProxy.setMode(pass)
		v.markFault()
		return nil
	}},
	{"reset", func(_ *soak, v *vm, _ *rand.Rand) error {
		v.markFault()
		v.storeProxy.reset()
		return nil
	}},
	{"upstream", func(_ *soak, v *vm, r *rand.Rand) error {
		v.upstream.SetFaults(int64(2+r.IntN(5)), 1+r.IntN(8))
		time.Sleep(faultDuration(r))
		v.upstream.SetFaults(0, 1)
		return nil
	}},
	{"config", func(s *soak, _ *vm, _ *rand.Rand) error {
		s.mu.Lock()
		route := s.lastRoute + 1
		s.mu.Unlock()
		s.publishConfig(route)
		return nil
	}},
	{"withdraw key", func(s *soak, _ *vm, r *rand.Rand) error {
		s.mu.Lock()
		route := s.lastRoute
		s.mu.Unlock()
		s.publishConfig(route, organisations[r.IntN(len(organisations))])
		return nil
	}},
	{"evacuate", func(s *soak, v *vm, _ *rand.Rand) error {
		// At most one failure domain is evacuated, and at most one upstream of a service is drained, so
		// that each service keeps one of three upstreams.
		if len(s.evacuatedAt) > 0 {
			return nil
		}
		s.store.SetEvacuated(v.domain, true)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evacuatedAt[v.domain] = time.Now()
		return nil
	}},
	{"take back", func(s *soak, _ *vm, _ *rand.Rand) error {
		for domain, at := range s.evacuatedAt {
			// The check needs time after the bound.
			if time.Since(at) < evacuationBound+settleTime {
				return nil
			}
			s.mu.Lock()
			delete(s.evacuatedAt, domain)
			s.mu.Unlock()
			s.store.SetEvacuated(domain, false)
		}
		return nil
	}},
	{"cold", func(_ *soak, v *vm, r *rand.Rand) error {
		if v.upstream.Draining() {
			return nil
		}
		return v.restartUpstream(faultDuration(r), coldTime)
	}},
	{"drain", func(s *soak, v *vm, _ *rand.Rand) error {
		// At most one upstream is drained, so that each service keeps one.
		if s.anyDraining() || v.upstream.Draining() {
			return nil
		}
		if at := v.upstream.Drain(); !at.IsZero() {
			s.mu.Lock()
			s.drainedAt[v.upstream.ID] = at
			s.mu.Unlock()
		}
		return nil
	}},
}

// faultDuration returns a random duration of a fault.
func faultDuration(r *rand.Rand) time.Duration {
	return time.Duration(200+r.IntN(2000)) * time.Millisecond
}

// markStoreFault records that the store has a fault now.
func (s *soak) markStoreFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreFault = time.Now()
}

// anyDraining reports whether an upstream is draining.
func (s *soak) anyDraining() bool {
	for _, v := range s.vms {
		if v.upstream.Draining() {
			return true
		}
	}
	return false
}

package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/platform/standin"
)

// fault harms the fleet and ends the harm again.
type fault struct {
	name   string
	inject func(*soak, *vm, *rand.Rand) error
}

var faults = []fault{
	{"kill", func(_ *soak, v *vm, r *rand.Rand) error {
		if err := v.signal(syscall.SIGKILL); err != nil {
			return err
		}
		v.wait()
		time.Sleep(pause(r))
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
		time.Sleep(pause(r))
		return v.signal(syscall.SIGCONT)
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
		return nil
	}},
	{"store", func(s *soak, _ *vm, r *rand.Rand) error {
		troubles := []standin.Trouble{standin.Busy, standin.Silent, standin.Lost, standin.Slow}
		s.harmStore()
		s.store.Misbehave(troubles[r.IntN(len(troubles))])
		time.Sleep(pause(r))
		s.store.Misbehave(standin.None)
		s.harmStore()
		return nil
	}},
	{"forget", func(s *soak, _ *vm, _ *rand.Rand) error {
		s.harmStore()
		s.store.Forget()
		return nil
	}},
	{"link", func(_ *soak, v *vm, r *rand.Rand) error {
		v.touch()
		v.store.set(proxyMode(1 + r.IntN(int(proxyModes)-1)))
		time.Sleep(pause(r))
		v.store.set(pass)
		v.touch()
		return nil
	}},
	{"reset", func(_ *soak, v *vm, _ *rand.Rand) error {
		v.touch()
		v.store.reset()
		return nil
	}},
	{"upstream", func(_ *soak, v *vm, r *rand.Rand) error {
		v.upstream.Misbehave(int64(2+r.IntN(5)), 1+r.IntN(8))
		time.Sleep(pause(r))
		v.upstream.Misbehave(0, 1)
		return nil
	}},
	{"config", func(s *soak, _ *vm, _ *rand.Rand) error {
		s.mu.Lock()
		n := s.added + 1
		s.mu.Unlock()
		s.store.PutConfig(standin.Config(1+n, services, n))
		s.mu.Lock()
		s.added, s.addedAt = n, time.Now()
		s.mu.Unlock()
		return nil
	}},
	{"drain", func(s *soak, v *vm, _ *rand.Rand) error {
		// One upstream of each service stays.
		if s.leaving() || v.upstream.Draining() {
			return nil
		}
		if at := v.upstream.Drain(); !at.IsZero() {
			s.mu.Lock()
			s.drained[v.upstream.ID] = at
			s.mu.Unlock()
		}
		return nil
	}},
}

// pause is how long a fault lasts.
func pause(r *rand.Rand) time.Duration { return time.Duration(200+r.IntN(2000)) * time.Millisecond }

func (s *soak) harmStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeHarmed = time.Now()
}

// leaving reports whether an upstream has left already.
func (s *soak) leaving() bool {
	for _, v := range s.vms {
		if v.upstream.Draining() {
			return true
		}
	}
	return false
}

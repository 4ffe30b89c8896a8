package relay

import (
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// registerInFlight records a request that is about to run. It reports false if the
// request is blocked because it crashes upstreams.
func (s *Sidecar) registerInFlight(r *gate.Request, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Blocked(s.now(), fingerprint) {
		return false
	}
	s.inFlight[r] = fingerprint
	return true
}

func (s *Sidecar) clearSuspect(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Clear(fingerprint)
}

// checkCrash checks after a lost response whether the upstream has crashed. If it
// has, all requests in flight are suspects.
func (s *Sidecar) checkCrash(lost *Result) {
	if lost.Kind != Failed || lost.TimedOut || s.Down() {
		return
	}
	err := s.client.CheckReachable()
	if err == nil {
		return
	}
	s.mu.Lock()
	var fingerprints []uint64
	for _, f := range s.inFlight {
		fingerprints = append(fingerprints, f)
	}
	s.suspects.RecordCrash(s.now(), fingerprints)
	s.mu.Unlock()
	s.events.Emit(event.UpstreamCrashed, event.Fields{"suspects": len(fingerprints), "error": err.Error()})
	s.markDown(err)
}

// Suspects returns the requests that may have crashed the upstream.
func (s *Sidecar) Suspects() []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.OwnEntries(s.now())
}

// SetPeerSuspects replaces the suspects reported by another node.
func (s *Sidecar) SetPeerSuspects(node string, entries []suspect.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.SetNodeEntries(s.now(), node, entries)
}

package relay

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/quarantine"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

const (
	// reasonCrashesUpstreams is for requests that are blocked because they crash upstreams.
	reasonCrashesUpstreams = "crashes-upstreams"
	// suspectLogInterval is the minimum time between two events on blocked requests.
	suspectLogInterval = time.Second
	// maxLoggedFingerprints bounds the fingerprints in the event on a crash.
	maxLoggedFingerprints = 16
)

// runningRequest is a request at the upstream.
type runningRequest struct {
	fingerprint uint64
	// start identifies the start of the upstream to which the request was sent.
	start uint64
}

// fingerprintOf returns the fingerprint of a call, which is the same for each attempt of its request.
func fingerprintOf(c *Call) uint64 {
	return quarantine.Fingerprint(c.Service+c.Caller, c.Method, c.URI, c.Length, c.Body)
}

// currentStart identifies the start of the upstream. It differs after each restart, also if that is
// seen by its health only, and is the same for other processes of the node if the upstream has
// announced itself. The lock must be held.
func (s *Sidecar) currentStart() uint64 {
	cur := s.tracker.Current()
	b := append([]byte(cur.ID), 0)
	b = binary.BigEndian.AppendUint64(b, uint64(cur.StartUnixMillis))
	b = binary.BigEndian.AppendUint64(b, s.upstreamStarts)
	if cur.StartUnixMillis == 0 {
		b = binary.BigEndian.AppendUint64(b, uint64(s.start.UnixNano()))
	}
	return xxhash.Sum64(b)
}

// registerInFlight records a request that is about to run. It reports false if the
// request is blocked because it crashes upstreams.
func (s *Sidecar) registerInFlight(r *gate.Request, fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	verdict := s.suspects.Admit(now, fingerprint)
	if verdict != suspect.Allowed {
		if suppressed, ok := s.blockedLog.Allow(time.Now()); ok || verdict == suspect.Trial {
			s.events.Emit(event.RequestBlocked, event.Fields{
				"fingerprint": formatFingerprint(fingerprint), "crashes": s.suspects.Crashes(now, fingerprint), "trial": verdict == suspect.Trial, "suppressed": suppressed,
			})
		}
	}
	if verdict == suspect.Blocked {
		return false
	}
	s.inFlight[r] = runningRequest{fingerprint, s.currentStart()}
	return true
}

func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

// recordCompletion records that the upstream has completed the request.
func (s *Sidecar) recordCompletion(fingerprint uint64) {
	s.mu.Lock()
	crashes := s.suspects.Crashes(s.now(), fingerprint)
	cleared := s.suspects.RecordCompletion(s.now(), fingerprint)
	s.mu.Unlock()
	if cleared {
		s.events.Emit(event.RequestCleared, event.Fields{"fingerprint": formatFingerprint(fingerprint), "crashes": crashes})
	}
	if crashes > 1 {
		s.stateChanged()
	}
}

// checkCrash checks after a lost response whether the upstream has crashed. If it has, all requests
// in flight are suspects.
func (s *Sidecar) checkCrash(lost *Result) {
	if lost.Kind != Failed || lost.TimedOut {
		return
	}
	err := errUpstreamDown
	if !s.Down() {
		if err = s.client.CheckReachable(); err == nil {
			return
		}
	}
	s.recordCrash(err)
	s.markDown(err)
}

// recordCrash records the evidence of a crash. Another response that the same crash has lost adds
// nothing.
func (s *Sidecar) recordCrash(err error) {
	s.mu.Lock()
	before := s.suspects.Len()
	byStart := map[uint64][]uint64{}
	var fingerprints []string
	for _, r := range s.inFlight {
		byStart[r.start] = append(byStart[r.start], r.fingerprint)
		if len(fingerprints) < maxLoggedFingerprints {
			fingerprints = append(fingerprints, formatFingerprint(r.fingerprint))
		}
	}
	for start, list := range byStart {
		s.suspects.RecordCrash(s.now(), start, list)
	}
	recorded := s.suspects.Len() - before
	s.mu.Unlock()
	if recorded == 0 {
		return
	}
	s.events.Emit(event.UpstreamCrashed, event.Fields{"suspects": recorded, "in_flight": fingerprints, "error": err.Error()})
	s.stateChanged()
}

// Suspects returns the requests that may have crashed the upstream, for nodes of the version before.
func (s *Sidecar) Suspects() []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.OwnEntries(s.now())
}

// Evidence returns the evidence on requests that crash upstreams for a status to all nodes, or all of
// it for a node that has started.
func (s *Sidecar) Evidence(all bool) []suspect.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if all {
		return s.suspects.ReportAll(s.now())
	}
	return s.suspects.Report(s.now())
}

// EvidenceCount returns the number of pieces of evidence that the node knows.
func (s *Sidecar) EvidenceCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.suspects.Len())
}

// MergeEvidence adds the evidence that another node reports.
func (s *Sidecar) MergeEvidence(list []suspect.Evidence) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Merge(s.now(), list)
}

// MergeEntries adds the suspects that a node of the version before reports. That counts a crash for
// each request in flight, so all crashes of one process of the node count as one.
func (s *Sidecar) MergeEntries(node string, incarnation int64, entries []suspect.Entry) {
	start := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), uint64(incarnation)))
	var list []suspect.Evidence
	for _, e := range entries {
		list = append(list, suspect.Evidence{Fingerprint: e.Fingerprint, Start: start})
	}
	s.MergeEvidence(list)
}

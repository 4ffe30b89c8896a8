package routing

import (
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// StaleCandidate is an upstream without recent information.
type StaleCandidate struct {
	Candidate
	// LastUpdate is the time of the latest information; zero if there is none.
	LastUpdate time.Time
}

// RecentServices returns the services to which a request was sent within the given age,
// in no particular order. It removes the records of the other services.
func (p *Picker) RecentServices(age time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []string
	for service, at := range p.lastAttempt {
		if now-at >= age {
			delete(p.lastAttempt, service)
			continue
		}
		out = append(out, service)
	}
	return out
}

// Stale returns the upstreams of the subset that neither reported their load nor
// responded to a request within the given age, in the order of candidates.
func (p *Picker) Stale(service string, candidates []Candidate, age time.Duration) []StaleCandidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []StaleCandidate
	for _, c := range p.subsets.get(p.cfg.NodeID, service, candidates) {
		at, known := p.state(now, c).lastUpdate()
		switch {
		case !known:
			out = append(out, StaleCandidate{Candidate: c})
		case now-at >= age:
			out = append(out, StaleCandidate{Candidate: c, LastUpdate: p.epoch.Add(at)})
		}
	}
	return out
}

// lastUpdate returns the time of the latest information, if there is any.
func (u *upstream) lastUpdate() (time.Duration, bool) {
	switch {
	case u.report != nil && u.samples > 0:
		return max(u.reportedAt, u.lastResultAt), true
	case u.report != nil:
		return u.reportedAt, true
	}
	return u.lastResultAt, u.samples > 0
}

// RecordLoad records the load returned by a probe. Loads of other incarnations are dropped.
func (p *Picker) RecordLoad(nodeID string, incarnation uint64, l *pb.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[nodeID]; u != nil && u.incarnation == incarnation {
		u.setReport(p.now(), l)
	}
}

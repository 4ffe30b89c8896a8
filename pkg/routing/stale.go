package routing

import (
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// StaleCandidate is an upstream without recent information.
type StaleCandidate struct {
	Candidate
	// Known is the time of the newest information; zero if there is none.
	Known time.Time
}

// Recent returns the services to which a request was sent within that time, in no
// particular order, and forgets the others.
func (p *Picker) Recent(age time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []string
	for service, at := range p.routed {
		if now-at >= age {
			delete(p.routed, service)
			continue
		}
		out = append(out, service)
	}
	return out
}

// Stale returns the upstreams of the subset that neither reported their load nor
// finished a request for that long, in the order given.
func (p *Picker) Stale(service string, candidates []Candidate, age time.Duration) []StaleCandidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []StaleCandidate
	for _, c := range p.subsets.of(p.cfg.NodeID, service, candidates) {
		at, known := p.state(now, c).known()
		switch {
		case !known:
			out = append(out, StaleCandidate{Candidate: c})
		case now-at >= age:
			out = append(out, StaleCandidate{Candidate: c, Known: p.epoch.Add(at)})
		}
	}
	return out
}

// known returns the time of the newest information, if there is any.
func (u *upstream) known() (time.Duration, bool) {
	switch {
	case u.report != nil && u.samples > 0:
		return max(u.reported, u.lastDone), true
	case u.report != nil:
		return u.reported, true
	}
	return u.lastDone, u.samples > 0
}

// Observe takes a load that was asked for. Loads of other incarnations are dropped.
func (p *Picker) Observe(nodeID string, incarnation uint64, l *pb.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[nodeID]; u != nil && u.incarnation == incarnation {
		u.setReport(p.now(), l)
	}
}

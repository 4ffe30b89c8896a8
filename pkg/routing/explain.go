package routing

import (
	"fmt"
	"slices"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Service returns the service for which the upstream was last used, or "".
func (p *Picker) Service(nodeID string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[nodeID]; u != nil {
		return u.service
	}
	return ""
}

// LastReport returns the last load that the upstream reported, or nil.
func (p *Picker) LastReport(nodeID string) *pb.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[nodeID]; u != nil {
		return u.report
	}
	return nil
}

// Explain returns the reasons for and against selecting an upstream among the
// candidates, and its last load report.
func (p *Picker) Explain(service, nodeID string, candidates []Candidate) ([]string, *pb.Load) {
	subset := Subset(p.cfg.NodeID, service, candidates)
	isNode := func(c Candidate) bool { return c.NodeID == nodeID }
	index := slices.IndexFunc(candidates, isNode)
	if index < 0 {
		return []string{"not a candidate: unknown, lapsed, draining or not alive"}, p.LastReport(nodeID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, c := p.now(), candidates[index]
	u := p.state(now, c)
	var reasons []string
	if !slices.ContainsFunc(subset, isNode) {
		reasons = append(reasons, fmt.Sprintf("outside the subset of %d upstreams that this ingress uses", len(subset)))
	}
	if u.breaker.open() {
		left := max(0, u.breaker.openUntil-now).Round(time.Millisecond)
		reasons = append(reasons, fmt.Sprintf("ejected by the circuit breaker after %d failures; next trial in %v", u.breaker.consecutiveFailures, left))
	}
	if f := u.ramp(now, c); f > 1 {
		reasons = append(reasons, fmt.Sprintf("cold: its cost counts %.1f times", f))
	}
	reasons = append(reasons, p.compareCost(now, service, c, subset))
	return reasons, u.report
}

// compareCost describes the cost of the candidate and its position in the subset.
func (p *Picker) compareCost(now time.Duration, service string, c Candidate, subset []Candidate) string {
	own := p.state(now, c).cost(now, c, p.prior(service, c))
	cheaper := 0
	for _, other := range subset {
		if other.NodeID != c.NodeID && p.state(now, other).cost(now, other, p.prior(service, other)) < own {
			cheaper++
		}
	}
	u := p.state(now, c)
	return fmt.Sprintf("cost %v with %d own requests in flight, latency %v, failure share %.2f; %d of %d upstreams cost less",
		own.Round(time.Microsecond), u.inFlight, u.latency.Round(time.Microsecond), u.failureRate, cheaper, len(subset))
}

package mesh

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/placement"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/spillover"
)

// classStats are moving averages of the requests of one class.
type classStats struct {
	// responseBytes is the mean length of responses.
	responseBytes float64
	known         bool
}

// responseBytesWeight is the weight of a new response in the mean length.
const responseBytesWeight = 0.1

// observe adds a response of the given length.
func (s *classStats) observe(length int64) {
	if !s.known {
		s.responseBytes, s.known = float64(length), true
		return
	}
	s.responseBytes += responseBytesWeight * (float64(length) - s.responseBytes)
}

// confine restricts the candidates and their members, in place, to those that the request may be sent
// to: all, or those inside the node's failure domain. The caller holds the lock.
func (d *directory) confine(demand relay.Demand, candidates []placement.Candidate, members []*roster.Member) ([]placement.Candidate, []*roster.Member, spillover.Decision) {
	decision := d.leaving.DecideAtRandom(candidates, d.costs, spillover.Request{
		TargetLeft: demand.TargetLeft, ServiceTime: d.serviceTimeOf(demand.Class), Bytes: d.expectedBytes(demand),
	})
	kept := decision.Keep(candidates)
	for to, from := range kept {
		candidates[to], members[to] = candidates[from], members[from]
	}
	return candidates[:len(kept)], members[:len(kept)], decision
}

// expectedBytes returns the expected length of the request's body and its response. The caller holds
// the lock.
func (d *directory) expectedBytes(demand relay.Demand) int64 {
	n := max(0, demand.BodyBytes)
	if s := d.classes[demand.Class]; s != nil {
		n += int64(s.responseBytes)
	}
	return n
}

// observeResponse records the length of a response. The caller holds the lock.
func (d *directory) observeResponse(class string, r *relay.Result) {
	length := max(r.Length, int64(len(r.Body)))
	s := d.classes[class]
	if s == nil {
		s = &classStats{}
		d.classes[class] = s
	}
	s.observe(length)
}

// Prefixes of the names of the metrics that countPlacement updates. The name of the service follows.
const (
	stayedMetric    = "domain.stayed."
	leftMetric      = "domain.left."
	leftBytesMetric = "domain.left.bytes."
)

// countPlacement counts a request that stays in the failure domain or leaves it, by service. The
// caller holds the lock.
func (d *directory) countPlacement(demand relay.Demand, sameDomain bool) {
	if d.metrics == nil {
		return
	}
	d.countedServices[demand.Service] = true
	if sameDomain {
		metrics.GetOrRegisterCounter(stayedMetric+demand.Service, d.metrics).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter(leftMetric+demand.Service, d.metrics).Inc(1)
	metrics.GetOrRegisterCounter(leftBytesMetric+demand.Service, d.metrics).Inc(d.expectedBytes(demand))
}

// prunePlacementMetrics removes the metrics of services that are not in the table. The caller holds
// the lock.
func (d *directory) prunePlacementMetrics(t *route.Table) {
	for service := range d.countedServices {
		if t.HasService(service) {
			continue
		}
		delete(d.countedServices, service)
		for _, prefix := range []string{stayedMetric, leftMetric, leftBytesMetric} {
			d.metrics.Unregister(prefix + service)
		}
	}
}

// describeDecision explains a decision in logs.
func describeDecision(d spillover.Decision) string {
	return fmt.Sprintf("home=%dms away=%dms share=%.2f", d.Home.Milliseconds(), d.Away.Milliseconds(), d.Share)
}

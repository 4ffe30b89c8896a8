package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// meters are the metrics of an ingress.
type meters struct {
	registry metrics.Registry
	added    metrics.Timer
	retries  metrics.Counter
	hedges   metrics.Counter
	reroutes metrics.Counter
	broken   metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		added:    metrics.GetOrRegisterTimer("ingress.added", r),
		retries:  metrics.GetOrRegisterCounter("ingress.retries", r),
		hedges:   metrics.GetOrRegisterCounter("ingress.hedges", r),
		reroutes: metrics.GetOrRegisterCounter("ingress.reroutes", r),
		broken:   metrics.GetOrRegisterCounter("ingress.truncated", r),
	}
}

// finish counts a request that got a complete answer or a problem document.
func (m *meters) finish(x *exchange, p *outcome.Problem) {
	total := time.Since(x.start)
	m.added.Update(max(0, total-x.outside))
	rank, o := x.rankName(), outcome.Run
	if p != nil {
		o = p.Outcome
		metrics.GetOrRegisterCounter("ingress.refusals."+string(p.Reason), m.registry).Inc(1)
	}
	metrics.GetOrRegisterCounter("ingress.calls."+rank+"."+string(o), m.registry).Inc(1)
	metrics.GetOrRegisterTimer("ingress.latency."+rank, m.registry).Update(total)
}

// truncated counts a request whose answer broke off.
func (m *meters) truncated(x *exchange) {
	m.broken.Inc(1)
	metrics.GetOrRegisterCounter("ingress.calls."+x.rankName()+"."+string(outcome.Unknown), m.registry).Inc(1)
}

// rankName is "none" for requests that were refused before their rank was known.
func (x *exchange) rankName() string {
	if x.rank.Name == "" {
		return "none"
	}
	return x.rank.Name
}

package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// ingressMetrics holds the metrics of an ingress.
type ingressMetrics struct {
	registry     metrics.Registry
	addedLatency metrics.Timer
	retries      metrics.Counter
	hedges       metrics.Counter
	reroutes     metrics.Counter
	truncations  metrics.Counter
}

func newIngressMetrics(r metrics.Registry) *ingressMetrics {
	return &ingressMetrics{
		registry:     r,
		addedLatency: metrics.GetOrRegisterTimer("ingress.added", r),
		retries:      metrics.GetOrRegisterCounter("ingress.retries", r),
		hedges:       metrics.GetOrRegisterCounter("ingress.hedges", r),
		reroutes:     metrics.GetOrRegisterCounter("ingress.reroutes", r),
		truncations:  metrics.GetOrRegisterCounter("ingress.truncated", r),
	}
}

// countFinished counts a request that got a complete response or a problem document.
func (m *ingressMetrics) countFinished(x *exchange, p *outcome.Problem) {
	total := time.Since(x.start)
	m.addedLatency.Update(max(0, total-x.externalTime))
	rank, o := x.rankName(), outcome.Run
	if p != nil {
		o = p.Outcome
		metrics.GetOrRegisterCounter("ingress.refusals."+string(p.Reason), m.registry).Inc(1)
	}
	metrics.GetOrRegisterCounter("ingress.calls."+rank+"."+string(o), m.registry).Inc(1)
	metrics.GetOrRegisterTimer("ingress.latency."+rank, m.registry).Update(total)
}

// countTruncated counts a request whose response was truncated.
func (m *ingressMetrics) countTruncated(x *exchange) {
	m.truncations.Inc(1)
	metrics.GetOrRegisterCounter("ingress.calls."+x.rankName()+"."+string(outcome.Unknown), m.registry).Inc(1)
}

// rankName returns the rank, or "none" if the request was rejected before its rank was
// known.
func (x *exchange) rankName() string {
	if x.rank.Name == "" {
		return "none"
	}
	return x.rank.Name
}

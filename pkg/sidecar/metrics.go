package sidecar

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Parameters of the exponentially decaying sample of service times: 1028 values, weighted
// towards the last 5 minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// sidecarMetrics updates the metrics in a registry. It is safe for concurrent use.
type sidecarMetrics struct{ registry metrics.Registry }

func newMetrics(r metrics.Registry, c *admission.Controller) sidecarMetrics {
	_ = r.Register("sidecar.in_flight", metrics.NewFunctionalGauge(func() int64 { return int64(c.Stats().InFlight) }))
	_ = r.Register("sidecar.queued", metrics.NewFunctionalGauge(func() int64 { return int64(c.Stats().Queued) }))
	return sidecarMetrics{registry: r}
}

func (m sidecarMetrics) rejected(reason outcome.Reason) {
	metrics.GetOrRegisterCounter("sidecar.refused."+string(reason), m.registry).Inc(1)
}

// observe records the service time since start, in microseconds. Ranks that are
// not in the intent use one common histogram, which bounds the number of metrics.
func (m sidecarMetrics) observe(rank string, in *intent.Intent, start time.Time) {
	if in == nil {
		rank = "other"
	} else if _, ok := in.Rank(rank); !ok {
		rank = "other"
	}
	h := m.registry.GetOrRegister("sidecar.service_time_us."+rank, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(time.Since(start).Microseconds())
}

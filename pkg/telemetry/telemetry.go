// Package telemetry holds a node's metrics in a go-metrics registry and serves
// them in the Prometheus text format.
package telemetry

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// namespace prefixes all metric names.
const namespace = "mulberrytray_"

// Handler serves the metrics of the registry.
func Handler(r metrics.Registry) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{r})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// collector adapts a go-metrics registry to prometheus.Collector.
type collector struct {
	registry metrics.Registry
}

// Describe sends nothing: the set of metrics may change.
func (collector) Describe(chan<- *prometheus.Desc) {}

// quantiles reported of histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, m any) {
		name = namespace + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			out <- constant(name, prometheus.CounterValue, float64(m.Count()))
		case metrics.Gauge:
			out <- constant(name, prometheus.GaugeValue, float64(m.Value()))
		case metrics.GaugeFloat64:
			out <- constant(name, prometheus.GaugeValue, m.Value())
		case metrics.Meter:
			out <- constant(name+"_total", prometheus.CounterValue, float64(m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			out <- summary(name, s.Count(), s.Sum(), s.Percentiles(quantiles))
		case metrics.Timer:
			s := m.Snapshot()
			out <- summary(name, s.Count(), s.Sum(), s.Percentiles(quantiles))
		}
	})
}

func constant(name string, t prometheus.ValueType, v float64) prometheus.Metric {
	return prometheus.MustNewConstMetric(prometheus.NewDesc(name, name, nil, nil), t, v)
}

func summary(name string, count, sum int64, values []float64) prometheus.Metric {
	q := map[float64]float64{}
	for i, p := range quantiles {
		q[p] = values[i]
	}
	return prometheus.MustNewConstSummary(prometheus.NewDesc(name, name, nil, nil), uint64(count), float64(sum), q)
}

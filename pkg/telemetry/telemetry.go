// Package telemetry serves a node's go-metrics registry in the Prometheus text
// format.
package telemetry

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// namespace is the prefix of all metric names.
const namespace = "mulberrytray_"

// Handler returns an HTTP handler that serves the metrics of the registry.
func Handler(r metrics.Registry) http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{r})
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// collector adapts a go-metrics registry to prometheus.Collector.
type collector struct {
	registry metrics.Registry
}

// Describe sends nothing, because the set of metrics can change. This makes the
// collector unchecked.
func (collector) Describe(chan<- *prometheus.Desc) {}

// quantiles are those reported for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Collect converts each metric of the registry. Dots and dashes in names become
// underscores.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, m any) {
		name = namespace + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			out <- constMetric(name, prometheus.CounterValue, float64(m.Count()))
		case metrics.Gauge:
			out <- constMetric(name, prometheus.GaugeValue, float64(m.Value()))
		case metrics.GaugeFloat64:
			out <- constMetric(name, prometheus.GaugeValue, m.Value())
		case metrics.Meter:
			out <- constMetric(name+"_total", prometheus.CounterValue, float64(m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			out <- summaryMetric(name, s.Count(), s.Sum(), s.Percentiles(quantiles))
		case metrics.Timer:
			s := m.Snapshot()
			out <- summaryMetric(name, s.Count(), s.Sum(), s.Percentiles(quantiles))
		}
	})
}

func constMetric(name string, t prometheus.ValueType, v float64) prometheus.Metric {
	return prometheus.MustNewConstMetric(prometheus.NewDesc(name, name, nil, nil), t, v)
}

func summaryMetric(name string, count, sum int64, values []float64) prometheus.Metric {
	q := map[float64]float64{}
	for i, p := range quantiles {
		q[p] = values[i]
	}
	return prometheus.MustNewConstSummary(prometheus.NewDesc(name, name, nil, nil), uint64(count), float64(sum), q)
}

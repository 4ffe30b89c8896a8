package probing

import "github.com/rcrowley/go-metrics"

// Parameters of the duration sample; go-metrics uses the same ones for its timers.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// runnerMetrics holds the metrics of a runner. It does not use the Timer and Meter
// of go-metrics: they start a goroutine that does not end with the runner.
type runnerMetrics struct {
	sent   metrics.Counter
	failed metrics.Counter
	// bytes is the size of requests and responses, without headers.
	bytes metrics.Counter
	// duration of successful and failed probes, in nanoseconds.
	duration metrics.Histogram
}

func newRunnerMetrics(r metrics.Registry) *runnerMetrics {
	return &runnerMetrics{
		sent:     metrics.GetOrRegisterCounter("probing.sent", r),
		failed:   metrics.GetOrRegisterCounter("probing.failed", r),
		bytes:    metrics.GetOrRegisterCounter("probing.bytes", r),
		duration: metrics.GetOrRegisterHistogram("probing.duration", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

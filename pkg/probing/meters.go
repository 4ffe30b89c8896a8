package probing

import "github.com/rcrowley/go-metrics"

// sampleSize and sampleAlpha are those that go-metrics uses for its timers.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the metrics of a runner. There is no go-metrics Timer or Meter among
// them: these start a goroutine that does not end with the runner.
type meters struct {
	sent   metrics.Counter
	failed metrics.Counter
	// bytes of the messages both ways, without headers.
	bytes metrics.Counter
	// duration of answered and failed probes, in nanoseconds.
	duration metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		sent:     metrics.GetOrRegisterCounter("probing.sent", r),
		failed:   metrics.GetOrRegisterCounter("probing.failed", r),
		bytes:    metrics.GetOrRegisterCounter("probing.bytes", r),
		duration: metrics.GetOrRegisterHistogram("probing.duration", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

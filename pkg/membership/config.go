package membership

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Config holds the settings of an Agent. Zero fields take their defaults.
type Config struct {
	// Period is the time between two probes. Default 1 s.
	Period time.Duration
	// ProbeTimeout bounds a direct probe. Default 300 ms, at most 0.3 periods, so
	// that the direct and the indirect probe both end within the period.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect is declared dead in a fleet
	// of up to 10 nodes. It grows with the logarithm of the fleet size. Default 4 s.
	SuspicionTimeout time.Duration
	// SyncInterval is the time between two list comparisons with a random member in
	// a small fleet. Default 30 s.
	SyncInterval time.Duration
	// TombstoneTTL is how long entries of dead and left members are retained. Default
	// 3 h, which is longer than a partition between regions lasts.
	TombstoneTTL time.Duration
	// BytesPerSecond limits control bytes, sent and received together. Default 7,000.
	BytesPerSecond float64
	// BurstBytes is the capacity of the token bucket. Default 2 s of BytesPerSecond.
	BurstBytes float64
	// Registry receives the metrics. Default: a new registry.
	Registry metrics.Registry
}

// maxProbeFraction bounds ProbeTimeout as a fraction of Period.
const maxProbeFraction = 0.3

func (c Config) withDefaults() Config {
	setDefault(&c.Period, time.Second)
	setDefault(&c.ProbeTimeout, 300*time.Millisecond)
	setDefault(&c.SuspicionTimeout, 4*time.Second)
	setDefault(&c.SyncInterval, 30*time.Second)
	setDefault(&c.TombstoneTTL, 3*time.Hour)
	setDefault(&c.BytesPerSecond, 7000)
	setDefault(&c.BurstBytes, 2*c.BytesPerSecond)
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	c.ProbeTimeout = min(c.ProbeTimeout, time.Duration(maxProbeFraction*float64(c.Period)))
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicionTimeout returns the timeout in a fleet of n nodes. It grows with log n
// because the number of periods until a refutation arrives does.
func (c *Config) suspicionTimeout(n int) time.Duration {
	return time.Duration(float64(c.SuspicionTimeout) * max(1, math.Log10(float64(max(n, 1)))))
}

// syncDoublingSize is the fleet size at which the interval between list comparisons
// is twice SyncInterval.
const syncDoublingSize = 400

func (c *Config) syncInterval(n int) time.Duration {
	return c.SyncInterval + c.SyncInterval*time.Duration(n)/syncDoublingSize
}

// transmitFactor times log2 of the fleet size is the number of times that a node
// sends an update.
const transmitFactor = 3

func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log2(float64(n+2))))
}

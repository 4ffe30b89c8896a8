package membership

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Config holds the settings of an Agent. Zero fields take their defaults.
type Config struct {
	// Period between two probes. Default 1 s.
	Period time.Duration
	// ProbeTimeout bounds a direct probe. Default 300 ms, at most 0.3 periods, so
	// that the direct and the indirect probe end within the period.
	ProbeTimeout time.Duration
	// SuspicionTimeout after which a suspect is declared dead in a fleet of up to
	// 10 nodes; it grows with the logarithm of the size. Default 4 s.
	SuspicionTimeout time.Duration
	// SyncInterval between two comparisons of the list with a random member, in a
	// small fleet. Default 30 s.
	SyncInterval time.Duration
	// TombstoneTTL is how long dead and left members are remembered. Default 3 h:
	// longer than regions lose contact with each other.
	TombstoneTTL time.Duration
	// BytesPerSecond caps control bytes, sent and received. Default 7,000.
	BytesPerSecond float64
	// BurstBytes may be used at once. Default 2 s worth.
	BurstBytes float64
	// Registry takes the metrics. Default: a registry of its own.
	Registry metrics.Registry
}

// probeShare is the largest part of the period that a direct probe may take.
const probeShare = 0.3

func (c Config) withDefaults() Config {
	def(&c.Period, time.Second)
	def(&c.ProbeTimeout, 300*time.Millisecond)
	def(&c.SuspicionTimeout, 4*time.Second)
	def(&c.SyncInterval, 30*time.Second)
	def(&c.TombstoneTTL, 3*time.Hour)
	def(&c.BytesPerSecond, 7000)
	def(&c.BurstBytes, 2*c.BytesPerSecond)
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	c.ProbeTimeout = min(c.ProbeTimeout, time.Duration(probeShare*float64(c.Period)))
	return c
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// suspicion returns the suspicion timeout in a fleet of n nodes. A refutation
// takes a number of periods that grows with log n.
func (c *Config) suspicion(n int) time.Duration {
	return time.Duration(float64(c.SuspicionTimeout) * max(1, math.Log10(float64(max(n, 1)))))
}

// syncNodes is the fleet size at which the interval between comparisons doubles.
const syncNodes = 400

func (c *Config) syncEvery(n int) time.Duration {
	return c.SyncInterval + c.SyncInterval*time.Duration(n)/syncNodes
}

// transmitFactor times log2 of the fleet size is how often an update is sent.
const transmitFactor = 3

func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log2(float64(n+2))))
}

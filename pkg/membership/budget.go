package membership

import (
	"sync"
	"time"
)

// Estimated bytes of the HTTP and connect headers of one call.
const (
	// RequestOverhead and ResponseOverhead are upper bounds. A test of package peer
	// compares them with the bytes on the wire.
	RequestOverhead  = 320
	ResponseOverhead = 220
)

// class is the priority of a message. Each class leaves a reserve in the bucket, so
// that messages of low priority do not delay probes.
type class int

const (
	classProbe class = iota
	classUrgent
	classFetch
	classSync
)

// reserveFractions are the fractions of the burst that a class leaves to other
// classes. With 0.3 for list comparisons, urgent updates exceeded the budget while
// nodes joined: in 1 of 15 runs a drain had not reached all nodes after 3 s. Probes
// leave a reserve to fetches, which are rare: frequent probes use all that is left, and
// a node without a configuration cannot serve.
var reserveFractions = [...]float64{classProbe: 0.1, classUrgent: 0.2, classFetch: 0, classSync: 0.4}

// budget is a token bucket for control bytes, sent and received. It is safe for
// concurrent use. Received bytes can make the token count negative, which delays
// later sends.
type budget struct {
	rate  float64
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, last: time.Now()}
}

func (b *budget) refill() {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
}

// take charges n bytes and returns true if the class may send them now.
func (b *budget) take(c class, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens-float64(n) < reserveFractions[c]*b.burst {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// charge deducts n bytes that were already sent or received.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(n)
}

// available returns the bytes that the class may send now. It is negative if the
// bucket is below the reserve of the class.
func (b *budget) available(c class) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return int(b.tokens - reserveFractions[c]*b.burst)
}

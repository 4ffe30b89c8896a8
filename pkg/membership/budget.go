package membership

import (
	"sync"
	"time"
)

// Estimated bytes of HTTP and connect headers of one call, beside the message.
const (
	// RequestOverhead and ResponseOverhead are upper bounds; a test of package
	// peer compares them with the bytes on the wire.
	RequestOverhead  = 320
	ResponseOverhead = 220
)

// class is the priority of a message. A class may use the bucket only down to
// its reserve, so that lower ones leave room for probes.
type class int

const (
	classProbe class = iota
	classUrgent
	classFetch
	classSync
)

// reserves are the parts of the burst that each class leaves to higher ones. With
// 0.3 for comparisons, urgent updates found no room while nodes joined: a drain was
// not known everywhere after 3 s in 1 of 15 runs.
var reserves = [...]float64{classProbe: 0, classUrgent: 0.2, classFetch: 0.1, classSync: 0.4}

// budget is a token bucket over control bytes, sent and received. It is safe for
// concurrent use. Received bytes can put it into debt, which delays what is sent.
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

// take charges n bytes if the class may send them now.
func (b *budget) take(c class, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens-float64(n) < reserves[c]*b.burst {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// charge accounts for bytes that were already sent or received.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens -= float64(n)
}

// room returns the bytes left for the class; negative if there are none.
func (b *budget) room(c class) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return int(b.tokens - reserves[c]*b.burst)
}

package mesh

import (
	"math/bits"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// referenceConfigBound is the bound for which the time limits of the configuration's way from the
// store to the nodes are given. They shrink with a shorter bound.
const referenceConfigBound = 2 * time.Second

// Time limits of the configuration's way, at referenceConfigBound.
const (
	// fetchHedgeDelay is how long a node waits for a configuration from one source before it
	// asks another one as well.
	fetchHedgeDelay = 200 * time.Millisecond
	// configStallTimeout is the time without a byte after which a transfer of a configuration
	// is given up, by the receiver and by the sender. The sender may have to compress the
	// configuration first, on a busy VM.
	configStallTimeout = time.Second
	// directReadDelay is how long a node tries to fetch a newer configuration from other nodes
	// before it reads the store itself. It adds a random time up to directReadSpread.
	directReadDelay  = 400 * time.Millisecond
	directReadSpread = 200 * time.Millisecond
	// directReadTimeout is the time limit of such a read.
	directReadTimeout = 500 * time.Millisecond
)

// Delays that do not depend on the bound.
const (
	// storeCallTime is the time that a call to the store may take.
	storeCallTime = 100 * time.Millisecond
	// distributionRoundTime is the time in which the number of nodes with a new configuration
	// doubles.
	distributionRoundTime = 60 * time.Millisecond
)

// fleetSizesToCheck are the numbers of nodes for which the bound is checked at the start.
var fleetSizesToCheck = []int{12, 300}

// configTiming provides the time limits for the bound within which an acknowledged configuration
// is in force at all nodes.
type configTiming struct{ bound time.Duration }

// scale returns a time limit given at referenceConfigBound.
func (t configTiming) scale(d time.Duration) time.Duration {
	if t.bound <= 0 || t.bound >= referenceConfigBound {
		return d
	}
	return time.Duration(float64(d) * float64(t.bound) / float64(referenceConfigBound))
}

// worstDelay returns the longest time until a fleet of the given size applies a change if the
// nodes that know it, or all nodes that read the store, are lost or cut off.
func (t configTiming) worstDelay(members int) time.Duration {
	distribution := time.Duration(bits.Len(uint(members))) * distributionRoundTime
	// Each node reads the store itself. Its first read may be lost.
	sourcesLost := 2*(directReadDelay+directReadSpread) + directReadTimeout
	readersLost := maxReportSilence + readerHeadStart + takeoverSpread
	readersCutOff := maxReadAge + readerHeadStart + takeoverSpread
	return max(t.scale(sourcesLost)+2*storeCallTime, t.scale(max(readersLost, readersCutOff))+storeCallTime+distribution)
}

// check logs fleet sizes for which the bound can't be kept.
func (t configTiming) check(events *event.Logger) {
	for _, members := range fleetSizesToCheck {
		if worst := t.worstDelay(members); t.bound > 0 && worst > t.bound {
			events.Emit(event.ConfigBoundTooShort, event.Fields{"bound_ms": t.bound.Milliseconds(), "worst_ms": worst.Milliseconds(), "members": members})
		}
	}
}

package admission

import (
	"math"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// shareTimeConstant is the decay time constant of the measured shares. It spans
// many service times, so that a reserve is met on average. It is short enough that
// a rank that was idle cannot claim more than about a second of unused reserve.
const shareTimeConstant = time.Second

// ewmaWeight is the weight of the newest service time in the moving averages.
const ewmaWeight = 0.1

// rankState is a rank with its queue and measurements.
type rankState struct {
	intent.Rank
	queue   rankQueue
	running int
	// grantedSum is the sum of the times at which the running requests got their
	// slots, each relative to the start of the controller.
	grantedSum time.Duration
	// usedSlotTime is the decayed slot time, in slots x seconds.
	usedSlotTime float64
	// meanLogService is the EWMA of the logarithm of the service time in seconds.
	meanLogService float64
	// measured is set after the first service time.
	measured bool
	demand   rate
}

func newRankState(r intent.Rank) *rankState {
	return &rankState{Rank: r, queue: newRankQueue()}
}

// reserve returns the reserve as a fraction of capacity.
func (r *rankState) reserve() float64 { return r.ReservePercent / 100 }

// typicalService returns the geometric mean of the service times. A few slow
// requests hardly change it, so they do not make short deadlines look infeasible.
func (r *rankState) typicalService() time.Duration {
	if !r.measured {
		return 0
	}
	return time.Duration(math.Exp(r.meanLogService) * float64(time.Second))
}

// queueWaitFraction is the fraction of a rank's latency target that a request may
// spend in the queue. The rest is for the service time, whose longest values are
// several times its mean.
const queueWaitFraction = 0.25

// waitLimit returns the longest useful wait: with a longer queue, most responses of
// the rank miss its target. Zero means no limit.
func (r *rankState) waitLimit() time.Duration {
	return time.Duration(queueWaitFraction * float64(r.Target()))
}

func (r *rankState) observe(service time.Duration) {
	logService := math.Log(max(service, time.Microsecond).Seconds())
	if !r.measured {
		r.meanLogService, r.measured = logService, true
		return
	}
	r.meanLogService += ewmaWeight * (logService - r.meanLogService)
}

// usage measures the slot time used by the ranks against the slot time available.
type usage struct {
	updatedAt time.Time
	// capacity is the decayed available slot time, in slots x seconds.
	capacity float64
}

// advance updates the measurement to now, with the number of usable slots since
// the last call.
func (u *usage) advance(now time.Time, slots int, ranks []*rankState) {
	elapsed := now.Sub(u.updatedAt)
	if elapsed <= 0 {
		return
	}
	u.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / shareTimeConstant.Seconds())
	gain := shareTimeConstant.Seconds() * (1 - decay)
	u.capacity = u.capacity*decay + float64(slots)*gain
	for _, r := range ranks {
		r.usedSlotTime = r.usedSlotTime*decay + float64(r.running)*gain
	}
}

// share returns the rank's recent share of the available slot time.
func (u *usage) share(r *rankState) float64 {
	if u.capacity <= 0 {
		return 0
	}
	return r.usedSlotTime / u.capacity
}

// committed returns the rank's share including the expected remaining time of its
// running requests. sinceStart is the time since the start of the controller.
func (u *usage) committed(r *rankState, meanService, sinceStart time.Duration) float64 {
	if u.capacity <= 0 {
		return 0
	}
	elapsed := time.Duration(r.running)*sinceStart - r.grantedSum
	remaining := max(0, time.Duration(r.running)*meanService-elapsed)
	return (r.usedSlotTime + remaining.Seconds()) / u.capacity
}

// belowReserve reports whether the rank recently used less than its reserve.
func (u *usage) belowReserve(r *rankState) bool {
	return r.ReservePercent > 0 && u.share(r) < r.reserve()
}

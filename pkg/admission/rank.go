package admission

import (
	"math"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// shareTimeConstant is the memory of the measured shares. It spans many service
// times, so a reserve is met on average, and is short enough that a rank that
// returns from idleness cannot claim more than about a second of arrears.
const shareTimeConstant = time.Second

// ewmaWeight is the weight of the newest service time.
const ewmaWeight = 0.1

// rankState is the state of one rank.
type rankState struct {
	intent.Rank
	queue   rankQueue
	running int
	// granted is the sum of the times at which the running requests got their slots.
	granted time.Duration
	// used is the decayed slot time, in slots x seconds.
	used float64
	// logService is the EWMA of the logarithm of the service time in seconds.
	logService float64
	measured   bool
	demand     rate
}

func newRankState(r intent.Rank) *rankState {
	return &rankState{Rank: r, queue: newRankQueue()}
}

// reserve returns the reserve as a fraction of capacity.
func (r *rankState) reserve() float64 { return r.ReservePercent / 100 }

// typicalService is the geometric mean of the service times. A few slow
// requests barely move it, so they do not make short deadlines look infeasible.
func (r *rankState) typicalService() time.Duration {
	if !r.measured {
		return 0
	}
	return time.Duration(math.Exp(r.logService) * float64(time.Second))
}

// waitPart of the target may be spent in the queue. The rest is for the service
// time, whose longest values are several times its mean.
const waitPart = 0.25

// waitLimit is the longest useful wait: a longer queue makes most answers of the
// rank miss its target. Zero means no limit.
func (r *rankState) waitLimit() time.Duration {
	return time.Duration(waitPart * float64(r.Target()))
}

func (r *rankState) observe(service time.Duration) {
	value := math.Log(max(service, time.Microsecond).Seconds())
	if !r.measured {
		r.logService, r.measured = value, true
		return
	}
	r.logService += ewmaWeight * (value - r.logService)
}

// usage measures decayed slot time of all ranks and of the capacity.
type usage struct {
	last     time.Time
	capacity float64
}

// advance moves the measurement to now with the slots in use since the last call.
func (u *usage) advance(now time.Time, slots int, ranks []*rankState) {
	elapsed := now.Sub(u.last)
	if elapsed <= 0 {
		return
	}
	u.last = now
	keep := math.Exp(-elapsed.Seconds() / shareTimeConstant.Seconds())
	gain := shareTimeConstant.Seconds() * (1 - keep)
	u.capacity = u.capacity*keep + float64(slots)*gain
	for _, r := range ranks {
		r.used = r.used*keep + float64(r.running)*gain
	}
}

// share returns the recent share of the rank in all slot time.
func (u *usage) share(r *rankState) float64 {
	if u.capacity <= 0 {
		return 0
	}
	return r.used / u.capacity
}

// committed returns the share of the rank with the time that its running requests
// are still expected to take, given the mean service time and the time since the start.
func (u *usage) committed(r *rankState, service, now time.Duration) float64 {
	if u.capacity <= 0 {
		return 0
	}
	elapsed := time.Duration(r.running)*now - r.granted
	left := max(0, time.Duration(r.running)*service-elapsed)
	return (r.used + left.Seconds()) / u.capacity
}

// belowReserve reports whether the rank got less than its reserve lately.
func (u *usage) belowReserve(r *rankState) bool {
	return r.ReservePercent > 0 && u.share(r) < r.reserve()
}

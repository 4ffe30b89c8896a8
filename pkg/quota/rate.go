package quota

import (
	"math"
	"time"
)

// rate is the moving average of a rate of requests over a time constant, which is demandTime if it is
// zero.
type rate struct {
	constant time.Duration
	value    float64
	updated  time.Duration
}

// add counts requests.
func (r *rate) add(now time.Duration, n float64) {
	r.value = r.at(now) + n/r.timeConstant()
	r.updated = now
}

// at returns the rate in requests per second.
func (r *rate) at(now time.Duration) float64 {
	return r.value * math.Exp(-max(0, now-r.updated).Seconds()/r.timeConstant())
}

func (r *rate) timeConstant() float64 {
	if r.constant == 0 {
		return demandTime.Seconds()
	}
	return r.constant.Seconds()
}

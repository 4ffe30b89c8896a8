package admission

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the decay time constant of the measured demand.
	demandTimeConstant = 10 * time.Second
	// minDemandAge is the shortest measurement time assumed in perSecond, so that a
	// single early call does not count as a high rate.
	minDemandAge = time.Second
)

// rate is an exponentially decayed count of calls.
type rate struct {
	at    time.Time
	count float64
}

func (r *rate) add(now time.Time) { r.at, r.count = now, r.decayed(now)+1 }

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/demandTimeConstant.Seconds())
}

// perSecond returns the rate at now, for a measurement that began at start. It
// corrects for the calls missing from the decayed count while the measurement is
// younger than a few time constants.
func (r *rate) perSecond(now, start time.Time) float64 {
	age := max(now.Sub(start), minDemandAge).Seconds()
	tau := demandTimeConstant.Seconds()
	return r.decayed(now) / (tau * (1 - math.Exp(-age/tau)))
}

// Demand returns the calls per second that requested a slot, by rank, including
// rejected calls. Calls of ranks that are not in the intent are summed under the
// empty name. Attempts marked with Request.Repeat are not counted.
func (c *Controller) Demand() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	demand := map[string]float64{}
	for name, r := range c.ranks {
		if r.demand.count > 0 {
			demand[name] = r.demand.perSecond(now, c.start)
		}
	}
	return demand
}

// Capacity returns the requests per second that the announced slots can execute at
// the recent service time, or 0 before the first completed request.
func (c *Controller) Capacity() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanService <= 0 {
		return 0
	}
	return float64(c.slots) / c.meanService.Seconds()
}

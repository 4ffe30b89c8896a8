// Package replay plays the decisions of a mesh fleet on a virtual clock: the same
// gate, placement and pace that a node runs, against a model of one service's
// upstreams. It has no sockets, nodes or protocol, so that thousands of seconds of
// load take seconds, and two rules can be compared on the same arrivals.
//
// The model has the time that calls between upstreams take, not their load. It leaves
// out failures, restarts and callers who come back, so its figures rank rules and do not predict those of a fleet.
package replay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is the rate of arrivals for the whole service.
	PerSecond float64
	// Work is the median time that a request takes on a calm VM. Calls is how long it
	// then waits for calls to other services; it holds its slot for both.
	Work, Calls      time.Duration
	Target, Deadline time.Duration
	// Worth of an answer within the target, and Late after it.
	Worth, Late float64
	Rank        int
}

// Burst multiplies the arrivals for a time, of one class if it is named.
type Burst struct {
	At, For time.Duration
	Times   float64
	Class   string
}

// Scenario is a service and its load.
type Scenario struct {
	Name string
	// Upstreams are spread over the Domains; one node is beside each.
	Upstreams, Domains int
	Slots              int
	Classes            []Class
	Bursts             []Burst
	// StallShare of the periods of a VM are stalled; work takes StallPace times as
	// long then.
	StallShare, StallPace float64
	// Slow upstreams work SlowTimes as long all the time.
	Slow      int
	SlowTimes float64
	Length    time.Duration
}

const (
	// stallPeriod, knee and kneeTimes are those of the users' VMs: neighbours change
	// the pace every 300 ms, and work takes 1.7 times as long while more than four
	// fifths of the slots are busy.
	stallPeriod = 300 * time.Millisecond
	knee        = 0.8
	kneeTimes   = 1.7
	// workSpread is the deviation of the logarithm of the work.
	workSpread = 0.3
)

// arrival is a request at a node.
type arrival struct {
	at    time.Duration
	node  int
	class *Class
	// factor is the request's work in multiples of the median.
	factor float64
}

// draw returns the arrivals and the pace of each VM by period. The same seed draws
// the same, whatever the rule.
func (s *Scenario) draw(seed uint64) (arrivals []arrival, paces [][]float64) {
	r := rand.New(rand.NewPCG(seed, 0))
	for range s.Upstreams {
		paces = append(paces, s.drawPaces(r, len(paces) < s.Slow))
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := time.Duration(0); ; {
			rate := c.PerSecond * s.times(at, c.Name)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= s.Length {
				break
			}
			arrivals = append(arrivals, arrival{at, r.IntN(s.Upstreams), c, math.Exp(workSpread * r.NormFloat64())})
		}
	}
	return arrivals, paces
}

func (s *Scenario) drawPaces(r *rand.Rand, slow bool) []float64 {
	// Requests may run on for a while after the last arrival.
	list := make([]float64, 2*s.Length/stallPeriod+100)
	for i := range list {
		list[i] = 1
		if r.Float64() < s.StallShare {
			list[i] = s.StallPace
		}
		if slow {
			list[i] *= s.SlowTimes
		}
	}
	return list
}

// times returns by how much the load of the class is multiplied at the moment.
func (s *Scenario) times(at time.Duration, class string) float64 {
	t := 1.0
	for _, b := range s.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Class == "" || b.Class == class) {
			t *= b.Times
		}
	}
	return t
}

// Scenarios are the loads of the days that hurt, in the shape of the users' sites.
func Scenarios() []Scenario {
	counter := []Class{
		{Name: "lookup", PerSecond: 45, Work: 220 * time.Millisecond, Target: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 0.91, Late: 0.091, Rank: 1},
		{Name: "booking", PerSecond: 10, Work: 290 * time.Millisecond, Target: 1500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 0.91, Late: 0.14, Rank: 2},
	}
	catalogue := []Class{
		{Name: "availability", PerSecond: 220, Work: 60 * time.Millisecond, Target: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Worth: 0.89, Late: 0.089, Rank: 1},
		{Name: "reservation", PerSecond: 30, Work: 78 * time.Millisecond, Target: 500 * time.Millisecond, Deadline: time.Second, Worth: 0.89, Late: 0.13, Rank: 2},
	}
	// The catalogue also takes the reservations of another service, as when operators
	// split a route.
	shared := []Class{
		{Name: "availability", PerSecond: 52, Work: 160 * time.Millisecond, Calls: 70 * time.Millisecond, Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 0.89, Late: 0.089, Rank: 1},
		{Name: "reservation", PerSecond: 16, Work: 210 * time.Millisecond, Calls: 40 * time.Millisecond, Target: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: 0.89, Late: 0.13, Rank: 2},
	}
	reservations := []Burst{{At: 8 * time.Second, For: 6 * time.Second, Times: 4, Class: "reservation"}}
	burst := []Burst{{At: 8 * time.Second, For: 5 * time.Second, Times: 1.9}}
	base := Scenario{Upstreams: 4, Domains: 3, Slots: 12, StallShare: 0.35, StallPace: 4, Length: 30 * time.Second}
	with := func(name string, classes []Class, slots int, bursts []Burst, slow int) Scenario {
		s := base
		s.Name, s.Classes, s.Slots, s.Bursts, s.Slow, s.SlowTimes = name, classes, slots, bursts, slow, 5
		return s
	}
	return []Scenario{
		with("counter", counter, 12, nil, 0),
		with("counter, burst", counter, 12, burst, 0),
		with("counter, burst, one slow", counter, 12, burst, 1),
		with("catalogue", catalogue, 9, nil, 0),
		with("catalogue, burst", catalogue, 9, burst, 0),
		with("catalogue, burst, one slow", catalogue, 9, burst, 1),
		with("shared, burst of reservations", shared, 9, reservations, 0),
	}
}

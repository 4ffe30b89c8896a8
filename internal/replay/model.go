// Package replay simulates the decisions of a mesh fleet on a virtual clock. It uses the
// packages gate, placement and slowdown of a node with a model of one service's upstreams.
// It has no sockets, nodes or protocol, so it simulates thousands of seconds of load in
// seconds and compares rules on the same arrivals.
//
// The model includes the time of calls between upstreams, but not their load. It leaves out
// failures, restarts and retries by callers, so its results rank rules and do not predict
// the figures of a fleet.
package replay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is a kind of request with its load and its worth.
type Class struct {
	Name string
	// PerSecond is the arrival rate of the whole service.
	PerSecond float64
	// ServiceTime is the median service time on a VM without slowdown. CallTime is how long
	// a request then waits for calls to other services. It holds its slot for both.
	ServiceTime, CallTime time.Duration
	Target, Deadline      time.Duration
	// Worth is the value of a response within the target, LateWorth that of a later one.
	Worth, LateWorth float64
	Rank             int
	// Bytes is the size of a response.
	Bytes int64
}

// Burst multiplies the arrival rate of a class, or of all classes if Class is empty, for a
// time.
type Burst struct {
	Start, Duration time.Duration
	Factor          float64
	Class           string
}

// Scenario is a service, its VMs and its load.
type Scenario struct {
	Name string
	// Upstreams are spread evenly over the failure domains. One node runs beside each. If the
	// domains have different loads, Upstreams is a multiple of Domains.
	Upstreams, Domains int
	Slots              int
	Classes            []Class
	Bursts             []Burst
	// DomainLoad holds the factor of the load of each failure domain, or is nil if all have the
	// same.
	DomainLoad []float64
	// Swing is the ratio by which the load of each failure domain rises and falls, with the period
	// SwingPeriod. The phases of the domains are spread evenly.
	Swing       float64
	SwingPeriod time.Duration
	// StallRatio is the fraction of the periods in which a VM stalls, StallSlowdown its
	// slowdown in these periods.
	StallRatio, StallSlowdown float64
	// SlowUpstreams is the number of upstreams that SlowFactor slows down throughout.
	SlowUpstreams int
	SlowFactor    float64
	// Outage is nil if there is none.
	Outage   *Outage
	Duration time.Duration
}

const (
	// stallPeriod, kneeRatio and kneeFactor describe the users' VMs. Neighbours change the
	// slowdown every 300 ms. A request takes 1.7 times as long if it starts while more than
	// four fifths of the slots are busy.
	stallPeriod = 300 * time.Millisecond
	kneeRatio   = 0.8
	kneeFactor  = 1.7
	// serviceTimeSigma is the standard deviation of the logarithm of the service time.
	serviceTimeSigma = 0.3
)

// arrival is the arrival of a request at a node.
type arrival struct {
	at    time.Duration
	node  int
	class *Class
	// factor is the request's service time as a multiple of the median.
	factor float64
}

// draw returns random arrivals, and the slowdowns of each VM by period. They depend on the
// seed alone, not on the rule.
func (s *Scenario) draw(seed uint64) (arrivals []arrival, slowdowns [][]float64) {
	r := rand.New(rand.NewPCG(seed, 0))
	for range s.Upstreams {
		slowdowns = append(slowdowns, s.drawSlowdowns(r, len(slowdowns) < s.SlowUpstreams))
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := time.Duration(0); ; {
			rate := c.PerSecond * s.loadFactor(at, c.Name)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= s.Duration {
				break
			}
			arrivals = append(arrivals, arrival{at, s.drawNode(r, at), c, math.Exp(serviceTimeSigma * r.NormFloat64())})
		}
	}
	return arrivals, slowdowns
}

// drawNode returns the node that a request arrives at.
func (s *Scenario) drawNode(r *rand.Rand, at time.Duration) int {
	if s.DomainLoad == nil && s.Swing == 0 {
		return r.IntN(s.Upstreams)
	}
	total := 0.0
	loads := make([]float64, s.Domains)
	for d := range loads {
		loads[d] = s.domainLoad(d, at)
		total += loads[d]
	}
	left, domain := r.Float64()*total, 0
	for domain < s.Domains-1 && left >= loads[domain] {
		left -= loads[domain]
		domain++
	}
	return domain + s.Domains*r.IntN(s.Upstreams/s.Domains)
}

// domainLoad returns the factor of the load of the failure domain at the given time.
func (s *Scenario) domainLoad(domain int, at time.Duration) float64 {
	load := 1.0
	if s.DomainLoad != nil {
		load = s.DomainLoad[domain]
	}
	if s.Swing > 0 {
		phase := float64(at)/float64(s.SwingPeriod) + float64(domain)/float64(s.Domains)
		load *= 1 + s.Swing*math.Sin(2*math.Pi*phase)
	}
	return load
}

// drawSlowdowns returns the slowdown of one VM by period.
func (s *Scenario) drawSlowdowns(r *rand.Rand, slow bool) []float64 {
	// Requests may run after the last arrival, so there are more periods than in Duration.
	slowdowns := make([]float64, 2*s.Duration/stallPeriod+100)
	for i := range slowdowns {
		slowdowns[i] = 1
		if r.Float64() < s.StallRatio {
			slowdowns[i] = s.StallSlowdown
		}
		if slow {
			slowdowns[i] *= s.SlowFactor
		}
	}
	return slowdowns
}

// loadFactor returns the factor of the class's arrival rate at the given time.
func (s *Scenario) loadFactor(at time.Duration, class string) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if at >= b.Start && at < b.Start+b.Duration && (b.Class == "" || b.Class == class) {
			factor *= b.Factor
		}
	}
	return factor
}

// Scenarios returns the load patterns of the users' sites on days with overload.
func Scenarios() []Scenario {
	counter := []Class{
		{Name: "lookup", PerSecond: 45, ServiceTime: 220 * time.Millisecond, Target: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 0.91, LateWorth: 0.091, Rank: 1},
		{Name: "booking", PerSecond: 10, ServiceTime: 290 * time.Millisecond, Target: 1500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 0.91, LateWorth: 0.14, Rank: 2},
	}
	catalogue := []Class{
		{Name: "availability", PerSecond: 220, ServiceTime: 60 * time.Millisecond, Target: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Worth: 0.89, LateWorth: 0.089, Rank: 1},
		{Name: "reservation", PerSecond: 30, ServiceTime: 78 * time.Millisecond, Target: 500 * time.Millisecond, Deadline: time.Second, Worth: 0.89, LateWorth: 0.13, Rank: 2},
	}
	// shared is a catalogue that also receives reservations of another service, as after
	// operators split a route.
	shared := []Class{
		{Name: "availability", PerSecond: 52, ServiceTime: 160 * time.Millisecond, CallTime: 70 * time.Millisecond, Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Worth: 0.89, LateWorth: 0.089, Rank: 1},
		{Name: "reservation", PerSecond: 16, ServiceTime: 210 * time.Millisecond, CallTime: 40 * time.Millisecond, Target: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: 0.89, LateWorth: 0.13, Rank: 2},
	}
	reservations := []Burst{{Start: 8 * time.Second, Duration: 6 * time.Second, Factor: 4, Class: "reservation"}}
	burst := []Burst{{Start: 8 * time.Second, Duration: 5 * time.Second, Factor: 1.9}}
	base := Scenario{Upstreams: 4, Domains: 3, Slots: 12, StallRatio: 0.35, StallSlowdown: 4, Duration: 30 * time.Second}
	with := func(name string, classes []Class, slots int, bursts []Burst, slow int) Scenario {
		s := base
		s.Name, s.Classes, s.Slots, s.Bursts, s.SlowUpstreams, s.SlowFactor = name, classes, slots, bursts, slow, 5
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

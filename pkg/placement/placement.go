// Package placement chooses the upstream for a request.
//
// Load pattern: each VM is stalled by its neighbours for some hundred
// milliseconds at a time, some upstreams are slow or fail part of their requests
// for seconds, and many nodes choose at once from reports that are already old.
// The choice compares the expected time to the answer: the wait that the upstream
// reported, the requests sent there since, the work at the pace expected by now,
// the way there, and a surcharge for failures. Choosing at random among nearly
// equal upstreams keeps the nodes from choosing the same one.
//
// The package has no clock, socket or log.
package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// failureCost is the time that a failed request is taken to cost.
	failureCost = 400 * time.Millisecond
	// nearlyEqual upstreams differ by at most this much.
	nearlyEqual = 2 * time.Millisecond
	// oldReport is the age from which a report says little about single requests.
	oldReport = 400 * time.Millisecond
	// staleTolerance is the part of the work that counts as equal for old reports.
	staleTolerance = 0.15
	// maxNeighbours bounds the surcharge for upstreams in other failure domains.
	maxNeighbours = 5
	// silenceCost is added for each silence beyond the expected status period.
	silenceCost = 100 * time.Millisecond
)

// Candidate is an upstream that could take the request.
type Candidate struct {
	Address string
	// Local upstreams are beside the node itself.
	Local bool
	// SameDomain upstreams are in the node's own failure domain.
	SameDomain bool
	// Pace is the expected pace now.
	Pace float64
	// Work is the expected time that the request's work takes there, with the time
	// that it is held back while the VM is stalled.
	Work time.Duration
	// Wait is the predicted wait as last reported.
	Wait time.Duration
	// Free is the number of free slots as last reported, less the requests sent
	// there since; negative if more were sent than there was room for.
	Free int
	// Limit is the number of requests that run at a time.
	Limit int
	// Service is the mean service time at the usual pace.
	Service time.Duration
	// Failures is the part of recent requests that failed, 0 to 1.
	Failures float64
	// Age is the time since the last report.
	Age time.Duration
	// Silent is true if the node has not been heard for longer than expected.
	Silent bool
}

// Costs are the times that a way to an upstream is taken to cost.
type Costs struct {
	// Peer is added for an upstream beside another node.
	Peer time.Duration
	// CrossDomain is added for an upstream in another failure domain. It covers
	// the delay and the price of the bytes.
	CrossDomain time.Duration
	// PerNeighbour is added to it for each upstream in the node's own failure domain,
	// up to maxNeighbours: the more there are, the more likely it is that the best of
	// many old reports from far away only looks better.
	PerNeighbour time.Duration
}

// DefaultCosts fit failure domains that are half a millisecond apart.
func DefaultCosts() Costs {
	return Costs{Peer: time.Millisecond, CrossDomain: 15 * time.Millisecond, PerNeighbour: 10 * time.Millisecond}
}

// Cost returns the expected time to the answer.
func (c Costs) Cost(u Candidate) time.Duration {
	cost := u.Work + u.Wait
	if u.Free <= 0 && u.Limit > 0 {
		perRequest := float64(max(u.Service, time.Millisecond)) * u.Pace / float64(u.Limit)
		cost += time.Duration(float64(1-u.Free) * perRequest)
	}
	if !u.Local {
		cost += c.Peer
		if !u.SameDomain {
			cost += c.CrossDomain
		}
	}
	cost += time.Duration(u.Failures * float64(failureCost))
	if u.Silent {
		cost += silenceCost
	}
	return cost
}

// Pick returns the index of the chosen candidate and its cost, or -1 if there is
// none. The chance of a candidate falls with its cost; the older the reports, the
// less a difference counts, since other nodes follow the same reports.
func (c Costs) Pick(candidates []Candidate, work time.Duration) (int, time.Duration) {
	if len(candidates) == 0 {
		return -1, 0
	}
	c.CrossDomain += time.Duration(neighbours(candidates)) * c.PerNeighbour
	costs := make([]time.Duration, len(candidates))
	best := 0
	for i, u := range candidates {
		costs[i] = c.Cost(u)
		if costs[i] < costs[best] {
			best = i
		}
	}
	total := 0.0
	weights := make([]float64, len(candidates))
	for i, u := range candidates {
		weights[i] = math.Exp(-float64(costs[i]-costs[best]) / float64(tolerance(u, work)))
		total += weights[i]
	}
	at := rand.Float64() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i, costs[i]
		}
	}
	return best, costs[best]
}

// neighbours counts the upstreams in the node's own failure domain.
func neighbours(candidates []Candidate) int {
	n := 0
	for _, u := range candidates {
		if u.SameDomain {
			n++
		}
	}
	return min(n, maxNeighbours)
}

// tolerance is the difference in cost that halves a candidate's chance or more.
func tolerance(u Candidate, work time.Duration) time.Duration {
	age := min(1, float64(u.Age)/float64(oldReport))
	return nearlyEqual + time.Duration(age*staleTolerance*float64(work))
}

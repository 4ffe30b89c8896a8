// Package placement chooses the upstream for a request.
//
// Load pattern: noisy neighbours stall each VM for some hundred milliseconds at a
// time, some upstreams are slow or fail part of their requests for seconds, and many
// nodes choose at once from reports that are already old. The choice compares the
// expected time to the response: the wait that the upstream reported, the requests
// sent there since, the execution time at the slowdown expected now, the network
// delay, and a surcharge for failures. Choosing at random among nearly equal upstreams
// prevents all nodes from choosing the same one.
//
// The package uses no clock, socket or log.
package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// failureCost is the assumed cost of a failed request.
	failureCost = 400 * time.Millisecond
	// freshTolerance is the difference in cost up to which upstreams count as nearly
	// equal on fresh reports.
	freshTolerance = 2 * time.Millisecond
	// oldReportAge is the age from which a report says little about single requests.
	oldReportAge = 400 * time.Millisecond
	// staleToleranceRatio is the fraction of the service time that is added to
	// freshTolerance for old reports.
	staleToleranceRatio = 0.15
	// maxSameDomain limits the number of upstreams for which Costs.PerSameDomain is added.
	maxSameDomain = 5
	// overdueCost is added if the status of a node is overdue.
	overdueCost = 100 * time.Millisecond
)

// Candidate is an upstream that could run the request.
type Candidate struct {
	Address string
	// OwnUpstream is true for the upstream beside the node itself.
	OwnUpstream bool
	// SameDomain is true for an upstream in the node's own failure domain.
	SameDomain bool
	// Slowdown is the slowdown of the VM expected now.
	Slowdown float64
	// ExecutionTime is the expected time from slot to response, including the time that
	// the request is deferred while the VM is stalled.
	ExecutionTime time.Duration
	// Wait is the predicted wait as last reported.
	Wait time.Duration
	// Free is the number of free slots as last reported, less the requests sent there
	// since. It is negative if more were sent than there were free slots.
	Free int
	// Limit is the maximum number of concurrent requests.
	Limit int
	// ServiceTime is the mean service time at slowdown 1.
	ServiceTime time.Duration
	// FailureRatio is the ratio of recent requests that failed, 0 to 1.
	FailureRatio float64
	// ReportAge is the time since the last report.
	ReportAge time.Duration
	// StatusOverdue is true if the last status is older than the expected interval allows.
	StatusOverdue bool
	// TransferTime is how long the body of the request takes to the upstream.
	TransferTime time.Duration
}

const (
	// shortBodyBytes is the length up to which the transfer of a body doesn't count. It takes less than
	// the surcharge for another failure domain.
	shortBodyBytes = 16 << 10
	// linkBitsPerSecond is the bandwidth of the slowest links of the users' VMs. That of a
	// certain link isn't known.
	linkBitsPerSecond = 10_000_000
)

// TransferTime returns how long a body of the given length takes over the link between two nodes.
func TransferTime(bodyBytes int64) time.Duration {
	if bodyBytes <= shortBodyBytes {
		return 0
	}
	return time.Duration(float64(bodyBytes) * 8 / linkBitsPerSecond * float64(time.Second))
}

// Costs are the assumed costs, as times, of reaching an upstream.
type Costs struct {
	// Peer is added for an upstream beside another node.
	Peer time.Duration
	// CrossDomain is added for an upstream in another failure domain. It covers
	// the delay and the price of the bytes.
	CrossDomain time.Duration
	// PerSameDomain is added to CrossDomain for each upstream in the node's own failure
	// domain, up to maxSameDomain. The more of these there are, the more likely it is that
	// a remote upstream looks better than all of them only because its report is old.
	PerSameDomain time.Duration
}

// DefaultCosts returns costs for failure domains that are half a millisecond apart.
func DefaultCosts() Costs {
	return Costs{Peer: time.Millisecond, CrossDomain: 15 * time.Millisecond, PerSameDomain: 10 * time.Millisecond}
}

// Cost returns the expected time to the response, including the surcharges for failures
// and an overdue status.
func (c Costs) Cost(u Candidate) time.Duration {
	cost := u.ExecutionTime + u.Wait + u.TransferTime
	if u.Free <= 0 && u.Limit > 0 {
		perRequest := float64(max(u.ServiceTime, time.Millisecond)) * u.Slowdown / float64(u.Limit)
		cost += time.Duration(float64(1-u.Free) * perRequest)
	}
	if !u.OwnUpstream {
		cost += c.Peer
		if !u.SameDomain {
			cost += c.CrossDomain
		}
	}
	cost += time.Duration(u.FailureRatio * float64(failureCost))
	if u.StatusOverdue {
		cost += overdueCost
	}
	return cost
}

// Pick returns the index of the chosen candidate and its cost, or -1 if there are no
// candidates. The probability of a candidate falls with its cost. The older the reports,
// the less a difference counts, since other nodes choose from the same reports.
func (c Costs) Pick(candidates []Candidate, serviceTime time.Duration) (int, time.Duration) {
	if len(candidates) == 0 {
		return -1, 0
	}
	c.CrossDomain += time.Duration(sameDomainCount(candidates)) * c.PerSameDomain
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
		weights[i] = math.Exp(-float64(costs[i]-costs[best]) / float64(tolerance(u, serviceTime)))
		total += weights[i]
	}
	remaining := rand.Float64() * total
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i, costs[i]
		}
	}
	return best, costs[best]
}

// sameDomainCount counts the upstreams in the node's own failure domain, up to
// maxSameDomain.
func sameDomainCount(candidates []Candidate) int {
	n := 0
	for _, u := range candidates {
		if u.SameDomain {
			n++
		}
	}
	return min(n, maxSameDomain)
}

// tolerance returns the difference in cost that divides a candidate's weight by e.
func tolerance(u Candidate, serviceTime time.Duration) time.Duration {
	age := min(1, float64(u.ReportAge)/float64(oldReportAge))
	return freshTolerance + time.Duration(age*staleToleranceRatio*float64(serviceTime))
}

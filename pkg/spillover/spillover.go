// Package spillover decides whether a request leaves the failure domain of the node that received it,
// and which share of such requests does.
//
// Load pattern: demand and upstreams are uneven between failure domains, and the peaks of the
// domains don't coincide. Traffic between domains is slower and costs money by the byte, but at its
// peak a domain has too few upstreams of its own. Many nodes decide at once from reports that are
// milliseconds old: if all of them left as soon as the domain looks full, they would move the queue
// to the other domains, and back again with the next reports.
//
// Leaving pays if it saves more answers from missing their target than the bytes are worth: a small
// answer leaves for a small advantage, a large one only if many of its kind would be late at home.
// The share that leaves grows with the advantage, and the older the reports are, the larger the
// advantage has to be.
//
// The package uses no clock, socket or log.
package spillover

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/placement"
)

const (
	// minTargetRatio of the service time is the least target that is assumed. Late requests should
	// still end soon.
	minTargetRatio = 2
	// freshAdvantage is the advantage at which half of the requests leave if the reports are fresh.
	freshAdvantage = 0.01
	// staleAdvantage is added for reports of oldReportAge and older.
	staleAdvantage = 0.05
	oldReportAge   = 100 * time.Millisecond
	// bytesPerKilobyte converts sizes.
	bytesPerKilobyte = 1000
)

// Costs are the costs of leaving the failure domain.
type Costs struct {
	// RoundTrip is the delay to another failure domain and back.
	RoundTrip time.Duration
	// PerKilobyte is how many late answers more are accepted at home, as a share of all answers, for
	// each kilobyte of a request and its response that doesn't leave.
	PerKilobyte float64
}

// DefaultCosts returns costs for failure domains that are up to 3.5 ms apart. A lookup of 400 bytes
// leaves to save one answer in 500 from being late, a download of 90 KB to save nearly half of them.
func DefaultCosts() Costs { return Costs{RoundTrip: 7 * time.Millisecond, PerKilobyte: 0.005} }

// Request is what is known of a request.
type Request struct {
	// TargetLeft is the time until which an answer has its full worth. It may be negative.
	TargetLeft time.Duration
	// ServiceTime is the mean service time of its class at slowdown 1.
	ServiceTime time.Duration
	// Bytes is the expected size of its body and its response.
	Bytes int64
}

// lateRatio returns the expected ratio of such requests that miss their target if the expected time to
// the response is d. Service times have a long tail, because noisy neighbours stall VMs: the ratio
// falls to 1/e with each service time left.
func (r Request) lateRatio(d time.Duration) float64 {
	service := float64(max(r.ServiceTime, time.Millisecond))
	target := max(float64(r.TargetLeft), minTargetRatio*service)
	return math.Exp(min(0, (float64(d)-target)/service))
}

// Decision is the result for one request.
type Decision struct {
	// Leave is set if the request may go to an upstream of another domain.
	Leave bool
	// Share is the share of such requests that may leave.
	Share float64
	// Home and Away are the expected times to the response. They are zero if there is no upstream.
	Home, Away time.Duration
}

// Decide returns the decision for a request with these candidates. draw is a random number in the
// range 0 to 1, exclusive.
func (c Costs) Decide(candidates []placement.Candidate, costs placement.Costs, r Request, draw float64) Decision {
	home, age, hasHome := fastest(candidates, costs, true)
	away, _, hasAway := fastest(candidates, costs, false)
	d := Decision{Home: home, Away: away}
	switch {
	case !hasHome:
		d.Share = 1
	case hasAway:
		d.Share = c.share(r, home, away+c.RoundTrip, age)
	}
	d.Leave = hasAway && draw < d.Share
	return d
}

// DecideAtRandom calls Decide with a random number.
func (c Costs) DecideAtRandom(candidates []placement.Candidate, costs placement.Costs, r Request) Decision {
	return c.Decide(candidates, costs, r, rand.Float64())
}

// share returns the share of requests that may leave, given the expected times to the response and
// the age of the report on the domain's own upstream.
func (c Costs) share(r Request, home, away, age time.Duration) float64 {
	price := c.PerKilobyte * float64(r.Bytes) / bytesPerKilobyte
	advantage := r.lateRatio(home) - r.lateRatio(away) - price
	if advantage <= 0 {
		return 0
	}
	half := freshAdvantage + staleAdvantage*float64(min(age, oldReportAge))/float64(oldReportAge)
	return advantage / (advantage + half)
}

// fastest returns the shortest expected time to the response among the upstreams inside or outside
// the own failure domain, and the age of its report. A wait at an upstream of another domain counts
// twice: the request also delays a caller of that domain.
func fastest(candidates []placement.Candidate, costs placement.Costs, sameDomain bool) (best, age time.Duration, ok bool) {
	costs.CrossDomain = 0
	for _, u := range candidates {
		if u.SameDomain != sameDomain {
			continue
		}
		cost := costs.Cost(u)
		if !sameDomain {
			cost += u.Wait
		}
		if !ok || cost < best {
			best, age, ok = cost, u.ReportAge, true
		}
	}
	return best, age, ok
}

// Keep returns the indexes of the candidates that the decision allows: all, or those of the own
// domain.
func (d Decision) Keep(candidates []placement.Candidate) []int {
	var kept []int
	for i, u := range candidates {
		if d.Leave || u.SameDomain {
			kept = append(kept, i)
		}
	}
	return kept
}

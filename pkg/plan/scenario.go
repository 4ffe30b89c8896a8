package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// compareAtDemand computes how much of each rank is served under both intents when
// demand is multiplied by factor.
func compareAtDemand(current, proposed *intent.Intent, fleet Fleet, factor float64) Scenario {
	currentRates := servedRates(current, fleet, factor)
	proposedRates := servedRates(proposed, fleet, factor)
	demand := totalDemand(fleet, factor)
	s := Scenario{DemandFactor: factor, Gains: []RankChange{}, Losses: []RankChange{}, Unchanged: []RankChange{}}
	s.WorthNow = totalWorth(current, proposed, currentRates)
	s.WorthProposed = totalWorth(current, proposed, proposedRates)
	for _, rank := range slices.Sorted(maps.Keys(demand)) {
		s.add(RankChange{
			Rank: rank, Demand: round(demand[rank]), Now: round(currentRates[rank]), Proposed: round(proposedRates[rank]),
			NowPercent: percent(currentRates[rank], demand[rank]), ProposedPercent: percent(proposedRates[rank], demand[rank]),
		})
	}
	slices.SortStableFunc(s.Gains, func(a, b RankChange) int { return cmp.Compare(b.gain(), a.gain()) })
	slices.SortStableFunc(s.Losses, func(a, b RankChange) int { return cmp.Compare(a.gain(), b.gain()) })
	return s
}

func (s *Scenario) add(c RankChange) {
	switch {
	case c.gain() > 0:
		s.Gains = append(s.Gains, c)
	case c.gain() < 0:
		s.Losses = append(s.Losses, c)
	default:
		s.Unchanged = append(s.Unchanged, c)
	}
}

func (c RankChange) gain() float64 { return c.Proposed - c.Now }

// servedRates returns the requests per second served of each rank under the intent.
// A service that the intent does not list serves nothing.
func servedRates(in *intent.Intent, fleet Fleet, factor float64) map[string]float64 {
	total := map[string]float64{}
	for _, s := range fleet.Services {
		if _, ok := in.Service(s.Name); !ok {
			continue
		}
		demand := make([]float64, len(in.Ranks))
		for i, r := range in.Ranks {
			demand[i] = s.Demand[r.Name] * factor
		}
		for i, share := range admission.Shares(s.CapacityPerSecond, in.Ranks, demand) {
			total[in.Ranks[i].Name] += share
		}
	}
	return total
}

func totalDemand(fleet Fleet, factor float64) map[string]float64 {
	total := map[string]float64{}
	for _, s := range fleet.Services {
		for rank, d := range s.Demand {
			total[rank] += d * factor
		}
	}
	return total
}

// totalWorth returns the worth of the served requests per second. A rank that the
// proposal removes counts with its current worth.
func totalWorth(current, proposed *intent.Intent, rates map[string]float64) float64 {
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(rates)) {
		r, ok := proposed.Rank(rank)
		if !ok {
			r, _ = current.Rank(rank)
		}
		sum += rates[rank] * r.Worth
	}
	return round(sum)
}

// percent returns 100 if whole is 0: a rank without demand is fully served.
func percent(part, whole float64) float64 {
	if whole == 0 {
		return 100
	}
	return round(100 * part / whole)
}

// round rounds to one decimal. Sums of floats may differ between nodes in lower
// digits, which would make plans differ.
func round(f float64) float64 { return math.Round(f*10) / 10 }

package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// scenario computes what each rank keeps under both intents.
func scenario(current, proposed *intent.Intent, fleet Fleet, factor float64) Scenario {
	now := served(current, fleet, factor)
	then := served(proposed, fleet, factor)
	demand := totalDemand(fleet, factor)
	s := Scenario{DemandFactor: factor, Gains: []RankChange{}, Losses: []RankChange{}, Unchanged: []RankChange{}}
	s.WorthNow = worth(current, proposed, now)
	s.WorthProposed = worth(current, proposed, then)
	for _, rank := range slices.Sorted(maps.Keys(demand)) {
		s.add(RankChange{
			Rank: rank, Demand: round(demand[rank]), Now: round(now[rank]), Proposed: round(then[rank]),
			NowPercent: percent(now[rank], demand[rank]), ProposedPercent: percent(then[rank], demand[rank]),
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

// served returns the requests per second that each rank gets under the intent.
// A service that the intent does not have serves nothing.
func served(in *intent.Intent, fleet Fleet, factor float64) map[string]float64 {
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

// worth sums what is served. A rank that the proposal removes counts with its
// current worth.
func worth(current, proposed *intent.Intent, served map[string]float64) float64 {
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(served)) {
		r, ok := proposed.Rank(rank)
		if !ok {
			r, _ = current.Rank(rank)
		}
		sum += served[rank] * r.Worth
	}
	return round(sum)
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 100
	}
	return round(100 * part / whole)
}

// round keeps one decimal, below which sums of floats may differ between nodes.
func round(f float64) float64 { return math.Round(f*10) / 10 }

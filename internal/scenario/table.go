package scenario

import "github.com/mulberrytray/mulberrytray/internal/standin/upstream"

// Loads as fractions of capacity, in the order of a deployment's ranks, the most
// urgent first.
var (
	steadyLoad50     = []float64{0.25, 0.1, 0.1, 0.05}
	steadyLoad80     = []float64{0.4, 0.16, 0.16, 0.08}
	floodLowestRank  = []float64{0.25, 0.1, 0.1, 10}
	floodHighestRank = []float64{10, 0.1, 0.1, 0.05}
	floodBothRanks   = []float64{5, 0.1, 0.1, 5}
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm-50", Load: steadyLoad50},
		{Name: "calm-80", Load: steadyLoad80},
		{Name: "stalls", Load: steadyLoad50, InitialFaults: &upstream.Faults{StallProbability: 0.02}},
		{Name: "slow-server", Load: steadyLoad50, FirstUpstreamFaults: &upstream.Faults{SlowFactor: 10}},
		{Name: "failing-fast", Load: steadyLoad50, FirstUpstreamFaults: &upstream.Faults{FailProbability: 1}},
		{Name: "lying-load", Load: steadyLoad50, FirstUpstreamFaults: &upstream.Faults{SlowFactor: 10, LoadFactor: 0.01}},
		{Name: "killed", Load: steadyLoad50, KillFirstUpstream: true},
		{Name: "log-outage", Load: steadyLoad50, LogDown: true, SystemOnly: true},
		{Name: "flood-least", Load: floodLowestRank, SystemOnly: true},
		{Name: "flood-most", Load: floodHighestRank, SystemOnly: true},
		{Name: "flood-both-killed", Load: floodBothRanks, KillFirstUpstream: true, SystemOnly: true},
	}
}

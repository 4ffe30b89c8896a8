package scenario

import "github.com/mulberrytray/mulberrytray/internal/standin/upstream"

// Shares of capacity, in the order of a deployment's ranks: most urgent first,
// least urgent last.
var (
	calmHalf   = []float64{0.25, 0.1, 0.1, 0.05}
	calmHigh   = []float64{0.4, 0.16, 0.16, 0.08}
	floodLeast = []float64{0.25, 0.1, 0.1, 10}
	floodMost  = []float64{10, 0.1, 0.1, 0.05}
	floodBoth  = []float64{5, 0.1, 0.1, 5}
)

// Scenarios is the table of all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm-50", Load: calmHalf},
		{Name: "calm-80", Load: calmHigh},
		{Name: "stalls", Load: calmHalf, Before: &upstream.Faults{StallProbability: 0.02}},
		{Name: "slow-server", Load: calmHalf, One: &upstream.Faults{SlowFactor: 10}},
		{Name: "failing-fast", Load: calmHalf, One: &upstream.Faults{FailProbability: 1}},
		{Name: "lying-load", Load: calmHalf, One: &upstream.Faults{SlowFactor: 10, LoadFactor: 0.01}},
		{Name: "killed", Load: calmHalf, KillOne: true},
		{Name: "log-outage", Load: calmHalf, LogDown: true, SystemOnly: true},
		{Name: "flood-least", Load: floodLeast, SystemOnly: true},
		{Name: "flood-most", Load: floodMost, SystemOnly: true},
		{Name: "flood-both-killed", Load: floodBoth, KillOne: true, SystemOnly: true},
	}
}

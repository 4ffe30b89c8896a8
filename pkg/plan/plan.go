// Package plan works out what an intent would change: who gains and who loses,
// in numbers derived from the fleet's present state.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Fleet is the present state of the fleet.
type Fleet struct {
	// Services may lack services that no upstream reported.
	Services []ServiceState
	// NotIncluded names the upstreams whose state is unknown, with the reason.
	NotIncluded []string
}

// ServiceState is the present state of one service.
type ServiceState struct {
	Name string
	// CapacityPerSecond is the number of requests that all its upstreams can
	// execute in a second; 0 if unknown.
	CapacityPerSecond float64
	// Demand in requests per second by rank. Ranks that an intent does not have
	// are served nothing under it.
	Demand map[string]float64
}

// Plan is what an operator confirms.
type Plan struct {
	BaseVersion uint64   `json:"base_version"`
	Changes     []string `json:"changes"`
	// UnknownCapacity lists the services, of either intent, that the scenarios
	// leave out because none of their upstreams has completed a call yet.
	UnknownCapacity []string `json:"unknown_capacity,omitempty"`
	// NotIncluded names the upstreams that are missing in the scenarios.
	NotIncluded []string `json:"not_included,omitempty"`
	// Scenarios are today's demand and multiples of it.
	Scenarios []Scenario `json:"scenarios"`
}

// Scenario compares both intents at one level of demand.
type Scenario struct {
	// DemandFactor multiplies today's demand.
	DemandFactor float64 `json:"demand_factor"`
	// WorthNow and WorthProposed are the worth served per second, both valued by
	// the proposed worth of ranks, so that they can be compared.
	WorthNow      float64 `json:"worth_now"`
	WorthProposed float64 `json:"worth_proposed"`
	// Gains are sorted by the greatest gain, Losses by the greatest loss.
	Gains     []RankChange `json:"gains"`
	Losses    []RankChange `json:"losses"`
	Unchanged []RankChange `json:"unchanged"`
}

// RankChange is what one rank keeps, in requests per second and percent of demand.
type RankChange struct {
	Rank            string  `json:"rank"`
	Demand          float64 `json:"demand"`
	Now             float64 `json:"now"`
	Proposed        float64 `json:"proposed"`
	NowPercent      float64 `json:"now_percent"`
	ProposedPercent float64 `json:"proposed_percent"`
}

// demandFactors are the levels of demand that a plan shows.
var demandFactors = []float64{1, 2, 10}

// Make compares the proposed intent with the one in force, which may be nil, at
// the fleet's present state. The result is the same for equal input.
func Make(base uint64, current, proposed *intent.Intent, fleet Fleet) Plan {
	if current == nil {
		current = &intent.Intent{}
	}
	p := Plan{
		BaseVersion: base, Changes: changes(current, proposed),
		UnknownCapacity: unknownCapacity(current, proposed, fleet), NotIncluded: shorten(fleet.NotIncluded),
	}
	fleet = known(fleet)
	for _, factor := range demandFactors {
		p.Scenarios = append(p.Scenarios, scenario(current, proposed, fleet, factor))
	}
	return p
}

// Encode returns the plan as JSON.
func (p Plan) Encode() (string, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("encode plan: %w", err)
	}
	return string(b), nil
}

// Digest identifies the base version, the intent and the plan together.
func Digest(base uint64, intentYAML, planJSON string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%d\n%s\n%s", base, len(intentYAML), intentYAML, planJSON)
	return hex.EncodeToString(h.Sum(nil))
}

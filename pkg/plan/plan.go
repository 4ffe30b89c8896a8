// Package plan computes what a proposed intent would change: which ranks gain and
// which lose, in numbers derived from the current state of the fleet.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Fleet is the current capacity and demand of the fleet.
type Fleet struct {
	// Services lists the services for which at least one upstream reported its load.
	Services []ServiceState
	// NotIncluded names the upstreams whose state is unknown, with the reason.
	NotIncluded []string
}

// ServiceState is the current capacity and demand of one service.
type ServiceState struct {
	Name string
	// CapacityPerSecond is the number of requests per second that all upstreams of
	// the service can execute; 0 if unknown.
	CapacityPerSecond float64
	// Demand is in requests per second by rank. An intent that does not list a rank
	// serves none of its requests.
	Demand map[string]float64
}

// Plan lists the changes and effects of a proposed intent. An operator confirms it.
type Plan struct {
	BaseVersion uint64   `json:"base_version"`
	Changes     []string `json:"changes"`
	// UnknownCapacity lists the services of either intent that the scenarios leave
	// out because no upstream with a completed call has reported its load.
	UnknownCapacity []string `json:"unknown_capacity,omitempty"`
	// NotIncluded names the upstreams that the scenarios leave out.
	NotIncluded []string `json:"not_included,omitempty"`
	// Scenarios cover the current demand and multiples of it.
	Scenarios []Scenario `json:"scenarios"`
}

// Scenario compares both intents at one level of demand.
type Scenario struct {
	// DemandFactor multiplies the current demand.
	DemandFactor float64 `json:"demand_factor"`
	// WorthNow and WorthProposed are the worth served per second under each intent.
	// Both use the proposed worth of ranks, so that they can be compared.
	WorthNow      float64 `json:"worth_now"`
	WorthProposed float64 `json:"worth_proposed"`
	// Gains and Losses are sorted with the greatest change first.
	Gains     []RankChange `json:"gains"`
	Losses    []RankChange `json:"losses"`
	Unchanged []RankChange `json:"unchanged"`
}

// RankChange is how much of one rank's demand is served under each intent, in
// requests per second and in percent of demand.
type RankChange struct {
	Rank            string  `json:"rank"`
	Demand          float64 `json:"demand"`
	Now             float64 `json:"now"`
	Proposed        float64 `json:"proposed"`
	NowPercent      float64 `json:"now_percent"`
	ProposedPercent float64 `json:"proposed_percent"`
}

// demandFactors are the multiples of the current demand that a plan covers.
var demandFactors = []float64{1, 2, 10}

// Make compares the proposed intent with the current one, which may be nil, for the
// given state of the fleet. Equal input gives equal plans.
func Make(base uint64, current, proposed *intent.Intent, fleet Fleet) Plan {
	if current == nil {
		current = &intent.Intent{}
	}
	p := Plan{
		BaseVersion: base, Changes: diffIntents(current, proposed),
		UnknownCapacity: unknownCapacity(current, proposed, fleet), NotIncluded: truncateNames(fleet.NotIncluded),
	}
	fleet = withKnownCapacity(fleet)
	for _, factor := range demandFactors {
		p.Scenarios = append(p.Scenarios, compareAtDemand(current, proposed, fleet, factor))
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

// Digest returns a hash that identifies the base version, the intent and the plan
// together.
func Digest(base uint64, intentYAML, planJSON string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%d\n%s\n%s", base, len(intentYAML), intentYAML, planJSON)
	return hex.EncodeToString(h.Sum(nil))
}

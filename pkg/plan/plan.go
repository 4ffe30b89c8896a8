// Package plan works out what an intent would change: who gains and who loses.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Plan is what an operator confirms.
type Plan struct {
	BaseVersion uint64   `json:"base_version"`
	Changes     []string `json:"changes"`
}

// Make compares the proposed intent with the one in force, which may be nil.
func Make(base uint64, current, proposed *intent.Intent) Plan {
	p := Plan{BaseVersion: base, Changes: []string{}}
	for _, r := range proposed.Ranks {
		if current == nil {
			p.Changes = append(p.Changes, fmt.Sprintf("rank %s: new, worth %g, reserve %g%%", r.Name, r.Worth, r.ReservePercent))
			continue
		}
		if old, ok := current.Rank(r.Name); ok && old != r {
			p.Changes = append(p.Changes, fmt.Sprintf("rank %s: worth %g to %g, reserve %g%% to %g%%", r.Name, old.Worth, r.Worth, old.ReservePercent, r.ReservePercent))
		}
	}
	return p
}

// Encode returns the plan as JSON.
func (p Plan) Encode() (string, error) {
	b, err := json.Marshal(p)
	return string(b), err
}

// Digest identifies the base version, the intent and the plan together.
func Digest(base uint64, intentYAML, planJSON string) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%d\n%s\n%s", base, len(intentYAML), intentYAML, planJSON)
	return hex.EncodeToString(h.Sum(nil))
}

package plan_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

func deployed(t *testing.T, replacements ...string) *intent.Intent {
	t.Helper()
	data, err := os.ReadFile("../../deploy/liegewerk/intent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	in, err := intent.Parse([]byte(strings.NewReplacer(replacements...).Replace(string(data))))
	if err != nil {
		t.Fatal(err)
	}
	return in
}

var fleet = plan.Fleet{Services: []plan.ServiceState{
	{Name: "katalog", CapacityPerSecond: 1000, Demand: map[string]float64{"availability": 300, "browse": 400, "report": 100}},
	{Name: "buchung", CapacityPerSecond: 500, Demand: map[string]float64{"booking": 200, "report": 50}},
}}

// Guards against plans that show a service of unknown capacity as not served, or
// that present a part of the fleet as the whole. The list of upstreams that were
// not measured is truncated.
func TestUnknownCapacity(t *testing.T) {
	state := plan.Fleet{Services: []plan.ServiceState{
		{Name: "katalog", CapacityPerSecond: 1000, Demand: map[string]float64{"browse": 400}},
		{Name: "buchung", Demand: map[string]float64{"booking": 200}},
	}}
	for i := range 100 {
		state.NotIncluded = append(state.NotIncluded, fmt.Sprintf("buchung-%d (buchung): no answer", i))
	}
	p := plan.Make(7, deployed(t), deployed(t, "reserve_percent: 5", "reserve_percent: 20"), state)
	goldie.New(t).AssertJson(t, "unknown", p)
}

// Guards against plans that omit a change or a loss, and against plans that differ
// for equal input. Their digests would differ, so that they could not be confirmed.
func TestPlansAreCompleteAndDeterministic(t *testing.T) {
	for _, tc := range []struct {
		desc, golden string
		current      *intent.Intent
		proposed     *intent.Intent
	}{
		{"first intent", "first", nil, deployed(t)},
		{"no change", "same", deployed(t), deployed(t)},
		{"more reserve for reports", "reserve", deployed(t), deployed(t, "reserve_percent: 5", "reserve_percent: 20")},
		{"rank, service and probing change", "several", deployed(t), deployed(t, "name: browse", "name: search", "name: kasse", "name: zahlung", "max_nodes: 24", "max_nodes: 30")},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			p := plan.Make(7, tc.current, tc.proposed, fleet)
			goldie.New(t).AssertJson(t, tc.golden, p)
			first, err := p.Encode()
			if err != nil {
				t.Fatal(err)
			}
			for range 20 {
				again, err := plan.Make(7, tc.current, tc.proposed, fleet).Encode()
				if err != nil || again != first {
					t.Fatalf("plans differ: %s, %s, %v", first, again, err)
				}
			}
		})
	}
}

package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// Arrivals, service times and stalls must depend on the seed alone, so that rules are
// compared on the same load. The runs with equal results use the central rule, which needs
// no random numbers; placement uses a random source without a seed.
func TestArrivalsDependOnSeedOnly(t *testing.T) {
	s := scenario(t, "counter, burst")
	rule := Rule{Central: true}
	if a, b := Run(&s, rule, 7), Run(&s, rule, 7); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ: %+v, %+v", a, b)
	}
	a, b := Run(&s, rule, 7), Run(&s, Rule{RandomPlacement: true, FIFO: true}, 7)
	if a.Arrived != b.Arrived || !reflect.DeepEqual(a.OfferedWorth, b.OfferedWorth) {
		t.Errorf("two rules got %d and %d arrivals of one seed, or arrivals of different worth", a.Arrived, b.Arrived)
	}
}

// Each request ends exactly once: it completes in time or late, is rejected, or times out at
// its deadline.
func TestEachRequestEndsOnce(t *testing.T) {
	for _, s := range Scenarios() {
		for _, rule := range Rules() {
			r := Run(&s, rule, 3)
			if ended := r.InTarget + r.Late + r.Rejected + r.TimedOut; ended != r.Arrived {
				t.Errorf("%s, %s: %d of %d requests ended", s.Name, rule.Name, ended, r.Arrived)
			}
		}
	}
}

// Guards against regressions of gate, placement or slowdown: in a burst on stalled VMs they
// must earn at least 0.05 more of the worth than simpler rules.
func TestNodeRuleEarnsMoreThanSimplerRules(t *testing.T) {
	const seeds, margin = 5, 0.05
	s := scenario(t, "counter, burst, one slow")
	rows := Compare(s, Rules(), seeds)
	nodeRow := rows[0]
	for _, r := range rows[1:] {
		if !strings.HasPrefix(r.Rule, "central") && nodeRow.Worth < r.Worth+margin {
			t.Errorf("%s: worth %.3f; %s: worth %.3f, difference too small", nodeRow.Rule, nodeRow.Worth, r.Rule, r.Worth)
		}
	}
}

func TestTableContainsEachRule(t *testing.T) {
	s := scenario(t, "catalogue")
	var b bytes.Buffer
	if err := Print(&b, Compare(s, Rules(), 1)); err != nil {
		t.Fatal(err)
	}
	for _, rule := range Rules() {
		if !strings.Contains(b.String(), rule.Name) {
			t.Errorf("%q is missing in\n%s", rule.Name, b.String())
		}
	}
}

func TestPlotContainsEachScenarioAndRule(t *testing.T) {
	rows := []Row{{Scenario: "calm", Rule: "ours", Worth: 0.9}, {Scenario: "burst", Rule: "ours", Worth: 0.8}, {Scenario: "burst", Rule: "other", Worth: 0.7}}
	file := filepath.Join(t.TempDir(), "worth.svg")
	if err := Plot(file, rows); err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"calm", "burst", "ours", "other"} {
		if !strings.Contains(string(drawn), ">"+name+"<") {
			t.Errorf("%q is not in the plot", name)
		}
	}
}

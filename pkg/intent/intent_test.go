package intent_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

const valid = `services:
  - name: katalog
  - name: kasse
ranks:
  - name: a
    target_ms: 50
    worth: 10
    reserve_percent: 40
    urgent: true
  - name: b
    target_ms: 200
    worth: 5
    reserve_percent: 30
probing:
  fleet_probes_per_second: 24
  max_nodes: 24
network:
  caller_one_way_ms: 3
  domain_one_way_ms: 0.5
`

// Guards against accepting an intent that violates a rule, and against errors with
// the wrong rule or line.
func TestParseRejectsInvalid(t *testing.T) {
	for _, tc := range []struct {
		desc, old, new, rule string
		line                 int
	}{
		{"unknown field", "max_nodes: 24", "max_nodes: 24\n  extra: 1", intent.RuleSyntax, 17},
		{"not YAML", "ranks:", "ranks: [", intent.RuleSyntax, 4},
		{"second document", "  domain_one_way_ms: 0.5", "  domain_one_way_ms: 0.5\n---\na: 1", intent.RuleSyntax, 20},
		{"too large", "services:", "#" + strings.Repeat("x", intent.MaxBytes) + "\nservices:", intent.RuleSize, 0},
		{"upper case", "name: kasse", "name: Kasse", intent.RuleName, 3},
		{"empty name", "name: b", "name: ''", intent.RuleName, 10},
		{"duplicate service", "name: kasse", "name: katalog", intent.RuleUnique, 3},
		{"duplicate rank", "name: b", "name: a", intent.RuleUnique, 10},
		{"no services", "services:\n  - name: katalog\n  - name: kasse", "services: []", intent.RuleMissing, 1},
		{"worth zero", "worth: 5", "worth: 0", intent.RuleRange, 12},
		{"worth not a number", "worth: 5", "worth: .nan", intent.RuleRange, 12},
		{"worth infinite", "worth: 5", "worth: .inf", intent.RuleRange, 12},
		{"reserve negative", "reserve_percent: 30", "reserve_percent: -1", intent.RuleRange, 13},
		{"reserve over 100", "reserve_percent: 30", "reserve_percent: 101", intent.RuleRange, 13},
		{"reserve sum", "reserve_percent: 30", "reserve_percent: 60.5", intent.RuleReserve, 13},
		{"target below the delay", "target_ms: 50", "target_ms: 6", intent.RuleTarget, 6},
		{"urgent rank of lower worth", "worth: 10", "worth: 4", intent.RuleUrgent, 7},
		{"probes", "per_second: 24", "per_second: 0", intent.RuleRange, 15},
		{"nodes", "max_nodes: 24", "max_nodes: 100001", intent.RuleRange, 16},
		{"body", "name: kasse", "name: kasse\n    max_body_bytes: 1073741825", intent.RuleRange, 4},
		{"negative delay", "domain_one_way_ms: 0.5", "domain_one_way_ms: -1", intent.RuleRange, 19},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := intent.Parse([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			var v *intent.ValidationError
			if !errors.As(err, &v) {
				t.Fatalf("got %v", err)
			}
			if v.Rule != tc.rule || v.Line != tc.line {
				t.Errorf("got %v, want rule %s at line %d", v, tc.rule, tc.line)
			}
		})
	}
}

// Guards against a validation that rejects the deployed intents.
func TestParseAcceptsDeployed(t *testing.T) {
	for _, name := range []string{"liegewerk", "corrib"} {
		data, err := os.ReadFile("../../deploy/" + name + "/intent.yaml")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := intent.Parse(data); err != nil {
			t.Error(err)
		}
	}
}

// Guards against input that crashes the parser, and against errors without a rule.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("services: *x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := intent.Parse(data)
		var v *intent.ValidationError
		if err != nil && !errors.As(err, &v) {
			t.Fatalf("got %T", err)
		}
		if (in == nil) != (err != nil) {
			t.Fatal("want either an intent or an error")
		}
	})
}

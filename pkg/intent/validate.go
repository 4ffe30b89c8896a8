package intent

import (
	"fmt"
	"math"

	"go.yaml.in/yaml/v3"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

// Limits of an intent.
const (
	// MaxBytes limits the size of an intent file.
	MaxBytes = 256 << 10
	// MaxBodyBytesLimit is the highest max_body_bytes of a service.
	MaxBodyBytesLimit = 1 << 30
	// MaxNodesLimit is the highest max_nodes.
	MaxNodesLimit = 100000
)

// Rules that an intent may violate.
const (
	RuleSize    = "size"
	RuleSyntax  = "syntax"
	RuleName    = "name"
	RuleUnique  = "unique"
	RuleMissing = "missing"
	RuleRange   = "range"
	RuleReserve = "reserve-sum"
	RuleTarget  = "target-delay"
	RuleUrgent  = "urgent-worth"
)

// ValidationError states which rule an intent violates and on which line.
type ValidationError struct {
	// Line counts from 1. It is 0 when the rule concerns the whole file.
	Line   int
	Rule   string
	Detail string
}

func (e *ValidationError) Error() string {
	return fmt.Sprintf("intent: line %d: %s: %s", e.Line, e.Rule, e.Detail)
}

// validator finds the first rule that an intent violates.
type validator struct {
	in   *Intent
	root *yaml.Node
}

func (v *validator) run() error {
	for _, check := range []func() error{v.checkServices, v.checkRanks, v.checkReserveSum, v.checkUrgentWorth, v.checkProbing, v.checkNetwork} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// errorAt returns a ValidationError with the line of the node at path, which is a list of
// mapping keys and sequence indexes.
func (v *validator) errorAt(rule string, path []any, format string, args ...any) error {
	return &ValidationError{Line: lineOf(v.root, path), Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// lineOf returns the line of the deepest existing node on the path.
func lineOf(n *yaml.Node, path []any) int {
	line := n.Line
	for _, step := range path {
		for n.Kind == yaml.AliasNode {
			n = n.Alias
		}
		if n = child(n, step); n == nil {
			return line
		}
		line = n.Line
	}
	return line
}

// child returns the value of a mapping key or the element at a sequence index, or nil.
func child(n *yaml.Node, step any) *yaml.Node {
	if index, ok := step.(int); ok {
		if n.Kind != yaml.SequenceNode || index >= len(n.Content) {
			return nil
		}
		return n.Content[index]
	}
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == step {
			return n.Content[i+1]
		}
	}
	return nil
}

func (v *validator) checkName(name string, seen map[string]bool, path ...any) error {
	if !ident.Valid(name) {
		return v.errorAt(RuleName, path, "%q is not 1 to 64 characters of a-z, 0-9, '.', '_' and '-'", name)
	}
	if seen[name] {
		return v.errorAt(RuleUnique, path, "%q is there twice", name)
	}
	seen[name] = true
	return nil
}

func (v *validator) checkServices() error {
	if len(v.in.Services) == 0 {
		return v.errorAt(RuleMissing, []any{"services"}, "no services")
	}
	seen := map[string]bool{}
	for i, s := range v.in.Services {
		if err := v.checkName(s.Name, seen, "services", i, "name"); err != nil {
			return err
		}
		if s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyBytesLimit {
			return v.errorAt(RuleRange, []any{"services", i, "max_body_bytes"}, "max_body_bytes %d is not 0 to %d", s.MaxBodyBytes, MaxBodyBytesLimit)
		}
	}
	return nil
}

func (v *validator) checkRanks() error {
	if len(v.in.Ranks) == 0 {
		return v.errorAt(RuleMissing, []any{"ranks"}, "no ranks")
	}
	seen := map[string]bool{}
	for i, r := range v.in.Ranks {
		if err := v.checkName(r.Name, seen, "ranks", i, "name"); err != nil {
			return err
		}
		if !isPositiveFinite(r.Worth) {
			return v.errorAt(RuleRange, []any{"ranks", i, "worth"}, "worth %g is not positive and finite", r.Worth)
		}
		// The negated comparison also rejects NaN.
		if !(r.ReservePercent >= 0 && r.ReservePercent <= 100) {
			return v.errorAt(RuleRange, []any{"ranks", i, "reserve_percent"}, "reserve_percent %g is not 0 to 100", r.ReservePercent)
		}
		if err := v.checkTarget(i, r); err != nil {
			return err
		}
	}
	return nil
}

// checkTarget checks that the latency target is positive and at least the network
// round-trip time.
func (v *validator) checkTarget(i int, r Rank) error {
	path := []any{"ranks", i, "target_ms"}
	if r.TargetMs < 1 {
		return v.errorAt(RuleRange, path, "target_ms %d is not positive", r.TargetMs)
	}
	minTargetMs := 2 * (v.in.Network.CallerOneWayMs + v.in.Network.DomainOneWayMs)
	if float64(r.TargetMs) < minTargetMs {
		return v.errorAt(RuleTarget, path, "target_ms %d is less than the network delay of %g ms there and back", r.TargetMs, minTargetMs)
	}
	return nil
}

func (v *validator) checkReserveSum() error {
	sum := 0.0
	for i, r := range v.in.Ranks {
		sum += r.ReservePercent
		if sum > 100 {
			return v.errorAt(RuleReserve, []any{"ranks", i, "reserve_percent"}, "the reserves sum to more than 100%%")
		}
	}
	return nil
}

// checkUrgentWorth checks that no urgent rank has a lower worth than another rank.
func (v *validator) checkUrgentWorth() error {
	for i, urgent := range v.in.Ranks {
		for _, other := range v.in.Ranks {
			if urgent.Urgent && !other.Urgent && urgent.Worth < other.Worth {
				return v.errorAt(RuleUrgent, []any{"ranks", i, "worth"}, "urgent rank %s has lower worth than %s", urgent.Name, other.Name)
			}
		}
	}
	return nil
}

func (v *validator) checkProbing() error {
	p := v.in.Probing
	if !isPositiveFinite(p.FleetProbesPerSecond) {
		return v.errorAt(RuleRange, []any{"probing", "fleet_probes_per_second"}, "fleet_probes_per_second %g is not positive and finite", p.FleetProbesPerSecond)
	}
	if p.MaxNodes < 1 || p.MaxNodes > MaxNodesLimit {
		return v.errorAt(RuleRange, []any{"probing", "max_nodes"}, "max_nodes %d is not 1 to %d", p.MaxNodes, MaxNodesLimit)
	}
	return nil
}

func (v *validator) checkNetwork() error {
	for _, f := range []struct {
		key   string
		value float64
	}{{"caller_one_way_ms", v.in.Network.CallerOneWayMs}, {"domain_one_way_ms", v.in.Network.DomainOneWayMs}} {
		// The negated comparison also rejects NaN.
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return v.errorAt(RuleRange, []any{"network", f.key}, "%s %g is not 0 or more and finite", f.key, f.value)
		}
	}
	return nil
}

func isPositiveFinite(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

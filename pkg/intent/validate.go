package intent

import (
	"fmt"
	"math"

	"go.yaml.in/yaml/v3"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

// Limits of an intent.
const (
	// MaxBytes bounds an intent file.
	MaxBytes = 256 << 10
	// MaxBodyBytesLimit bounds max_body_bytes of a service.
	MaxBodyBytesLimit = 1 << 30
	// MaxNodesLimit bounds max_nodes.
	MaxNodesLimit = 100000
)

// Rules that an intent may break.
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

// ValidationError tells which rule an intent breaks and on which line.
type ValidationError struct {
	// Line counts from 1. It is 0 when the rule concerns the whole file.
	Line   int
	Rule   string
	Detail string
}

// Error implements error.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("intent: line %d: %s: %s", e.Line, e.Rule, e.Detail)
}

// validator reports the first broken rule of an intent.
type validator struct {
	in   *Intent
	root *yaml.Node
}

func (v *validator) run() error {
	for _, check := range []func() error{v.services, v.ranks, v.reserveSum, v.urgentWorth, v.probing, v.network} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// fail returns an error at the line of the path, a list of keys and indexes.
func (v *validator) fail(rule string, path []any, format string, args ...any) error {
	return &ValidationError{Line: lineOf(v.root, path), Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// lineOf returns the line of the deepest node on the path that exists.
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

func (v *validator) name(name string, seen map[string]bool, path ...any) error {
	if !ident.Valid(name) {
		return v.fail(RuleName, path, "%q is not 1 to 64 characters of a-z, 0-9, '.', '_' and '-'", name)
	}
	if seen[name] {
		return v.fail(RuleUnique, path, "%q is there twice", name)
	}
	seen[name] = true
	return nil
}

func (v *validator) services() error {
	if len(v.in.Services) == 0 {
		return v.fail(RuleMissing, []any{"services"}, "no services")
	}
	seen := map[string]bool{}
	for i, s := range v.in.Services {
		if err := v.name(s.Name, seen, "services", i, "name"); err != nil {
			return err
		}
		if s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyBytesLimit {
			return v.fail(RuleRange, []any{"services", i, "max_body_bytes"}, "max_body_bytes %d is not 0 to %d", s.MaxBodyBytes, MaxBodyBytesLimit)
		}
	}
	return nil
}

func (v *validator) ranks() error {
	if len(v.in.Ranks) == 0 {
		return v.fail(RuleMissing, []any{"ranks"}, "no ranks")
	}
	seen := map[string]bool{}
	for i, r := range v.in.Ranks {
		if err := v.name(r.Name, seen, "ranks", i, "name"); err != nil {
			return err
		}
		if !positive(r.Worth) {
			return v.fail(RuleRange, []any{"ranks", i, "worth"}, "worth %g is not positive and finite", r.Worth)
		}
		if !(r.ReservePercent >= 0 && r.ReservePercent <= 100) {
			return v.fail(RuleRange, []any{"ranks", i, "reserve_percent"}, "reserve_percent %g is not 0 to 100", r.ReservePercent)
		}
		if err := v.target(i, r); err != nil {
			return err
		}
	}
	return nil
}

// target checks that the target leaves time after the way there and back.
func (v *validator) target(i int, r Rank) error {
	path := []any{"ranks", i, "target_ms"}
	if r.TargetMs < 1 {
		return v.fail(RuleRange, path, "target_ms %d is not positive", r.TargetMs)
	}
	least := 2 * (v.in.Network.CallerOneWayMs + v.in.Network.DomainOneWayMs)
	if float64(r.TargetMs) < least {
		return v.fail(RuleTarget, path, "target_ms %d is less than the network delay of %g ms there and back", r.TargetMs, least)
	}
	return nil
}

func (v *validator) reserveSum() error {
	sum := 0.0
	for i, r := range v.in.Ranks {
		sum += r.ReservePercent
		if sum > 100 {
			return v.fail(RuleReserve, []any{"ranks", i, "reserve_percent"}, "the reserves sum to more than 100%%")
		}
	}
	return nil
}

func (v *validator) urgentWorth() error {
	for i, urgent := range v.in.Ranks {
		for _, other := range v.in.Ranks {
			if urgent.Urgent && !other.Urgent && urgent.Worth < other.Worth {
				return v.fail(RuleUrgent, []any{"ranks", i, "worth"}, "urgent rank %s has lower worth than %s", urgent.Name, other.Name)
			}
		}
	}
	return nil
}

func (v *validator) probing() error {
	p := v.in.Probing
	if !positive(p.FleetProbesPerSecond) {
		return v.fail(RuleRange, []any{"probing", "fleet_probes_per_second"}, "fleet_probes_per_second %g is not positive and finite", p.FleetProbesPerSecond)
	}
	if p.MaxNodes < 1 || p.MaxNodes > MaxNodesLimit {
		return v.fail(RuleRange, []any{"probing", "max_nodes"}, "max_nodes %d is not 1 to %d", p.MaxNodes, MaxNodesLimit)
	}
	return nil
}

func (v *validator) network() error {
	for _, f := range []struct {
		key   string
		value float64
	}{{"caller_one_way_ms", v.in.Network.CallerOneWayMs}, {"domain_one_way_ms", v.in.Network.DomainOneWayMs}} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return v.fail(RuleRange, []any{"network", f.key}, "%s %g is not 0 or more and finite", f.key, f.value)
		}
	}
	return nil
}

func positive(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

// Package intent models what operators require of the fleet: which services it
// serves, which ranks of requests matter most, and how much each rank may lose when
// demand exceeds the capacity of the VMs.
package intent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// Intent is one complete configuration. It is immutable once parsed.
type Intent struct {
	// Services are the services that the fleet serves.
	Services []Service `yaml:"services"`
	// Ranks are the classes of requests, in no particular order.
	Ranks []Rank `yaml:"ranks"`
	// Probing limits the cost of load probes.
	Probing Probing `yaml:"probing"`
	// Network states the network delays that latency targets are checked against.
	Network Network `yaml:"network"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `yaml:"name"`
	// RequireToken rejects non-idempotent requests without a token with status 428.
	RequireToken bool `yaml:"require_token"`
	// MaxBodyBytes limits request bodies. The default is 8 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
}

// Rank is a class of requests.
type Rank struct {
	Name string `yaml:"name"`
	// TargetMs is the latency target as measured by the caller, in milliseconds.
	TargetMs int `yaml:"target_ms"`
	// Worth is the relative value of one request completed within its target.
	Worth float64 `yaml:"worth"`
	// ReservePercent is the share of capacity guaranteed to the rank under overload
	// while it has demand. The rank may lose all capacity beyond this share.
	ReservePercent float64 `yaml:"reserve_percent"`
	// Urgent allows hedging of the rank's requests.
	Urgent bool `yaml:"urgent"`
}

// Target returns the latency target.
func (r Rank) Target() time.Duration {
	return time.Duration(r.TargetMs) * time.Millisecond
}

// Probing limits the cost of load probes.
type Probing struct {
	// FleetProbesPerSecond is the total budget of all nodes.
	FleetProbesPerSecond float64 `yaml:"fleet_probes_per_second"`
	// MaxNodes divides the fleet's budget: each node may use
	// FleetProbesPerSecond / MaxNodes, regardless of the actual number of nodes.
	MaxNodes int `yaml:"max_nodes"`
}

// Network states one-way delays, in milliseconds.
type Network struct {
	CallerOneWayMs float64 `yaml:"caller_one_way_ms"`
	DomainOneWayMs float64 `yaml:"domain_one_way_ms"`
}

// DefaultMaxBodyBytes is the limit of services that do not set MaxBodyBytes.
const DefaultMaxBodyBytes = 8 << 20

// Parse decodes and validates an intent file. It returns a *ValidationError for
// the first rule that the file violates. Unknown fields are rejected.
func Parse(data []byte) (*Intent, error) {
	if len(data) > MaxBytes {
		return nil, &ValidationError{Rule: RuleSize, Detail: fmt.Sprintf("%d bytes, more than %d", len(data), MaxBytes)}
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, syntaxError(err)
	}
	if len(doc.Content) == 0 {
		return nil, &ValidationError{Line: 1, Rule: RuleMissing, Detail: "the file is empty"}
	}
	in, err := decode(data)
	if err != nil {
		return nil, err
	}
	v := &validator{in: in, root: doc.Content[0]}
	if err := v.run(); err != nil {
		return nil, err
	}
	for i := range in.Services {
		if in.Services[i].MaxBodyBytes == 0 {
			in.Services[i].MaxBodyBytes = DefaultMaxBodyBytes
		}
	}
	return in, nil
}

// decode decodes one YAML document and rejects a second one.
func decode(data []byte) (*Intent, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	in := &Intent{}
	if err := dec.Decode(in); err != nil {
		return nil, syntaxError(err)
	}
	var more yaml.Node
	switch err := dec.Decode(&more); {
	case err == nil:
		return nil, &ValidationError{Line: more.Line, Rule: RuleSyntax, Detail: "a second document"}
	case !errors.Is(err, io.EOF):
		return nil, syntaxError(err)
	}
	return in, nil
}

var lineInMessage = regexp.MustCompile(`line (\d+): `)

// syntaxError converts an error of the YAML library, which states the line only in
// its message.
func syntaxError(err error) error {
	v := &ValidationError{Rule: RuleSyntax, Detail: err.Error()}
	if m := lineInMessage.FindStringSubmatch(v.Detail); m != nil {
		v.Line, _ = strconv.Atoi(m[1])
	}
	return v
}

// Service returns the service with the given name.
func (in *Intent) Service(name string) (Service, bool) {
	for _, s := range in.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Rank returns the rank with the given name.
func (in *Intent) Rank(name string) (Rank, bool) {
	for _, r := range in.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return Rank{}, false
}

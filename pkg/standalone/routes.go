package standalone

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.yaml.in/yaml/v3"

	"github.com/mulberrytray/mulberrytray/pkg/mesh"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// ErrRoutes marks a routes file that cannot be used.
var ErrRoutes = errors.New("invalid routes")

// pollPeriod is the time between two reads of the file while waiting for a change.
const pollPeriod = 500 * time.Millisecond

// RoutesFile reads the routing table from a YAML file. It implements mesh.Configs. If
// the path is empty, there is no file and the node receives the table from other nodes.
type RoutesFile struct{ Path string }

// document is the content of the file.
type document struct {
	// Version must increase with each change: nodes use the highest one they have seen.
	Version uint64 `yaml:"version"`
	Limits  struct {
		MaxBodyBytes int64 `yaml:"max_body_bytes"`
	} `yaml:"limits"`
	Services []struct {
		Name       string `yaml:"name"`
		HealthPath string `yaml:"health_path"`
	} `yaml:"services"`
	Routes []struct {
		Name   string `yaml:"name"`
		Host   string `yaml:"host"`
		Prefix string `yaml:"prefix"`
		// Idempotent requests may run more than once.
		Idempotent bool `yaml:"idempotent"`
		// Rank 0 is the most urgent.
		Rank        int           `yaml:"rank"`
		Target      time.Duration `yaml:"target"`
		Timeout     time.Duration `yaml:"timeout"`
		MaxAttempts int           `yaml:"max_attempts"`
		Shares      []struct {
			Service string `yaml:"service"`
			Weight  int    `yaml:"weight"`
		} `yaml:"shares"`
	} `yaml:"routes"`
}

// Decode decodes the content of a routes file. Errors wrap ErrRoutes.
func (RoutesFile) Decode(encoded []byte) (*route.Table, error) {
	var d document
	decoder := yaml.NewDecoder(bytes.NewReader(encoded))
	decoder.KnownFields(true)
	if err := decoder.Decode(&d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRoutes, err)
	}
	if d.Version == 0 || d.Limits.MaxBodyBytes <= 0 {
		return nil, fmt.Errorf("%w: version and limits.max_body_bytes must be above 0", ErrRoutes)
	}
	var services []route.Service
	for _, s := range d.Services {
		services = append(services, route.Service{Name: s.Name, HealthPath: s.HealthPath})
	}
	var routes []*route.Route
	for _, r := range d.Routes {
		if r.Target <= 0 || r.Timeout <= 0 {
			return nil, fmt.Errorf("%w: route %q: target and timeout must be above 0", ErrRoutes, r.Name)
		}
		out := &route.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Rank: r.Rank,
			Target: r.Target, Timeout: r.Timeout, MaxAttempts: r.MaxAttempts,
		}
		for _, s := range r.Shares {
			out.Services = append(out.Services, route.WeightedService{Service: s.Service, Weight: float64(s.Weight)})
		}
		routes = append(routes, out)
	}
	t, err := route.NewTable(d.Version, route.Limits{MaxBodyBytes: d.Limits.MaxBodyBytes}, services, routes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRoutes, err)
	}
	t.Source = encoded
	return t, nil
}

// Newest returns the content of the file. The position is the hash of the content. Failure domains
// are not evacuated without the platform.
func (r RoutesFile) Newest(context.Context) (mesh.Published, error) {
	if r.Path == "" {
		return mesh.Published{}, nil
	}
	b, err := os.ReadFile(r.Path)
	if err != nil {
		return mesh.Published{}, fmt.Errorf("%w: %w", ErrRoutes, err)
	}
	return mesh.Published{Encoded: b, Position: mesh.Position{Offset: int64(xxhash.Sum64(b))}}, nil
}

// Changes polls the file until the hash of its content differs from the position or the
// wait ends.
func (r RoutesFile) Changes(ctx context.Context, after mesh.Published, wait time.Duration) (mesh.Published, error) {
	deadline := time.Now().Add(wait)
	for {
		next, err := r.Newest(ctx)
		if err != nil {
			return mesh.Published{}, err
		}
		if next.Position != after.Position {
			return next, nil
		}
		if !time.Now().Before(deadline) {
			return mesh.Published{Position: after.Position}, nil
		}
		select {
		case <-ctx.Done():
			return mesh.Published{}, fmt.Errorf("wait for a change of routes file %s: %w", r.Path, ctx.Err())
		case <-time.After(pollPeriod):
		}
	}
}

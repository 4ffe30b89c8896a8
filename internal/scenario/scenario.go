// Package scenario runs a table of load scenarios against the system and
// against baselines in front of the same upstreams.
package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/loadgen"
	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
	"github.com/mulberrytray/mulberrytray/internal/standin/upstream"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Config of all scenarios.
type Config struct {
	BinDir string
	// LogDir takes the output of the processes.
	LogDir     string
	Deployment *fleet.Deployment
	IntentYAML string
	Seed       uint64
	// Duration of the load for each target.
	Duration time.Duration
	// ServiceTime is the mean service time of the upstreams.
	ServiceTime time.Duration
}

// Scenario is one kind of load with the faults that accompany it.
type Scenario struct {
	Name string
	// Load of each rank as a share of the service's capacity, in the order of the
	// intent's ranks.
	Load []float64
	// Before is set at all upstreams of the service before the load starts.
	Before *upstream.Faults
	// One is set at the first upstream of the service after a quarter of the run.
	One *upstream.Faults
	// KillOne kills the first upstream after half of the run.
	KillOne bool
	// LogDown keeps the platform's log down throughout.
	LogDown bool
	// SystemOnly leaves out the baselines.
	SystemOnly bool
}

// Outcome is one target's result in a scenario.
type Outcome struct {
	Scenario string
	Target   string
	Results  []*loadgen.Result
	// SlowShare is the part of the service's answers that the first upstream gave.
	SlowShare float64
}

// Runner runs scenarios on one fleet.
type Runner struct {
	cfg     Config
	fleet   *fleet.Fleet
	intent  *intent.Intent
	service string
	client  *http.Client
}

// Start starts the fleet and puts the intent in effect. Call Stop also after an error.
func Start(ctx context.Context, cfg Config) (*Runner, error) {
	in, err := intent.Parse([]byte(cfg.IntentYAML))
	if err != nil {
		return nil, err
	}
	if cfg.IntentYAML, err = scaleTargets(in, cfg.ServiceTime); err != nil {
		return nil, err
	}
	f, err := fleet.Start(cfg.Deployment, fleet.Options{
		BinDir: cfg.BinDir, LogDir: cfg.LogDir,
	})
	r := &Runner{cfg: cfg, fleet: f, intent: in, service: in.Services[0].Name, client: loadgen.NewClient()}
	if err != nil {
		return r, err
	}
	if _, err := f.PutIntent(ctx, cfg.IntentYAML, "measure"); err != nil {
		return r, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return r, err
	}
	return r, r.setAll(nil)
}

// Stop ends the fleet.
func (r *Runner) Stop() {
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

// capacity returns the requests per second that the service can execute.
func (r *Runner) capacity() float64 {
	slots := len(r.fleet.OfService(r.service)) * r.cfg.Deployment.Slots
	return float64(slots) / r.cfg.ServiceTime.Seconds()
}

// Run runs one scenario against all targets, one after the other.
func (r *Runner) Run(ctx context.Context, s Scenario) ([]Outcome, error) {
	var out []Outcome
	for _, t := range r.targets(s) {
		results, err := r.runTarget(ctx, s, t.target)
		if err != nil {
			return out, fmt.Errorf("scenario %s, %s: %w", s.Name, t.name, err)
		}
		first := r.fleet.OfService(r.service)[0].Name
		out = append(out, Outcome{s.Name, t.name, results, shareOf(results, first, "0")})
	}
	return out, nil
}

type namedTarget struct {
	name   string
	target loadgen.Target
}

func (r *Runner) targets(s Scenario) []namedTarget {
	var entries, upstreams []string
	for _, i := range r.fleet.Instances {
		entries = append(entries, i.CallerURL())
	}
	for _, i := range r.fleet.OfService(r.service) {
		upstreams = append(upstreams, i.UpstreamURL())
	}
	system := namedTarget{"mulberrytray", &loadgen.System{Client: r.client, Entries: entries}}
	if s.SystemOnly {
		return []namedTarget{system}
	}
	n := len(entries)
	return []namedTarget{
		{"central queue", loadgen.NewCentral(r.client, upstreams, r.cfg.Deployment.Slots)},
		system,
		{"two choices", loadgen.NewBaseline(r.client, upstreams, n, loadgen.TwoChoices)},
		{"round robin", loadgen.NewBaseline(r.client, upstreams, n, loadgen.RoundRobin)},
		{"random", loadgen.NewBaseline(r.client, upstreams, n, loadgen.Random)},
	}
}

// settle is the time between two loads, for queues to empty and breakers to close.
const settle = time.Second

func (r *Runner) runTarget(ctx context.Context, s Scenario, t loadgen.Target) ([]*loadgen.Result, error) {
	if err := r.setAll(s.Before); err != nil {
		return nil, err
	}
	if s.LogDown {
		if err := r.put(r.fleet.LogURL(), platformlog.Faults{Down: true}); err != nil {
			return nil, err
		}
	}
	events := make(chan error, 1)
	go func() { events <- r.inject(ctx, s) }()
	results := loadgen.Run(ctx, r.cfg.Seed, r.cfg.Duration, r.classes(s), t)
	err := errors.Join(<-events, r.repair(ctx, s))
	time.Sleep(settle)
	return results, err
}

// inject applies the faults that start during the run.
func (r *Runner) inject(ctx context.Context, s Scenario) error {
	first := r.fleet.OfService(r.service)[0]
	time.Sleep(r.cfg.Duration / 4)
	if s.One != nil {
		if err := r.put(first.UpstreamURL(), r.faults(s.One)); err != nil {
			return err
		}
	}
	time.Sleep(r.cfg.Duration / 4)
	if s.KillOne {
		first.Upstream.Kill()
	}
	return ctx.Err()
}

// repair ends all faults and waits until the fleet is complete again.
func (r *Runner) repair(ctx context.Context, s Scenario) error {
	first := r.fleet.OfService(r.service)[0]
	if s.KillOne {
		if err := r.fleet.StartUpstream(first); err != nil {
			return err
		}
	}
	if s.LogDown {
		if err := r.put(r.fleet.LogURL(), platformlog.Faults{}); err != nil {
			return err
		}
	}
	err := fleet.WaitFor(ctx, func() error { return r.setAll(nil) })
	return errors.Join(err, r.fleet.WaitReady(ctx))
}

// setAll sets the faults of all upstreams of the service; nil means none.
func (r *Runner) setAll(f *upstream.Faults) error {
	for _, i := range r.fleet.OfService(r.service) {
		if err := r.put(i.UpstreamURL(), r.faults(f)); err != nil {
			return err
		}
	}
	return nil
}

// faults adds the service time of all scenarios to the faults of one.
func (r *Runner) faults(f *upstream.Faults) upstream.Faults {
	var out upstream.Faults
	if f != nil {
		out = *f
	}
	out.ServiceTimeMs = float64(r.cfg.ServiceTime) / float64(time.Millisecond)
	out.Distribution = upstream.Exponential
	return out
}

func (r *Runner) put(base string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, base+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("set faults: %s", resp.Status)
	}
	return nil
}

// callTimeoutFactor times a rank's target is the timeout of its calls.
const callTimeoutFactor = 4

// baseServiceTime is the service time that the intents' targets are meant for.
const baseServiceTime = 20 * time.Millisecond

// scaleTargets adapts the targets to a longer service time. Shorter ones keep the
// targets, which must not be below the network's delay.
func scaleTargets(in *intent.Intent, service time.Duration) (string, error) {
	service = max(service, baseServiceTime)
	for i := range in.Ranks {
		in.Ranks[i].TargetMs = int(float64(in.Ranks[i].TargetMs) * float64(service) / float64(baseServiceTime))
	}
	text, err := yaml.Marshal(in)
	return string(text), err
}

func (r *Runner) classes(s Scenario) []loadgen.Class {
	var out []loadgen.Class
	for i, rank := range r.intent.Ranks {
		if i >= len(s.Load) || s.Load[i] == 0 {
			continue
		}
		out = append(out, loadgen.Class{
			Name: rank.Name, Service: r.service, Rank: rank.Name, Method: http.MethodGet, Path: "/",
			Rate: s.Load[i] * r.capacity(), Timeout: callTimeoutFactor * rank.Target(), Target: rank.Target(), Worth: rank.Worth,
		})
	}
	return out
}

// shareOf returns the part of all answers that an upstream gave.
func shareOf(results []*loadgen.Result, names ...string) float64 {
	var all, own int64
	for _, r := range results {
		for name, n := range r.ServedBy {
			all += n
			for _, want := range names {
				if name == want {
					own += n
				}
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(own) / float64(all)
}

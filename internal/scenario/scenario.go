// Package scenario runs load scenarios against the system and against baselines
// in front of the same upstreams.
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

// Config holds the settings that all scenarios share.
type Config struct {
	BinDir string
	// LogDir receives the log files with the output of the processes.
	LogDir     string
	Deployment *fleet.Deployment
	IntentYAML string
	Seed       uint64
	// Duration is the duration of the load on each target.
	Duration time.Duration
	// ServiceTime is the mean service time of the upstreams.
	ServiceTime time.Duration
}

// Scenario is a load with the faults that are injected during it.
type Scenario struct {
	Name string
	// Load of each rank as a fraction of the service's capacity, in the order of the
	// intent's ranks.
	Load []float64
	// InitialFaults are injected at all upstreams of the service before the load starts.
	InitialFaults *upstream.Faults
	// FirstUpstreamFaults are injected at the first upstream of the service after a
	// quarter of the run.
	FirstUpstreamFaults *upstream.Faults
	// KillFirstUpstream kills the first upstream after half of the run.
	KillFirstUpstream bool
	// LogDown keeps the platform log down for the whole run.
	LogDown bool
	// SystemOnly omits the baselines.
	SystemOnly bool
}

// Outcome is one target's result in a scenario.
type Outcome struct {
	Scenario string
	Target   string
	Results  []*loadgen.Result
	// FirstUpstreamRatio is the fraction of the service's responses that the first
	// upstream sent.
	FirstUpstreamRatio float64
}

// Runner runs scenarios on one fleet.
type Runner struct {
	cfg     Config
	fleet   *fleet.Fleet
	intent  *intent.Intent
	service string
	client  *http.Client
}

// Start starts the fleet and puts the intent in effect. If Start returns a Runner,
// the caller must call Stop, even after an error.
func Start(ctx context.Context, cfg Config) (*Runner, error) {
	in, err := intent.Parse([]byte(cfg.IntentYAML))
	if err != nil {
		return nil, err
	}
	if cfg.IntentYAML, err = scaleLatencyTargets(in, cfg.ServiceTime); err != nil {
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
	return r, r.setAllFaults(nil)
}

// Stop stops the fleet.
func (r *Runner) Stop() {
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

// capacity returns the number of requests per second that the service can execute.
func (r *Runner) capacity() float64 {
	slots := len(r.fleet.ServiceInstances(r.service)) * r.cfg.Deployment.Slots
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
		first := r.fleet.ServiceInstances(r.service)[0].Name
		out = append(out, Outcome{s.Name, t.name, results, servedFraction(results, first, "0")})
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
	for _, i := range r.fleet.ServiceInstances(r.service) {
		upstreams = append(upstreams, i.UpstreamURL())
	}
	system := namedTarget{"mulberrytray", &loadgen.System{Client: r.client, EntryURLs: entries}}
	if s.SystemOnly {
		return []namedTarget{system}
	}
	n := len(entries)
	return []namedTarget{
		{"central queue", loadgen.NewCentralQueue(r.client, upstreams, r.cfg.Deployment.Slots)},
		system,
		{"two choices", loadgen.NewBaseline(r.client, upstreams, n, loadgen.TwoChoices)},
		{"round robin", loadgen.NewBaseline(r.client, upstreams, n, loadgen.RoundRobin)},
		{"random", loadgen.NewBaseline(r.client, upstreams, n, loadgen.Random)},
	}
}

// settleTime is the pause after each load, in which queues drain and circuit breakers
// close.
const settleTime = time.Second

// runTarget runs the load of a scenario on one target, injects the faults during it
// and removes them afterwards.
func (r *Runner) runTarget(ctx context.Context, s Scenario, t loadgen.Target) ([]*loadgen.Result, error) {
	if err := r.setAllFaults(s.InitialFaults); err != nil {
		return nil, err
	}
	if s.LogDown {
		if err := r.putFaults(r.fleet.LogURL(), platformlog.Faults{Down: true}); err != nil {
			return nil, err
		}
	}
	injected := make(chan error, 1)
	go func() { injected <- r.injectFaults(ctx, s) }()
	results := loadgen.Run(ctx, r.cfg.Seed, r.cfg.Duration, r.classes(s), t)
	err := errors.Join(<-injected, r.repair(ctx, s))
	time.Sleep(settleTime)
	return results, err
}

// injectFaults injects the faults that start during the run.
func (r *Runner) injectFaults(ctx context.Context, s Scenario) error {
	first := r.fleet.ServiceInstances(r.service)[0]
	time.Sleep(r.cfg.Duration / 4)
	if s.FirstUpstreamFaults != nil {
		if err := r.putFaults(first.UpstreamURL(), r.withServiceTime(s.FirstUpstreamFaults)); err != nil {
			return err
		}
	}
	time.Sleep(r.cfg.Duration / 4)
	if s.KillFirstUpstream {
		first.Upstream.Kill()
	}
	return ctx.Err()
}

// repair restarts a killed upstream, removes all faults and waits until the fleet
// is ready.
func (r *Runner) repair(ctx context.Context, s Scenario) error {
	first := r.fleet.ServiceInstances(r.service)[0]
	if s.KillFirstUpstream {
		if err := r.fleet.StartUpstream(first); err != nil {
			return err
		}
	}
	if s.LogDown {
		if err := r.putFaults(r.fleet.LogURL(), platformlog.Faults{}); err != nil {
			return err
		}
	}
	err := fleet.WaitFor(ctx, func() error { return r.setAllFaults(nil) })
	return errors.Join(err, r.fleet.WaitReady(ctx))
}

// setAllFaults replaces the faults of all upstreams of the service; nil means none.
func (r *Runner) setAllFaults(f *upstream.Faults) error {
	for _, i := range r.fleet.ServiceInstances(r.service) {
		if err := r.putFaults(i.UpstreamURL(), r.withServiceTime(f)); err != nil {
			return err
		}
	}
	return nil
}

// withServiceTime returns the faults f, or none if f is nil, with the configured
// service time and an exponential distribution.
func (r *Runner) withServiceTime(f *upstream.Faults) upstream.Faults {
	var out upstream.Faults
	if f != nil {
		out = *f
	}
	out.ServiceTimeMs = float64(r.cfg.ServiceTime) / float64(time.Millisecond)
	out.Distribution = upstream.Exponential
	return out
}

// putFaults sends the faults as JSON to a stand-in.
func (r *Runner) putFaults(base string, faults any) error {
	body, err := json.Marshal(faults)
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
		return fmt.Errorf("set faults: PUT /faults returned %s", resp.Status)
	}
	return nil
}

// callTimeoutFactor is the ratio of a call's timeout to its rank's target.
const callTimeoutFactor = 4

// baseServiceTime is the service time that the latency targets of the intents assume.
const baseServiceTime = 20 * time.Millisecond

// scaleLatencyTargets scales the intent's latency targets for service times above
// baseServiceTime and returns the intent as YAML. Targets are not lowered for shorter
// service times: they must not be below the network delay.
func scaleLatencyTargets(in *intent.Intent, service time.Duration) (string, error) {
	service = max(service, baseServiceTime)
	for i := range in.Ranks {
		in.Ranks[i].TargetMs = int(float64(in.Ranks[i].TargetMs) * float64(service) / float64(baseServiceTime))
	}
	text, err := yaml.Marshal(in)
	return string(text), err
}

// classes returns a request class for each rank with load.
func (r *Runner) classes(s Scenario) []loadgen.Class {
	var out []loadgen.Class
	for i, rank := range r.intent.Ranks {
		if i >= len(s.Load) || s.Load[i] == 0 {
			continue
		}
		out = append(out, loadgen.Class{
			Name: rank.Name, Service: r.service, Rank: rank.Name, Method: http.MethodGet, Path: "/",
			Rate: s.Load[i] * r.capacity(), Timeout: callTimeoutFactor * rank.Target(), TargetLatency: rank.Target(), Worth: rank.Worth,
		})
	}
	return out
}

// servedFraction returns the fraction of all responses that the named upstream
// sent. The name of an upstream depends on the target, hence several names.
func servedFraction(results []*loadgen.Result, names ...string) float64 {
	var total, served int64
	for _, r := range results {
		for name, n := range r.ServedBy {
			total += n
			for _, want := range names {
				if name == want {
					served += n
				}
			}
		}
	}
	if total == 0 {
		return 0
	}
	return float64(served) / float64(total)
}

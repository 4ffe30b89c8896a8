// Package prove runs a fleet of real processes under injected faults and checks the
// recorded history with the checkers of package history.
package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/history"
	"github.com/mulberrytray/mulberrytray/internal/standin/journal"
)

// Config configures a run.
type Config struct {
	BinDir string
	// OutDir is the directory for journals and process logs.
	OutDir string
	// Deployment and IntentYAML define the fleet and its configuration.
	Deployment *fleet.Deployment
	IntentYAML string
	Seed       uint64
	// Duration is how long the load lasts in the scenarios "faults" and "operators".
	Duration time.Duration
	// Callers is the number of concurrent callers.
	Callers int
}

// Run is one fleet with its history.
type Run struct {
	Fleet   *fleet.Fleet
	History *history.History

	cfg Config
	rng *rand.Rand
	// plainService receives operations without a token, tokenService those with one.
	plainService string
	tokenService string
	ranks        []string
	wg           sync.WaitGroup
}

// start starts the fleet, puts the intent into effect and waits until all nodes are ready.
func start(ctx context.Context, cfg Config, scenario string) (*Run, error) {
	r := &Run{
		cfg: cfg, History: history.New(), rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	f, err := fleet.Start(cfg.Deployment, fleet.Options{
		BinDir: cfg.BinDir, LogDir: cfg.OutDir, JournalDir: cfg.OutDir,
		UpstreamArgs: []string{"--service-time", "5ms"},
	})
	r.Fleet = f
	if err != nil {
		return r, fmt.Errorf("%s: %w", scenario, err)
	}
	if _, err := f.PutIntent(ctx, cfg.IntentYAML, "prove"); err != nil {
		return r, fmt.Errorf("%s: %w", scenario, err)
	}
	if err := f.WaitReady(ctx); err != nil {
		return r, fmt.Errorf("%s: %w", scenario, err)
	}
	return r, nil
}

// startLoad starts the callers and watchVersions, which run until the context ends.
func (r *Run) startLoad(ctx context.Context) {
	for n := range r.cfg.Callers {
		c := &caller{
			run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(n+1))),
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		}
		r.wg.Go(func() { c.sendOperations(ctx) })
	}
	r.wg.Go(func() { r.watchVersions(ctx) })
}

// watchVersions records the configuration version of each node until the context ends.
// The recorded name includes the incarnation, so that the checks treat a restarted node as
// a new one.
func (r *Run) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range r.Fleet.Instances {
			callCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			s, err := i.Operator().NodeStatus(callCtx, connect.NewRequest(&pb.NodeStatusRequest{}))
			cancel()
			if err != nil {
				continue
			}
			name := fmt.Sprintf("%s/%d", i.Name, s.Msg.Member.GetIncarnation())
			r.History.AddVersionSample(history.VersionSample{Node: name, Version: s.Msg.ConfigVersion, At: time.Now()})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// collect waits for the callers and watchVersions, then adds the executions in the journals
// of all upstreams to the history.
func (r *Run) collect() error {
	r.wg.Wait()
	for _, i := range r.Fleet.Instances {
		entries, err := journal.Read(filepath.Join(r.cfg.OutDir, i.Name+".journal"))
		if err != nil {
			return err
		}
		for _, e := range entries {
			r.History.AddExecution(history.Execution{Upstream: i.Name, RequestID: e.RequestID, Operation: e.Operation, Start: e.Start()})
		}
	}
	return nil
}

// Report is the result of one scenario.
type Report struct {
	Scenario   string
	Attempts   int
	Successful int
	Executions int
	Faults     map[string]int
	Violations []history.Violation
	// Notes are further results to print.
	Notes []string
}

// report checks the history with the given rules. A run without a successful attempt is a
// violation, too.
func (r *Run) report(scenario string, rules ...func() []history.Violation) *Report {
	rep := &Report{
		Scenario: scenario, Attempts: len(r.History.Attempts), Executions: len(r.History.Executions), Faults: r.History.Faults,
	}
	for i := range r.History.Attempts {
		if r.History.Attempts[i].Success() {
			rep.Successful++
		}
	}
	for _, rule := range rules {
		rep.Violations = append(rep.Violations, rule()...)
	}
	if rep.Successful == 0 {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "progress", Detail: errNoProgress.Error()})
	}
	return rep
}

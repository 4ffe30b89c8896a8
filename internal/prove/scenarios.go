package prove

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/history"
	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
	"github.com/mulberrytray/mulberrytray/internal/standin/upstream"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

const (
	// lateStartBound is the time after which a stopping upstream must not start requests.
	lateStartBound = 3 * time.Second
	// convergeBound is the time within which a version must be in effect at all nodes.
	convergeBound = 8 * time.Second
	// maxCrashes is the number of upstreams that one request may crash.
	maxCrashes = 2
	// setupTimeout bounds the start of a fleet and the wait for readiness after a restart.
	setupTimeout = 60 * time.Second
	// stopTimeout bounds a graceful stop of one process.
	stopTimeout = 30 * time.Second
)

// Scenario is a sequence of faults under load, with the checks that follow.
type Scenario struct {
	Name string
	Run  func(context.Context, *Run) (*Report, error)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"faults", faults}, {"rolling", rolling}, {"leave", leave}, {"operators", operators}, {"crash", crash},
	}
}

// Execute starts a new fleet, runs the scenario on it and stops the fleet.
func Execute(ctx context.Context, cfg Config, s Scenario) (*Report, error) {
	cfg.OutDir = filepath.Join(cfg.OutDir, s.Name)
	if err := os.MkdirAll(cfg.OutDir, 0o755); err != nil {
		return nil, err
	}
	parsed, err := intent.Parse([]byte(cfg.IntentYAML))
	if err != nil {
		return nil, err
	}
	setupCtx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	// If start fails, the processes that it started still have to be stopped.
	r, err := start(setupCtx, cfg, s.Name)
	defer r.Fleet.Stop()
	if err != nil {
		return nil, err
	}
	r.plainService, r.tokenService = parsed.Services[0].Name, parsed.Services[1].Name
	for _, rank := range parsed.Ranks {
		r.ranks = append(r.ranks, rank.Name)
	}
	return s.Run(ctx, r)
}

// faults injects kills, freezes and log outages under load.
func faults(ctx context.Context, r *Run) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.startLoad(ctx)
	if err := r.injectFaults(ctx); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	h := r.History
	return r.report("faults", h.NoFalseNotRun, h.AtMostOnce, h.ResponsesMatch, h.VersionsNeverDecrease), nil
}

// rolling restarts every upstream and every node in turn under load.
func rolling(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.startLoad(loadCtx)
	for _, i := range r.Fleet.Instances {
		if err := r.replace(ctx, i); err != nil {
			return nil, err
		}
	}
	stopLoad()
	if err := r.collect(); err != nil {
		return nil, err
	}
	h := r.History
	return r.report("rolling", h.NoInterruptedAttempts, h.NoFalseNotRun, h.AtMostOnce, h.ResponsesMatch), nil
}

// replace stops and starts the upstream, then the node, and waits until the fleet is ready.
func (r *Run) replace(ctx context.Context, i *fleet.Instance) error {
	r.History.AddFault("replace upstream")
	if err := i.StopUpstream(stopTimeout); err != nil {
		return err
	}
	if err := r.Fleet.StartUpstream(i); err != nil {
		return err
	}
	r.History.AddFault("replace node")
	if err := i.StopNode(stopTimeout); err != nil {
		return err
	}
	if err := r.Fleet.StartNode(i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	return r.Fleet.WaitReady(ctx)
}

// leave stops every third upstream while the log is down and the node beside it is frozen.
func leave(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.startLoad(loadCtx)
	if err := r.setLogFaults(platformlog.Faults{Down: true}); err != nil {
		return nil, err
	}
	r.History.AddFault("log down")
	for n, i := range r.Fleet.Instances {
		if n%3 != 0 {
			continue
		}
		endFreeze := background(ctx, func(ctx context.Context) error { return r.freeze(ctx, i.Node) })
		r.History.AddFault("freeze node")
		r.History.AddUpstreamStop(history.UpstreamStop{Upstream: i.Name, At: time.Now()})
		stopErr := i.StopUpstream(stopTimeout)
		if err := endFreeze(); err != nil {
			return nil, err
		}
		if stopErr != nil {
			return nil, stopErr
		}
	}
	pause(ctx, lateStartBound)
	stopLoad()
	if err := r.collect(); err != nil {
		return nil, err
	}
	h := r.History
	noLateStart := func() []history.Violation { return h.NoLateStarts(lateStartBound) }
	return r.report("leave", noLateStart, h.NoFalseNotRun, h.AtMostOnce, h.ResponsesMatch), nil
}

// operators lets several operators confirm proposals concurrently while log faults are
// injected.
func operators(ctx context.Context, r *Run) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.startLoad(ctx)
	stopFaults := background(ctx, func(ctx context.Context) error {
		for pause(ctx, r.randomDuration(500*time.Millisecond, time.Second)) {
			if err := r.injectLogFault(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	accepted := r.raceOperators(ctx)
	if err := stopFaults(); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	rep := r.report("operators", r.History.VersionsNeverDecrease, func() []history.Violation { return oneOperatorPerVersion(accepted) })
	waitCtx, cancelWait := context.WithTimeout(context.WithoutCancel(ctx), convergeBound)
	defer cancelWait()
	begin := time.Now()
	if err := r.Fleet.WaitVersion(waitCtx, highestVersion(accepted)); err != nil {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "in effect everywhere", Detail: err.Error()})
	}
	rep.Notes = append(rep.Notes, fmt.Sprintf("%d confirmations accepted; the highest version was in effect at all nodes %v after the last fault", len(accepted), time.Since(begin).Round(time.Millisecond)))
	return rep, nil
}

// acceptance is a confirmation that was reported to its operator as accepted.
type acceptance struct {
	operator string
	version  uint64
}

// raceOperators runs concurrent operators until the context ends and returns the accepted
// confirmations.
func (r *Run) raceOperators(ctx context.Context) []acceptance {
	const operatorCount = 4
	var mu sync.Mutex
	var accepted []acceptance
	var wg sync.WaitGroup
	for n := range operatorCount {
		name := fmt.Sprintf("operator-%d", n)
		op := r.Fleet.Instances[n].Operator()
		wg.Go(func() {
			for ctx.Err() == nil {
				p, err := op.Propose(ctx, connect.NewRequest(&pb.ProposeRequest{IntentYaml: r.cfg.IntentYAML, Operator: name}))
				if err != nil {
					pause(ctx, 100*time.Millisecond)
					continue
				}
				c, err := op.Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{ProposalId: p.Msg.ProposalId, PlanDigest: p.Msg.PlanDigest, Operator: name}))
				if err == nil && c.Msg.Accepted {
					mu.Lock()
					accepted = append(accepted, acceptance{name, c.Msg.Version})
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return accepted
}

// oneOperatorPerVersion checks that no two accepted confirmations have the same version.
func oneOperatorPerVersion(accepted []acceptance) []history.Violation {
	operatorOf := map[uint64]string{}
	var out []history.Violation
	for _, a := range accepted {
		if other, ok := operatorOf[a.version]; ok {
			out = append(out, history.Violation{Rule: "one winner", Detail: fmt.Sprintf("version %d was accepted from both %s and %s", a.version, other, a.operator)})
		}
		operatorOf[a.version] = a.operator
	}
	return out
}

func highestVersion(accepted []acceptance) uint64 {
	var v uint64
	for _, a := range accepted {
		v = max(v, a.version)
	}
	return v
}

// crash sends a request that crashes each upstream that runs it, several times through
// random nodes, while other callers send normal requests. At most maxCrashes upstreams may
// crash, and no other request may be rejected as quarantined.
func crash(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.startLoad(loadCtx)
	crashCaller := &caller{run: r, rng: r.rng, client: &http.Client{}}
	op := &operation{
		method: http.MethodGet, service: r.plainService, rank: r.ranks[0], id: uuid.NewString(), idempotent: true,
		header: http.Header{upstream.HeaderCrash: {"1"}},
	}
	const attempts = 20
	for range attempts {
		crashCaller.attempt(op)
		pause(ctx, r.randomDuration(0, 100*time.Millisecond))
	}
	crashed := 0
	for _, i := range r.Fleet.Instances {
		if !i.Upstream.Running() {
			crashed++
		}
	}
	r.History.AddFault("crashing request")
	afterCrash := time.Now()
	pause(ctx, time.Second)
	stopLoad()
	if err := r.collect(); err != nil {
		return nil, err
	}
	rep := r.report("crash", r.History.NoFalseNotRun, r.History.AtMostOnce, r.History.ResponsesMatch)
	rep.Notes = append(rep.Notes, fmt.Sprintf("%d attempts of the crashing request crashed %d upstreams", attempts, crashed))
	if crashed > maxCrashes {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "crash", Detail: fmt.Sprintf("%d upstreams crashed, more than the limit of %d", crashed, maxCrashes)})
	}
	blocked := 0
	for _, a := range r.History.Attempts {
		if a.Operation != op.id && a.Start.After(afterCrash) && a.Reason == "quarantined" {
			blocked++
		}
	}
	if blocked > 0 {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "innocent blocked", Detail: fmt.Sprintf("%d other requests were rejected as quarantined after the last crash", blocked)})
	}
	return rep, nil
}

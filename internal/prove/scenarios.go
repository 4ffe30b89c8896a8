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
	// leaveBound is the time after which a leaving upstream starts no new work.
	leaveBound = 3 * time.Second
	// convergeBound is the time within which a version is in effect everywhere.
	convergeBound = 8 * time.Second
	// maxCrashes that one request may cause in the fleet.
	maxCrashes = 2
	// setupLimit bounds the start of a fleet.
	setupLimit = 60 * time.Second
	// stopLimit bounds a graceful stop of one process in these runs.
	stopLimit = 30 * time.Second
)

// Scenario is one kind of run.
type Scenario struct {
	Name string
	Run  func(context.Context, *Run) (*Report, error)
}

// Scenarios lists all kinds of runs.
func Scenarios() []Scenario {
	return []Scenario{
		{"faults", faults}, {"rolling", rolling}, {"leave", leave}, {"operators", operators}, {"crash", crash},
	}
}

// Execute runs a scenario on a fleet of its own.
func Execute(ctx context.Context, cfg Config, s Scenario) (*Report, error) {
	cfg.OutDir = filepath.Join(cfg.OutDir, s.Name)
	if err := os.MkdirAll(cfg.OutDir, 0o755); err != nil {
		return nil, err
	}
	in, err := intent.Parse([]byte(cfg.IntentYAML))
	if err != nil {
		return nil, err
	}
	setup, cancel := context.WithTimeout(ctx, setupLimit)
	defer cancel()
	r, err := start(setup, cfg, s.Name)
	defer r.Fleet.Stop()
	if err != nil {
		return nil, err
	}
	r.plainService, r.tokenService = in.Services[0].Name, in.Services[1].Name
	for _, rank := range in.Ranks {
		r.ranks = append(r.ranks, rank.Name)
	}
	return s.Run(ctx, r)
}

// faults injects kills, freezes and log outages under load.
func faults(ctx context.Context, r *Run) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.load(ctx)
	if err := r.disturb(ctx); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	h := r.History
	return r.report("faults", h.NotRunMeansNotRun, h.AtMostOnce, h.WholeAnswers, h.NeverReverts), nil
}

// rolling replaces every upstream and every node in turn under load.
func rolling(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.load(loadCtx)
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
	return r.report("rolling", h.NothingCut, h.NotRunMeansNotRun, h.AtMostOnce, h.WholeAnswers), nil
}

func (r *Run) replace(ctx context.Context, i *fleet.Instance) error {
	r.History.AddFault("replace upstream")
	if err := i.StopUpstream(stopLimit); err != nil {
		return err
	}
	if err := r.Fleet.StartUpstream(i); err != nil {
		return err
	}
	r.History.AddFault("replace node")
	if err := i.StopNode(stopLimit); err != nil {
		return err
	}
	if err := r.Fleet.StartNode(i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, setupLimit)
	defer cancel()
	return r.Fleet.WaitReady(ctx)
}

// leave tells upstreams to leave while the log is down and their node is frozen for a while.
func leave(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.load(loadCtx)
	if err := r.setLogFaults(platformlog.Faults{Down: true}); err != nil {
		return nil, err
	}
	r.History.AddFault("log down")
	for n, i := range r.Fleet.Instances {
		if n%3 != 0 {
			continue
		}
		thaw := background(ctx, func(ctx context.Context) error { return r.freeze(ctx, i.Node) })
		r.History.AddFault("freeze node")
		r.History.AddDeparture(history.Departure{Upstream: i.Name, At: time.Now()})
		stopped := i.StopUpstream(stopLimit)
		if err := thaw(); err != nil {
			return nil, err
		}
		if stopped != nil {
			return nil, stopped
		}
	}
	pause(ctx, leaveBound)
	stopLoad()
	if err := r.collect(); err != nil {
		return nil, err
	}
	h := r.History
	late := func() []history.Violation { return h.NoLateWork(leaveBound) }
	return r.report("leave", late, h.NotRunMeansNotRun, h.AtMostOnce, h.WholeAnswers), nil
}

// operators lets several operators race with the log failing now and then.
func operators(ctx context.Context, r *Run) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	r.load(ctx)
	stopFaults := background(ctx, func(ctx context.Context) error {
		for pause(ctx, r.between(500*time.Millisecond, time.Second)) {
			if err := r.breakLog(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	accepted := r.race(ctx)
	if err := stopFaults(); err != nil {
		return nil, err
	}
	if err := r.collect(); err != nil {
		return nil, err
	}
	rep := r.report("operators", r.History.NeverReverts, func() []history.Violation { return oneWinner(accepted) })
	wait, cancelWait := context.WithTimeout(context.WithoutCancel(ctx), convergeBound)
	defer cancelWait()
	begin := time.Now()
	if err := r.Fleet.WaitVersion(wait, highest(accepted)); err != nil {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "in effect everywhere", Detail: err.Error()})
	}
	rep.Notes = append(rep.Notes, fmt.Sprintf("%d confirmations accepted; in effect everywhere %v after the last fault", len(accepted), time.Since(begin).Round(time.Millisecond)))
	return rep, nil
}

// acceptance is a confirmation that an operator was told was accepted.
type acceptance struct {
	operator string
	version  uint64
}

func (r *Run) race(ctx context.Context) []acceptance {
	const operators = 4
	var mu sync.Mutex
	var accepted []acceptance
	var wg sync.WaitGroup
	for n := range operators {
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

// oneWinner checks that no version was won by two confirmations.
func oneWinner(accepted []acceptance) []history.Violation {
	winner := map[uint64]string{}
	var out []history.Violation
	for _, a := range accepted {
		if other, ok := winner[a.version]; ok {
			out = append(out, history.Violation{Rule: "one winner", Detail: fmt.Sprintf("version %d was won by %s and %s", a.version, other, a.operator)})
		}
		winner[a.version] = a.operator
	}
	return out
}

func highest(accepted []acceptance) uint64 {
	var v uint64
	for _, a := range accepted {
		v = max(v, a.version)
	}
	return v
}

// crash sends a request that ends each upstream that runs it, again and again,
// through random nodes, while others send innocent requests.
func crash(ctx context.Context, r *Run) (*Report, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.load(loadCtx)
	bad := &caller{run: r, rng: r.rng, client: &http.Client{}}
	op := &operation{
		method: http.MethodGet, service: r.plainService, rank: r.ranks[0], id: uuid.NewString(), idempotent: true,
		header: http.Header{upstream.HeaderCrash: {"1"}},
	}
	const sends = 20
	for range sends {
		bad.send(op)
		pause(ctx, r.between(0, 100*time.Millisecond))
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
	rep := r.report("crash", r.History.NotRunMeansNotRun, r.History.AtMostOnce, r.History.WholeAnswers)
	rep.Notes = append(rep.Notes, fmt.Sprintf("%d sends of the crashing request took down %d upstreams", sends, crashed))
	if crashed > maxCrashes {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "crash", Detail: fmt.Sprintf("%d upstreams went down, more than %d", crashed, maxCrashes)})
	}
	blocked := 0
	for _, s := range r.History.Sends {
		if s.Operation != op.id && s.Start.After(afterCrash) && s.Reason == "quarantined" {
			blocked++
		}
	}
	if blocked > 0 {
		rep.Violations = append(rep.Violations, history.Violation{Rule: "innocent blocked", Detail: fmt.Sprintf("%d innocent requests were refused after the last crash", blocked)})
	}
	return rep, nil
}

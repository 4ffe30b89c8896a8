package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
)

// between returns a random duration from the run's seed.
func (r *Run) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.rng.Int64N(int64(hi-lo)))
}

// pause sleeps or returns false if the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// disturb injects one random fault after another until the context ends, and
// repairs each of them.
func (r *Run) disturb(ctx context.Context) error {
	kinds := []func(context.Context) error{
		r.killNode, r.killUpstream, r.freezeNode, r.freezeUpstream, r.breakLog, r.killVM,
	}
	for pause(ctx, r.between(300*time.Millisecond, 900*time.Millisecond)) {
		if err := kinds[r.rng.IntN(len(kinds))](ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) instance() *fleet.Instance {
	return r.Fleet.Instances[r.rng.IntN(len(r.Fleet.Instances))]
}

func (r *Run) killNode(ctx context.Context) error {
	i := r.instance()
	r.History.AddFault("kill node")
	i.Node.Kill()
	pause(ctx, r.between(0, time.Second))
	return r.Fleet.StartNode(i)
}

func (r *Run) killUpstream(ctx context.Context) error {
	i := r.instance()
	r.History.AddFault("kill upstream")
	i.Upstream.Kill()
	pause(ctx, r.between(0, time.Second))
	return r.Fleet.StartUpstream(i)
}

// killVM kills a node and its upstream together.
func (r *Run) killVM(ctx context.Context) error {
	i := r.instance()
	r.History.AddFault("kill VM")
	i.Node.Kill()
	i.Upstream.Kill()
	pause(ctx, r.between(0, time.Second))
	if err := r.Fleet.StartNode(i); err != nil {
		return err
	}
	return r.Fleet.StartUpstream(i)
}

func (r *Run) freezeNode(ctx context.Context) error {
	r.History.AddFault("freeze node")
	return r.freeze(ctx, r.instance().Node)
}

func (r *Run) freezeUpstream(ctx context.Context) error {
	r.History.AddFault("freeze upstream")
	return r.freeze(ctx, r.instance().Upstream)
}

func (r *Run) freeze(ctx context.Context, p *fleet.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("freeze %s: %w", p.Name, err)
	}
	pause(ctx, r.between(50*time.Millisecond, 4*time.Second))
	return p.Signal(syscall.SIGCONT)
}

func (r *Run) breakLog(ctx context.Context) error {
	faults := []platformlog.Faults{{Down: true}, {DelayMs: 1500}, {LoseAppendAnswers: true}}
	r.History.AddFault("break log")
	if err := r.setLogFaults(faults[r.rng.IntN(len(faults))]); err != nil {
		return err
	}
	pause(ctx, r.between(500*time.Millisecond, 3*time.Second))
	return r.setLogFaults(platformlog.Faults{})
}

func (r *Run) setLogFaults(f platformlog.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, r.Fleet.LogURL()+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return fmt.Errorf("log faults: %w", err)
	}
	return resp.Body.Close()
}

// background runs f until the returned function is called; that returns f's error.
func background(ctx context.Context, f func(context.Context) error) (stop func() error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var err error
	wg.Go(func() { err = f(ctx) })
	return func() error {
		cancel()
		wg.Wait()
		return err
	}
}

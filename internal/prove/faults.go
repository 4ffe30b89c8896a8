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

// randomDuration returns a duration in [lo, hi) from the run's random source.
func (r *Run) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.rng.Int64N(int64(hi-lo)))
}

// pause sleeps for d. It returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// injectFaults injects one random fault after another until the context ends, and ends
// each before the next.
func (r *Run) injectFaults(ctx context.Context) error {
	kinds := []func(context.Context) error{
		r.killNode, r.killUpstream, r.freezeNode, r.freezeUpstream, r.injectLogFault, r.killVM,
	}
	for pause(ctx, r.randomDuration(300*time.Millisecond, 900*time.Millisecond)) {
		if err := kinds[r.rng.IntN(len(kinds))](ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) randomInstance() *fleet.Instance {
	return r.Fleet.Instances[r.rng.IntN(len(r.Fleet.Instances))]
}

func (r *Run) killNode(ctx context.Context) error {
	i := r.randomInstance()
	r.History.AddFault("kill node")
	i.Node.Kill()
	pause(ctx, r.randomDuration(0, time.Second))
	return r.Fleet.StartNode(i)
}

func (r *Run) killUpstream(ctx context.Context) error {
	i := r.randomInstance()
	r.History.AddFault("kill upstream")
	i.Upstream.Kill()
	pause(ctx, r.randomDuration(0, time.Second))
	return r.Fleet.StartUpstream(i)
}

// killVM kills a node and its upstream together.
func (r *Run) killVM(ctx context.Context) error {
	i := r.randomInstance()
	r.History.AddFault("kill VM")
	i.Node.Kill()
	i.Upstream.Kill()
	pause(ctx, r.randomDuration(0, time.Second))
	if err := r.Fleet.StartNode(i); err != nil {
		return err
	}
	return r.Fleet.StartUpstream(i)
}

func (r *Run) freezeNode(ctx context.Context) error {
	r.History.AddFault("freeze node")
	return r.freeze(ctx, r.randomInstance().Node)
}

func (r *Run) freezeUpstream(ctx context.Context) error {
	r.History.AddFault("freeze upstream")
	return r.freeze(ctx, r.randomInstance().Upstream)
}

func (r *Run) freeze(ctx context.Context, p *fleet.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("freeze %s: %w", p.Name, err)
	}
	pause(ctx, r.randomDuration(50*time.Millisecond, 4*time.Second))
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return fmt.Errorf("resume %s: %w", p.Name, err)
	}
	return nil
}

func (r *Run) injectLogFault(ctx context.Context) error {
	faults := []platformlog.Faults{{Down: true}, {DelayMs: 1500}, {LoseAppendResponses: true}}
	r.History.AddFault("break log")
	if err := r.setLogFaults(faults[r.rng.IntN(len(faults))]); err != nil {
		return err
	}
	pause(ctx, r.randomDuration(500*time.Millisecond, 3*time.Second))
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
		return fmt.Errorf("set faults of the platform log: %w", err)
	}
	return resp.Body.Close()
}

// background runs f in a goroutine. stop cancels f's context, waits for f and returns its
// error.
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

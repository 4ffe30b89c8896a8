// Package probing requests the load of upstreams that have sent no recent update.
// The rate of probes has a hard limit.
package probing

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Prober requests the load of the upstream of one node. Implementations are safe for
// concurrent use and respect the context's deadline.
type Prober interface {
	ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error)
}

// Target is an upstream without a recent load update.
type Target struct {
	NodeID      string
	Address     string
	Incarnation uint64
	// LastUpdate is the time of the last update; zero if there was none.
	LastUpdate time.Time
}

// Config holds the settings of a Runner. The functions are called from its goroutines.
type Config struct {
	// Rate returns the probes per second that this node may send. At zero or less it
	// sends none.
	Rate func() float64
	// Targets returns the upstreams to be probed, in any order.
	Targets func() []Target
	// Report receives the load of an upstream.
	Report func(Target, *pb.Load)
	// Timeout of one probe. Default 500 ms.
	Timeout time.Duration
	// Registry receives the metrics. Default: a new registry.
	Registry metrics.Registry
}

const (
	defaultTimeout = 500 * time.Millisecond
	// recheckInterval is the maximum delay until a change of the rate or of the
	// targets takes effect.
	recheckInterval = 100 * time.Millisecond
	// maxOutstanding bounds the probes that wait for a response. Each has a goroutine.
	maxOutstanding = 64
)

// Rate returns the probes per second of one node: an equal fraction of the fleet's
// budget, or 0 if the number of nodes is not set.
func Rate(p intent.Probing) float64 {
	if p.MaxNodes <= 0 {
		return 0
	}
	return p.FleetProbesPerSecond / float64(p.MaxNodes)
}

// Runner sends probes, at most rate*T + 1 in any window of length T, regardless of
// whether nodes respond. Run may be called once.
type Runner struct {
	cfg      Config
	prober   Prober
	epoch    time.Time
	selector *targetSelector
	metrics  *runnerMetrics
}

// New returns a runner that is not running.
func New(cfg Config, p Prober) *Runner {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Runner{cfg: cfg, prober: p, epoch: time.Now(), selector: newTargetSelector(), metrics: newRunnerMetrics(cfg.Registry)}
}

// Run sends probes until the context ends, then waits for outstanding ones. The
// bucket starts empty, so that a node that restarts often does not exceed its rate.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	b := &bucket{last: r.now()}
	for ctx.Err() == nil {
		if wait := r.wait(b); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		t, ok := r.selector.next(r.cfg.Targets())
		if !ok {
			sleep(ctx, recheckInterval)
			continue
		}
		// The rate may have fallen to zero during a long selection.
		if r.wait(b) > 0 {
			r.selector.release(t)
			continue
		}
		spent := make(chan struct{})
		wg.Go(func() {
			defer r.selector.release(t)
			b.spend(r.now())
			close(spent)
			r.probe(ctx, t)
		})
		<-spent
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.epoch) }

// wait returns the time until the next probe may be sent, at most recheckInterval.
func (r *Runner) wait(b *bucket) time.Duration {
	rate := r.cfg.Rate()
	b.refill(r.now(), rate)
	return b.wait(recheckInterval)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *Runner) probe(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	req := &pb.ProbeLoadRequest{TargetIncarnation: t.Incarnation}
	r.metrics.sent.Inc(1)
	r.metrics.bytes.Inc(int64(proto.Size(req)))
	began := time.Now()
	resp, err := r.prober.ProbeLoad(ctx, t.Address, req)
	r.metrics.duration.Update(time.Since(began).Nanoseconds())
	if err != nil {
		r.metrics.failed.Inc(1)
		return
	}
	r.metrics.bytes.Inc(int64(proto.Size(resp)))
	if resp.Load == nil {
		r.metrics.failed.Inc(1)
		return
	}
	r.cfg.Report(t, resp.Load)
}

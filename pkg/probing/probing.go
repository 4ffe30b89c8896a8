// Package probing asks upstreams for their load when nothing recent is known of
// them, within a hard budget.
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

// Prober asks one node for the load of its upstream. Implementations are safe
// for concurrent use and honour the context's deadline.
type Prober interface {
	ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error)
}

// Target is an upstream of which no recent load is known.
type Target struct {
	NodeID      string
	Address     string
	Incarnation uint64
	// Known is the time of the newest information; zero if there is none.
	Known time.Time
}

// Config holds the parts of a Runner. Functions are called from its goroutines.
type Config struct {
	// Rate returns the probes per second that this node may send; none if not positive.
	Rate func() float64
	// Targets returns the upstreams worth probing, in any order.
	Targets func() []Target
	// Report takes the load of an upstream.
	Report func(Target, *pb.Load)
	// Timeout of one probe. Default 500 ms.
	Timeout time.Duration
	// Registry takes the metrics of the cost. Default: a new one.
	Registry metrics.Registry
}

const (
	defaultTimeout = 500 * time.Millisecond
	// recheck is the longest time until a change of the rate or of the targets is seen.
	recheck = 100 * time.Millisecond
	// maxOutstanding bounds the goroutines of unanswered probes.
	maxOutstanding = 64
)

// Rate returns the share of one node in the fleet's budget. Without a number of
// nodes there is no share.
func Rate(p intent.Probing) float64 {
	if p.MaxNodes <= 0 {
		return 0
	}
	return p.FleetProbesPerSecond / float64(p.MaxNodes)
}

// Runner sends probes, at most rate*T + 1 in any window of length T, whether
// answers come or not. Run may be called once.
type Runner struct {
	cfg    Config
	prober Prober
	epoch  time.Time
	queue  *queue
	meters *meters
}

// New returns a runner that is not running.
func New(cfg Config, p Prober) *Runner {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	return &Runner{cfg: cfg, prober: p, epoch: time.Now(), queue: newQueue(), meters: newMeters(cfg.Registry)}
}

// Run sends probes until the context ends, then waits for outstanding ones. The
// bucket starts empty, so that a node that restarts often gains no probes by it.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	b := &bucket{last: r.now()}
	for ctx.Err() == nil {
		if wait := r.wait(b); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		t, ok := r.queue.next(r.cfg.Targets())
		if !ok {
			sleep(ctx, recheck)
			continue
		}
		// Choosing may have taken long, and the rate may have fallen to nothing since.
		if r.wait(b) > 0 {
			r.queue.release(t)
			continue
		}
		sent := make(chan struct{})
		wg.Go(func() {
			defer r.queue.release(t)
			b.spend(r.now())
			close(sent)
			r.probe(ctx, t)
		})
		<-sent
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.epoch) }

// wait returns the time for which no probe may be sent.
func (r *Runner) wait(b *bucket) time.Duration {
	rate := r.cfg.Rate()
	b.refill(r.now(), rate)
	return b.wait(recheck)
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
	r.meters.sent.Inc(1)
	r.meters.bytes.Inc(int64(proto.Size(req)))
	began := time.Now()
	resp, err := r.prober.ProbeLoad(ctx, t.Address, req)
	r.meters.duration.Update(time.Since(began).Nanoseconds())
	if err != nil {
		r.meters.failed.Inc(1)
		return
	}
	r.meters.bytes.Inc(int64(proto.Size(resp)))
	if resp.Load == nil {
		r.meters.failed.Inc(1)
		return
	}
	r.cfg.Report(t, resp.Load)
}

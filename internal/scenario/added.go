package scenario

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/loadgen"
)

// AddedLatency compares the latency of calls through the system with that of direct
// calls. Latencies are in milliseconds.
type AddedLatency struct {
	// Rate is the number of calls per second.
	Rate                       float64
	DirectP50, DirectP99       float64
	ForwardedP50, ForwardedP99 float64
	// CPUPercent is the processor time of the entry node, in percent of a core.
	CPUPercent float64
	// RSSBytes is the resident memory of the entry node after the run.
	RSSBytes int64
}

// P50 returns the added latency at the median.
func (a AddedLatency) P50() float64 { return a.ForwardedP50 - a.DirectP50 }

// P99 returns the added latency at the 99th percentile.
func (a AddedLatency) P99() float64 { return a.ForwardedP99 - a.DirectP99 }

// directForwardedSlices is the number of slices of direct and of forwarded calls.
// They alternate so that both are exposed to the same noise of the machine.
const directForwardedSlices = 4

// MeasureAddedLatency compares calls through one entry node with direct calls at the
// given rate, in calls per second.
func (r *Runner) MeasureAddedLatency(ctx context.Context, rate float64) (AddedLatency, error) {
	entry := r.fleet.Instances[len(r.fleet.Instances)-1]
	var upstreams []string
	for _, i := range r.fleet.ServiceInstances(r.service) {
		upstreams = append(upstreams, i.UpstreamURL())
	}
	rank := r.intent.Ranks[0]
	class := []loadgen.Class{{
		Name: rank.Name, Service: r.service, Rank: rank.Name, Method: http.MethodGet, Path: "/",
		Rate: rate, Timeout: time.Second, TargetLatency: rank.Target(),
	}}
	direct := loadgen.NewBaseline(r.client, upstreams, 1, loadgen.RoundRobin)
	forwarded := &loadgen.System{Client: r.client, EntryURLs: []string{entry.CallerURL()}}
	slice := r.cfg.Duration / directForwardedSlices
	before, err := entry.Node.Usage()
	if err != nil {
		return AddedLatency{}, err
	}
	var directResult, forwardedResult *loadgen.Result
	for n := range directForwardedSlices {
		seed := r.cfg.Seed + uint64(n)
		directResult = merge(directResult, loadgen.Run(ctx, seed, slice, class, direct)[0])
		forwardedResult = merge(forwardedResult, loadgen.Run(ctx, seed, slice, class, forwarded)[0])
	}
	after, err := entry.Node.Usage()
	if err != nil {
		return AddedLatency{}, err
	}
	if forwardedResult.OK < forwardedResult.Sent*99/100 {
		return AddedLatency{}, fmt.Errorf("only %d of %d calls through the system succeeded: %v", forwardedResult.OK, forwardedResult.Sent, forwardedResult.Reasons)
	}
	return AddedLatency{
		Rate: rate, DirectP50: directResult.PercentileMs(50), DirectP99: directResult.PercentileMs(99),
		ForwardedP50: forwardedResult.PercentileMs(50), ForwardedP99: forwardedResult.PercentileMs(99),
		CPUPercent: 100 * (after.CPU - before.CPU).Seconds() / (slice * directForwardedSlices).Seconds(),
		RSSBytes:   after.RSSBytes,
	}, nil
}

// merge adds latencies, sent and successful requests of b to a and returns a, or
// returns b if a is nil.
func merge(a, b *loadgen.Result) *loadgen.Result {
	if a == nil {
		return b
	}
	a.Latency.Merge(b.Latency)
	a.Sent += b.Sent
	a.OK += b.OK
	return a
}

// IdleUsage is the resource usage of the nodes of a fleet without load.
type IdleUsage struct {
	Nodes int
	// CPUPercent, in percent of a core, and RSSBytes are means per node.
	CPUPercent float64
	RSSBytes   int64
}

// MeasureIdle measures the fleet without load for the configured duration.
func (r *Runner) MeasureIdle(ctx context.Context) (IdleUsage, error) {
	before, err := totalUsage(r.fleet)
	if err != nil {
		return IdleUsage{}, err
	}
	select {
	case <-ctx.Done():
		return IdleUsage{}, ctx.Err()
	case <-time.After(r.cfg.Duration):
	}
	after, err := totalUsage(r.fleet)
	if err != nil {
		return IdleUsage{}, err
	}
	n := len(r.fleet.Instances)
	return IdleUsage{
		Nodes:      n,
		CPUPercent: 100 * (after.CPU - before.CPU).Seconds() / r.cfg.Duration.Seconds() / float64(n),
		RSSBytes:   after.RSSBytes / int64(n),
	}, nil
}

// totalUsage returns the sum of the usage of all nodes.
func totalUsage(f *fleet.Fleet) (fleet.Usage, error) {
	var sum fleet.Usage
	for _, i := range f.Instances {
		u, err := i.Node.Usage()
		if err != nil {
			return sum, err
		}
		sum.CPU += u.CPU
		sum.RSSBytes += u.RSSBytes
	}
	return sum, nil
}

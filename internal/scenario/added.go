package scenario

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/loadgen"
)

// Added is the latency that the system adds to a call, in milliseconds.
type Added struct {
	Rate                   float64
	DirectP50, DirectP99   float64
	ThroughP50, ThroughP99 float64
	// CPUPercent of a core that the entry node and the sidecar's node used together.
	CPUPercent float64
	RSSBytes   int64
}

// P50 returns the added latency at the median.
func (a Added) P50() float64 { return a.ThroughP50 - a.DirectP50 }

// P99 returns the added latency at the 99th percentile.
func (a Added) P99() float64 { return a.ThroughP99 - a.DirectP99 }

// addedSlices is the number of times that direct and forwarded calls alternate,
// so that both see the same noise of the machine.
const addedSlices = 4

// MeasureAdded compares calls through one entry node with direct calls, in turns, at the
// rate given.
func (r *Runner) MeasureAdded(ctx context.Context, rate float64) (Added, error) {
	entry := r.fleet.Instances[len(r.fleet.Instances)-1]
	var upstreams []string
	for _, i := range r.fleet.OfService(r.service) {
		upstreams = append(upstreams, i.UpstreamURL())
	}
	rank := r.intent.Ranks[0]
	class := []loadgen.Class{{
		Name: rank.Name, Service: r.service, Rank: rank.Name, Method: http.MethodGet, Path: "/",
		Rate: rate, Timeout: time.Second, Target: rank.Target(),
	}}
	direct := loadgen.NewBaseline(r.client, upstreams, 1, loadgen.RoundRobin)
	through := &loadgen.System{Client: r.client, Entries: []string{entry.CallerURL()}}
	slice := r.cfg.Duration / addedSlices
	before, err := entry.Node.Usage()
	if err != nil {
		return Added{}, err
	}
	var d, t *loadgen.Result
	for n := range addedSlices {
		seed := r.cfg.Seed + uint64(n)
		d = merge(d, loadgen.Run(ctx, seed, slice, class, direct)[0])
		t = merge(t, loadgen.Run(ctx, seed, slice, class, through)[0])
	}
	after, err := entry.Node.Usage()
	if err != nil {
		return Added{}, err
	}
	if t.OK < t.Sent*99/100 {
		return Added{}, fmt.Errorf("only %d of %d calls were answered: %v", t.OK, t.Sent, t.Reasons)
	}
	return Added{
		Rate: rate, DirectP50: d.Quantile(50), DirectP99: d.Quantile(99),
		ThroughP50: t.Quantile(50), ThroughP99: t.Quantile(99),
		CPUPercent: 100 * (after.CPU - before.CPU).Seconds() / (slice * addedSlices).Seconds(),
		RSSBytes:   after.RSSBytes,
	}, nil
}

func merge(a, b *loadgen.Result) *loadgen.Result {
	if a == nil {
		return b
	}
	a.Latency.Merge(b.Latency)
	a.Sent += b.Sent
	a.OK += b.OK
	return a
}

// Idle is what the nodes of a fleet without load use.
type Idle struct {
	Nodes int
	// CPUPercent of a core and RSSBytes are means per node.
	CPUPercent float64
	RSSBytes   int64
}

// MeasureIdle watches the fleet without load.
func (r *Runner) MeasureIdle(ctx context.Context) (Idle, error) {
	before, err := total(r.fleet)
	if err != nil {
		return Idle{}, err
	}
	select {
	case <-ctx.Done():
		return Idle{}, ctx.Err()
	case <-time.After(r.cfg.Duration):
	}
	after, err := total(r.fleet)
	if err != nil {
		return Idle{}, err
	}
	n := len(r.fleet.Instances)
	return Idle{
		Nodes:      n,
		CPUPercent: 100 * (after.CPU - before.CPU).Seconds() / r.cfg.Duration.Seconds() / float64(n),
		RSSBytes:   after.RSSBytes / int64(n),
	}, nil
}

func total(f *fleet.Fleet) (fleet.Usage, error) {
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

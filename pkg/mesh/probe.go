package mesh

import (
	"context"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

const (
	// downProbe is how often an upstream that takes no connections is tried.
	downProbe = 300 * time.Millisecond
	// probePeriod is the least time between two probes, unless the settings allow
	// fewer.
	probePeriod = 50 * time.Millisecond
	// paceLimit is the age of the pace from which the upstream is asked for it: the
	// users' VMs change their pace within 300 ms.
	paceLimit = 100 * time.Millisecond
	// stalledPaceLimit is that age while requests wait for the end of a stall: each
	// millisecond until the end is known is one more of waiting.
	stalledPaceLimit = 30 * time.Millisecond
)

// probe asks the upstream for its id when the node starts beside it, for its pace
// when no answer has told it lately, and whether it is back when it was down.
func (n *Node) probe(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.installed:
	}
	known := false
	for ctx.Err() == nil {
		path := n.ingress.Table().Services[n.settings.Service].HealthPath
		if path != "" && (!known || n.sidecar.Down() || n.sidecar.PaceAge() > n.paceLimit()) {
			known = n.probeOnce(ctx, path, known) || known
		}
		pause := n.probePause()
		if !known || n.sidecar.Down() {
			pause = max(pause, downProbe)
		}
		sleep(ctx, pause)
	}
}

// paceLimit returns the age from which the upstream is asked for its pace.
func (n *Node) paceLimit() time.Duration {
	if n.sidecar.Stalled() {
		return stalledPaceLimit
	}
	return paceLimit
}

// probeOnce reports whether the upstream answered.
func (n *Node) probeOnce(ctx context.Context, path string, known bool) bool {
	ctx, cancel := context.WithTimeout(ctx, downProbe)
	defer cancel()
	err := n.sidecar.Probe(ctx, path, n.settings.UpstreamAddress)
	if err != nil && !known {
		n.ports.Events.Emit(event.ProbeFailed, event.Fields{"error": err.Error()})
	}
	return err == nil
}

// probePause keeps the probes within the rate of the settings.
func (n *Node) probePause() time.Duration {
	if n.settings.ProbesPerSecond <= 0 {
		return probePeriod
	}
	return max(probePeriod, time.Duration(float64(time.Second)/n.settings.ProbesPerSecond))
}

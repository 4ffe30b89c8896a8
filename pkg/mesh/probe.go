package mesh

import (
	"context"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

const (
	// downProbeInterval is the time between two probes of an upstream that accepts no
	// connections, and the time limit of one probe.
	downProbeInterval = 300 * time.Millisecond
	// minProbeInterval is the minimum time between two probes. The settings may require a
	// longer one.
	minProbeInterval = 50 * time.Millisecond
	// maxSlowdownAge is the age of the reported slowdown above which the upstream is probed.
	// The slowdown of the users' VMs changes within 300 ms.
	maxSlowdownAge = 100 * time.Millisecond
	// maxStalledSlowdownAge replaces maxSlowdownAge while requests are deferred until the end
	// of a stall: each millisecond until the end is detected delays them by another
	// millisecond.
	maxStalledSlowdownAge = 30 * time.Millisecond
)

// probe requests the upstream's health path until the context ends: after the node's start
// to get the upstream's id, when no recent response has reported the slowdown, while the
// upstream is down to detect when it is up again, and if its service has a cold rate to learn
// whether it is cold. It leaves the upstream alone while that must not be used because of an
// evacuation.
func (n *Node) probe(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.installed:
	}
	responded := false
	for ctx.Err() == nil {
		path := n.ingress.Table().Services[n.settings.Service].HealthPath
		if path != "" && !n.sidecar.Evacuated() && n.probeDue(responded) {
			responded = n.probeOnce(ctx, path, responded) || responded
		}
		pause := n.probePause()
		if (!responded || n.sidecar.Down()) && !n.sidecar.Evacuated() {
			pause = max(pause, downProbeInterval)
		}
		sleep(ctx, pause)
	}
}

// probeDue reports whether the upstream should be probed now.
func (n *Node) probeDue(responded bool) bool {
	return !responded || n.sidecar.Down() || n.sidecar.SlowdownAge() > n.slowdownAgeLimit() || n.sidecar.ColdProbeDue()
}

// slowdownAgeLimit returns maxStalledSlowdownAge during a stall, and maxSlowdownAge otherwise.
func (n *Node) slowdownAgeLimit() time.Duration {
	if n.sidecar.Stalled() {
		return maxStalledSlowdownAge
	}
	return maxSlowdownAge
}

// probeOnce reports whether the upstream responded. A failure is logged only if the
// upstream has not responded before.
func (n *Node) probeOnce(ctx context.Context, path string, responded bool) bool {
	ctx, cancel := context.WithTimeout(ctx, downProbeInterval)
	defer cancel()
	err := n.sidecar.Probe(ctx, path, n.settings.UpstreamAddress)
	if err != nil && !responded {
		n.deps.Events.Emit(event.ProbeFailed, event.Fields{"error": err.Error()})
	}
	return err == nil
}

// probePause returns the pause between two probes that the rate in the settings allows.
func (n *Node) probePause() time.Duration {
	if n.settings.ProbesPerSecond <= 0 {
		return minProbeInterval
	}
	return max(minProbeInterval, time.Duration(float64(time.Second)/n.settings.ProbesPerSecond))
}

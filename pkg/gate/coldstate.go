package gate

import "time"

const (
	// ColdProbeInterval is the time between two health checks that are made only to learn
	// whether the upstream is cold. An upstream may become cold at any moment, and a health check
	// costs one request on the VM itself, without work and without traffic between VMs.
	ColdProbeInterval = 500 * time.Millisecond
	// healthPrecedence is how long a heartbeat cannot end the cold state after the state was
	// assumed or a health response has reported it: the heartbeat may be older. It leaves time for
	// two health checks.
	healthPrecedence = 2 * ColdProbeInterval
)

// ColdState is what is known of whether an upstream is cold. An upstream is cold until a message
// says otherwise. The zero value is that of an upstream that is assumed to be cold from the time 0.
type ColdState struct {
	warm bool
	// since is when the upstream became cold or was assumed to be.
	since time.Duration
	// remaining is the last reported time for which the upstream stays cold, or 0.
	remaining  time.Duration
	reportedAt time.Duration
	// healthAt is when a health response last reported that the upstream is cold.
	healthAt time.Duration
	// probedAt is when the last health check was sent, if probed is set.
	probedAt time.Duration
	probed   bool
}

// Cold reports whether the upstream counts as cold.
func (c *ColdState) Cold() bool { return !c.warm }

// Since returns when the upstream last became cold or was assumed to be.
func (c *ColdState) Since() time.Duration { return c.since }

// Remaining returns the time for which the upstream stays cold by its last report, or 0 if it has
// not reported any or the time has passed.
func (c *ColdState) Remaining(now time.Duration) time.Duration {
	if c.warm {
		return 0
	}
	return max(0, c.remaining-(now-c.reportedAt))
}

// Assume makes the upstream count as cold until a later message says otherwise.
func (c *ColdState) Assume(now time.Duration) {
	c.warm, c.since, c.remaining = false, now, 0
}

// ProbeSent records that a health check is sent.
func (c *ColdState) ProbeSent(now time.Duration) { c.probedAt, c.probed = now, true }

// RequestProbe makes a health check due at once: the upstream may have started anew.
func (c *ColdState) RequestProbe() { c.probed = false }

// ProbeDue reports whether a health check should be sent: at once after the upstream was assumed to
// be cold, and at intervals of ColdProbeInterval.
func (c *ColdState) ProbeDue(now time.Duration) bool {
	return !c.probed || (!c.warm && c.probedAt <= c.since) || now-c.probedAt >= ColdProbeInterval
}

// ObserveHealth processes a health response that reports for how long the upstream stays cold.
// sent is when the request for it was sent.
func (c *ColdState) ObserveHealth(now, sent, remaining time.Duration) {
	if remaining > 0 {
		c.healthAt = now
		c.becomeCold(now, remaining)
		return
	}
	// A request that was sent earlier may have been answered before the upstream became cold or
	// last reported that it is.
	if sent > max(c.since, c.reportedAt) {
		c.warm = true
	}
}

// ObserveAnnouncement processes an announcement that reports for how long the upstream stays cold.
// It must be newer than all earlier ones.
func (c *ColdState) ObserveAnnouncement(now, remaining time.Duration) {
	if remaining > 0 {
		c.becomeCold(now, remaining)
		return
	}
	if now-c.since >= healthPrecedence && (c.healthAt == 0 || now-c.healthAt >= healthPrecedence) {
		c.warm = true
	}
}

// becomeCold records a report that the upstream is cold.
func (c *ColdState) becomeCold(now, remaining time.Duration) {
	if c.warm {
		c.warm, c.since = false, now
	}
	c.remaining, c.reportedAt = remaining, now
}

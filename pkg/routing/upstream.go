package routing

import (
	"math"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// priorLatency is assumed of an upstream that has answered nothing yet.
	priorLatency = 5 * time.Millisecond
	// latencyGain is the share of a new sample in the moving averages.
	latencyGain = 0.2
	// forgetAfter is the time constant with which an idle upstream's latency and
	// failures lose weight, so that it is tried again. It is
	// short, so that a recovered upstream gets work within 20 s.
	forgetAfter = 2 * time.Second
	// reportHalfLife is the age at which a load report counts half. Load shifts
	// within milliseconds.
	reportHalfLife = 50 * time.Millisecond
	// failurePenalty is the cost of a certain failure.
	failurePenalty = time.Second
	// rampTime is how long an upstream that was seen warming gets less work.
	rampTime = 10 * time.Second
	// rampFactor multiplies the cost at the start of the ramp.
	rampFactor = 4
	// overdueFactor is how often the usual latency requests may be outstanding,
	// on average, before that counts as slowness.
	overdueFactor = 2
)

// upstream is what one ingress knows of one incarnation of an upstream.
type upstream struct {
	incarnation uint64
	service     string
	inFlight    int
	// waiting requests have no answer header yet. startSum is the sum of their
	// start times, in seconds since the picker's epoch; it gives their mean age
	// without a list.
	waiting  int
	startSum float64
	samples  int
	latency  time.Duration
	failures float64
	lastDone time.Duration
	report   *pb.Load
	reported time.Duration
	// ownAtReport is the number of own requests in flight when the report came.
	ownAtReport int
	warmSince   time.Duration
	warmed      bool
	breaker     breaker
}

// begin counts a request in.
func (u *upstream) begin(now time.Duration) {
	u.inFlight++
	u.waiting++
	u.startSum += now.Seconds()
}

// stopWaiting notes that a request's answer began or that it was given up.
func (u *upstream) stopWaiting(start time.Duration) {
	u.waiting--
	u.startSum -= start.Seconds()
	if u.waiting == 0 {
		u.startSum = 0
	}
}

// observe adds a sample. What faded while the upstream was idle stays faded: one
// good answer of a recovered upstream would otherwise restore most of its old latency.
func (u *upstream) observe(now, latency, prior time.Duration) {
	if u.samples == 0 {
		u.latency = latency
	} else {
		u.latency = ewma(u.faded(now, prior), latency)
	}
	u.samples++
	u.failures = u.fadedFailures(now) * (1 - latencyGain)
	u.lastDone = now
}

func (u *upstream) observeFailure(now time.Duration) {
	faded := u.fadedFailures(now)
	u.failures = faded + latencyGain*(1-faded)
	u.lastDone = now
}

// fadedFailures returns the share of failures, faded since the last answer.
func (u *upstream) fadedFailures(now time.Duration) float64 {
	return u.failures * math.Exp(-float64(now-u.lastDone)/float64(forgetAfter))
}

func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(latencyGain*float64(sample-old))
}

func (u *upstream) setReport(now time.Duration, l *pb.Load) {
	u.report, u.reported, u.ownAtReport = l, now, u.inFlight
}

// effectiveLatency moves from the observed latency to the prior while the
// upstream is idle.
func (u *upstream) effectiveLatency(now, prior time.Duration) time.Duration {
	if u.samples == 0 {
		return prior
	}
	if u.inFlight > 0 {
		return u.latency
	}
	return u.faded(now, prior)
}

// faded returns the observed latency, moved to the prior by the time since the
// last answer.
func (u *upstream) faded(now, prior time.Duration) time.Duration {
	weight := math.Exp(-float64(now-u.lastDone) / float64(forgetAfter))
	return prior + time.Duration(weight*float64(u.latency-prior))
}

// overdue returns by how much the outstanding requests are late on average. It
// shows a slow or stuck upstream before anything completes.
func (u *upstream) overdue(now, latency time.Duration) time.Duration {
	if u.waiting == 0 {
		return 0
	}
	meanAge := time.Duration((now.Seconds() - u.startSum/float64(u.waiting)) * float64(time.Second))
	return max(0, meanAge-overdueFactor*latency)
}

// others estimates the requests of other nodes at the upstream.
func (u *upstream) others(now time.Duration) float64 {
	if u.report == nil {
		return 0
	}
	total := int(u.report.InFlight) + int(u.report.Queued)
	age := float64(now-u.reported) / float64(reportHalfLife)
	return max(0, float64(total-u.ownAtReport)) * math.Exp2(-age)
}

// reportedLatency is the service time of the last report. It fades with the
// report's age, so that an upstream that recovered while it got no work is tried again.
func (u *upstream) reportedLatency(now time.Duration) time.Duration {
	if u.report == nil {
		return 0
	}
	weight := math.Exp(-float64(now-u.reported) / float64(forgetAfter))
	return time.Duration(weight * float64(u.report.ServiceTimeUs) * float64(time.Microsecond))
}

// cost is the expected time of a request at the upstream, with penalties.
// What was observed counts more than what was reported: a report of an idle
// upstream lowers only the term for queueing, never the observed latency.
func (u *upstream) cost(now time.Duration, c Candidate, prior time.Duration) time.Duration {
	latency := u.effectiveLatency(now, prior)
	latency = max(latency, u.reportedLatency(now))
	latency += u.overdue(now, latency)
	busy := (float64(u.inFlight) + u.others(now)) / float64(max(1, c.Slots))
	cost := float64(latency) * (1 + busy)
	cost += u.fadedFailures(now) * float64(failurePenalty)
	return time.Duration(cost * u.ramp(now, c))
}

// ramp returns the cost factor of a cold upstream.
func (u *upstream) ramp(now time.Duration, c Candidate) float64 {
	if c.Warming {
		u.warmSince, u.warmed = now, true
		return rampFactor
	}
	if !u.warmed || now-u.warmSince >= rampTime {
		return 1
	}
	done := float64(now-u.warmSince) / float64(rampTime)
	return rampFactor - (rampFactor-1)*done
}

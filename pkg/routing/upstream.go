package routing

import (
	"math"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// priorLatency is assumed for upstreams of a service without any recorded latency.
	priorLatency = 5 * time.Millisecond
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight = 0.2
	// decayTime is the time constant with which the latency and failure rate of an
	// idle upstream decay. It is short enough for a recovered upstream to get requests
	// again within 20 s.
	decayTime = 2 * time.Second
	// reportHalfLife is the half-life of the weight of a load report. Load changes
	// within milliseconds.
	reportHalfLife = 50 * time.Millisecond
	// failurePenalty is added to the cost of an upstream whose failure rate is 1.
	failurePenalty = time.Second
	// rampDuration is how long an upstream gets fewer requests after it was warming.
	rampDuration = 10 * time.Second
	// rampStartFactor multiplies the cost at the start of the ramp.
	rampStartFactor = 4
	// overdueFactor is the multiple of the expected latency for which requests may be
	// outstanding, on average, before the upstream counts as slow.
	overdueFactor = 2
)

// upstream is the state that one ingress holds for one incarnation of an upstream.
type upstream struct {
	incarnation uint64
	service     string
	inFlight    int
	// waiting is the number of requests without a response header. startTimeSum is
	// the sum of their start times, in seconds since the picker's epoch. Both give
	// the mean age of these requests without a list.
	waiting      int
	startTimeSum float64
	samples      int
	latency      time.Duration
	failureRate  float64
	lastResultAt time.Duration
	report       *pb.Load
	reportedAt   time.Duration
	// inFlightAtReport is the value of inFlight when the report was received.
	inFlightAtReport int
	lastWarmingAt    time.Duration
	wasWarming       bool
	breaker          breaker
}

// begin counts a request as in flight.
func (u *upstream) begin(now time.Duration) {
	u.inFlight++
	u.waiting++
	u.startTimeSum += now.Seconds()
}

// stopWaiting records that the response header of a request arrived or that the
// request ended without one.
func (u *upstream) stopWaiting(start time.Duration) {
	u.waiting--
	u.startTimeSum -= start.Seconds()
	if u.waiting == 0 {
		u.startTimeSum = 0
	}
}

// observe adds a latency sample. The sample is added to the decayed values, not to the
// old ones: otherwise the first response of a recovered upstream would restore most of
// its old latency.
func (u *upstream) observe(now, latency, prior time.Duration) {
	if u.samples == 0 {
		u.latency = latency
	} else {
		u.latency = ewma(u.decayedLatency(now, prior), latency)
	}
	u.samples++
	u.failureRate = u.decayedFailureRate(now) * (1 - ewmaWeight)
	u.lastResultAt = now
}

func (u *upstream) observeFailure(now time.Duration) {
	rate := u.decayedFailureRate(now)
	u.failureRate = rate + ewmaWeight*(1-rate)
	u.lastResultAt = now
}

// decayedFailureRate returns the failure rate, decayed since the last result.
func (u *upstream) decayedFailureRate(now time.Duration) float64 {
	return u.failureRate * math.Exp(-float64(now-u.lastResultAt)/float64(decayTime))
}

func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(ewmaWeight*float64(sample-old))
}

func (u *upstream) setReport(now time.Duration, l *pb.Load) {
	u.report, u.reportedAt, u.inFlightAtReport = l, now, u.inFlight
}

// effectiveLatency returns the observed latency. While the upstream is idle, the value
// decays towards the prior.
func (u *upstream) effectiveLatency(now, prior time.Duration) time.Duration {
	if u.samples == 0 {
		return prior
	}
	if u.inFlight > 0 {
		return u.latency
	}
	return u.decayedLatency(now, prior)
}

// decayedLatency returns the observed latency, which decays towards the prior with the
// time since the last result.
func (u *upstream) decayedLatency(now, prior time.Duration) time.Duration {
	weight := math.Exp(-float64(now-u.lastResultAt) / float64(decayTime))
	return prior + time.Duration(weight*float64(u.latency-prior))
}

// overdue returns by how much the waiting requests are late on average. It detects a
// slow or stuck upstream before any of them completes.
func (u *upstream) overdue(now, latency time.Duration) time.Duration {
	if u.waiting == 0 {
		return 0
	}
	meanAge := time.Duration((now.Seconds() - u.startTimeSum/float64(u.waiting)) * float64(time.Second))
	return max(0, meanAge-overdueFactor*latency)
}

// otherRequests estimates the number of requests of other nodes at the upstream.
func (u *upstream) otherRequests(now time.Duration) float64 {
	if u.report == nil {
		return 0
	}
	total := int(u.report.InFlight) + int(u.report.Queued)
	age := float64(now-u.reportedAt) / float64(reportHalfLife)
	return max(0, float64(total-u.inFlightAtReport)) * math.Exp2(-age)
}

// reportedLatency returns the service time of the last report. It decays with the age of
// the report, so that an upstream that recovered while idle gets requests again.
func (u *upstream) reportedLatency(now time.Duration) time.Duration {
	if u.report == nil {
		return 0
	}
	weight := math.Exp(-float64(now-u.reportedAt) / float64(decayTime))
	return time.Duration(weight * float64(u.report.ServiceTimeUs) * float64(time.Microsecond))
}

// cost returns the expected time of a request at the upstream, with penalties. Observed
// values prevail over reported ones: a report of an idle upstream lowers only the term
// for queueing, never the observed latency.
func (u *upstream) cost(now time.Duration, c Candidate, prior time.Duration) time.Duration {
	latency := u.effectiveLatency(now, prior)
	latency = max(latency, u.reportedLatency(now))
	latency += u.overdue(now, latency)
	requestsPerSlot := (float64(u.inFlight) + u.otherRequests(now)) / float64(max(1, c.Slots))
	cost := float64(latency) * (1 + requestsPerSlot)
	cost += u.decayedFailureRate(now) * float64(failurePenalty)
	return time.Duration(cost * u.ramp(now, c))
}

// ramp returns the cost factor of an upstream that is warming or was warming within
// rampDuration, else 1. It records when the upstream was last warming.
func (u *upstream) ramp(now time.Duration, c Candidate) float64 {
	if c.Warming {
		u.lastWarmingAt, u.wasWarming = now, true
		return rampStartFactor
	}
	if !u.wasWarming || now-u.lastWarmingAt >= rampDuration {
		return 1
	}
	progress := float64(now-u.lastWarmingAt) / float64(rampDuration)
	return rampStartFactor - (rampStartFactor-1)*progress
}

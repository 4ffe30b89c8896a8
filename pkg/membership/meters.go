package membership

import "github.com/rcrowley/go-metrics"

// meters are the metrics of an agent.
type meters struct {
	bytesIn, bytesOut       metrics.Counter
	messagesIn, messagesOut metrics.Counter
	skipped, invalid        metrics.Counter
	suspects, refutations   metrics.Counter
	pauses                  metrics.Counter
	members                 metrics.Gauge
}

func newMeters(r metrics.Registry) *meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("control."+name, r)
	}
	return &meters{
		bytesIn: counter("bytes.in"), bytesOut: counter("bytes.out"),
		messagesIn: counter("messages.in"), messagesOut: counter("messages.out"),
		skipped: counter("skipped"), invalid: counter("invalid"),
		suspects: counter("suspects"), refutations: counter("refutations"),
		pauses:  counter("pauses"),
		members: metrics.GetOrRegisterGauge("control.members", r),
	}
}

// received accounts for a message from a peer.
func (a *Agent) received(n int) {
	a.budget.charge(n)
	a.meters.messagesIn.Inc(1)
	a.meters.bytesIn.Inc(int64(n))
}

// answered accounts for a response to a peer.
func (a *Agent) answered(n int) {
	a.budget.charge(n)
	a.meters.messagesOut.Inc(1)
	a.meters.bytesOut.Inc(int64(n))
}

// allow charges a message that is about to be sent, or counts it as skipped.
func (a *Agent) allow(c class, n int) bool {
	if !a.budget.take(c, n) {
		a.meters.skipped.Inc(1)
		return false
	}
	a.meters.messagesOut.Inc(1)
	a.meters.bytesOut.Inc(int64(n))
	return true
}

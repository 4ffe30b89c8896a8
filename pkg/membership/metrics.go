package membership

import "github.com/rcrowley/go-metrics"

// agentMetrics are the metrics of an agent.
type agentMetrics struct {
	bytesIn, bytesOut       metrics.Counter
	messagesIn, messagesOut metrics.Counter
	skipped, invalid        metrics.Counter
	suspects, refutations   metrics.Counter
	pauses                  metrics.Counter
	members                 metrics.Gauge
}

func newAgentMetrics(r metrics.Registry) *agentMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("control."+name, r)
	}
	return &agentMetrics{
		bytesIn: counter("bytes.in"), bytesOut: counter("bytes.out"),
		messagesIn: counter("messages.in"), messagesOut: counter("messages.out"),
		skipped: counter("skipped"), invalid: counter("invalid"),
		suspects: counter("suspects"), refutations: counter("refutations"),
		pauses:  counter("pauses"),
		members: metrics.GetOrRegisterGauge("control.members", r),
	}
}

// recordReceived charges and counts a message of n bytes from a peer.
func (a *Agent) recordReceived(n int) {
	a.budget.charge(n)
	a.metrics.messagesIn.Inc(1)
	a.metrics.bytesIn.Inc(int64(n))
}

// recordResponse charges and counts a response of n bytes to a peer.
func (a *Agent) recordResponse(n int) {
	a.budget.charge(n)
	a.metrics.messagesOut.Inc(1)
	a.metrics.bytesOut.Inc(int64(n))
}

// reserve charges a request of n bytes that is about to be sent and reserves bytes
// for its response, so that concurrent calls together cannot exceed the budget. If
// the budget is exhausted, it counts the request as skipped and returns false.
func (a *Agent) reserve(c class, n, response int) bool {
	if !a.budget.take(c, n+response) {
		a.metrics.skipped.Inc(1)
		return false
	}
	a.metrics.messagesOut.Inc(1)
	a.metrics.bytesOut.Inc(int64(n))
	return true
}

// release returns the bytes reserved for a response. The response is charged
// separately with its actual size.
func (a *Agent) release(response int) { a.budget.charge(-response) }

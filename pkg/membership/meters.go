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

// allow charges a message of n bytes that is about to be sent, and holds the
// bytes of its answer, so that concurrent calls cannot exceed the budget
// together. It counts the message as skipped if there is no room.
func (a *Agent) allow(c class, n, answer int) bool {
	if !a.budget.take(c, n+answer) {
		a.meters.skipped.Inc(1)
		return false
	}
	a.meters.messagesOut.Inc(1)
	a.meters.bytesOut.Inc(int64(n))
	return true
}

// release gives back the bytes held for an answer. The answer is then charged by
// its true size.
func (a *Agent) release(answer int) { a.budget.charge(-answer) }

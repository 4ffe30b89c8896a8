package admission

import (
	"math"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// dispatch grants free slots to waiting requests.
func (c *Controller) dispatch(now time.Time) {
	for c.waiting > 0 && c.running < c.usableSlots(now) {
		rank := c.nextRank(now)
		w := rank.queue.pop()
		c.waiting--
		if rejection := infeasible(w, now); rejection != nil {
			w.result <- rejection
			continue
		}
		c.grant(w, now)
		w.result <- nil
	}
}

// infeasible returns a rejection if the request would complete after its deadline, else
// nil.
func infeasible(w *waiter, now time.Time) *Rejection {
	if w.request.Deadline.IsZero() || now.Add(w.rank.typicalService()).Before(w.request.Deadline) {
		return nil
	}
	return reject(outcome.ReasonDeadline, 0, "too little time is left to run the request")
}

// nextRank returns the rank that gets the next slot: of the ranks below their reserve,
// the one that used the smallest fraction of its reserve; if there are none, the rank
// of the highest worth. Running requests count with their expected remaining time, so
// that slots that become free together are not all granted to one rank.
func (c *Controller) nextRank(now time.Time) *rankState {
	var underserved, highest *rankState
	smallest := math.Inf(1)
	for _, r := range c.order {
		if r.queue.count == 0 {
			continue
		}
		if highest == nil {
			highest = r
		}
		if r.ReservePercent <= 0 {
			continue
		}
		fraction := c.usage.committed(r, c.meanService, now.Sub(c.start)) / r.reserve()
		if fraction < min(1, smallest) {
			smallest, underserved = fraction, r
		}
	}
	if underserved != nil {
		return underserved
	}
	return highest
}

// admit decides whether a request may wait. If the queue is full, it may evict
// another request to make room.
func (c *Controller) admit(rank *rankState, req Request, now time.Time) *Rejection {
	wait := c.predictedWait(rank, req.Caller)
	retry := min(max(wait, minRetryDelay), shareTimeConstant)
	if !req.Deadline.IsZero() && wait+rank.typicalService() >= req.Deadline.Sub(now) {
		return reject(outcome.ReasonOverload, retry, "the predicted wait exceeds the deadline")
	}
	if limit := rank.waitLimit(); limit > 0 && wait > limit {
		return reject(outcome.ReasonOverload, retry, "the predicted wait exceeds the rank's target")
	}
	queueLimit := c.queueLimit()
	rankLimit := int(rankQueueFraction * float64(queueLimit))
	if rank.queue.callerLen(req.Caller) >= int(callerQueueFraction*float64(rankLimit)) {
		return reject(outcome.ReasonOverload, retry, "the queue of the caller is full")
	}
	if rank.queue.count >= rankLimit && !c.evictCaller(rank, req.Caller) {
		return reject(outcome.ReasonOverload, retry, "the queue of the rank is full")
	}
	if c.waiting >= queueLimit && !c.evict(rank, req.Caller) {
		return reject(outcome.ReasonOverload, retry, "the queue is full")
	}
	return nil
}

func (c *Controller) queueLimit() int { return max(minQueueLimit, queuedPerSlot*c.slots) }

// protected reports whether a rank with the given number of waiting requests is
// within its reserve, so that other ranks may neither evict its requests nor
// prevent them from queuing.
func (c *Controller) protected(r *rankState, waiting int) bool {
	return c.usage.belowReserve(r) && float64(waiting) <= math.Ceil(r.reserve()*float64(c.queueLimit()))
}

// evict rejects a waiting request of the lowest-worth rank that may lose one, to make
// room for a request of the given rank. It reports whether there is room.
func (c *Controller) evict(rank *rankState, caller string) bool {
	entitled := c.protected(rank, rank.queue.count+1)
	for i := len(c.order) - 1; i >= 0; i-- {
		victim := c.order[i]
		switch {
		case victim.queue.count == 0 || victim == rank || c.protected(victim, victim.queue.count):
			continue
		case !entitled && victim.Worth >= rank.Worth:
			continue
		}
		c.evictFrom(victim.queue.longest())
		return true
	}
	return c.evictCaller(rank, caller)
}

// evictCaller rejects a request of the caller with the most waiting requests in
// the rank, if the given caller would still have fewer. It reports whether it did.
func (c *Controller) evictCaller(rank *rankState, caller string) bool {
	longest := rank.queue.longest()
	if longest == nil || len(longest.waiting) <= rank.queue.callerLen(caller)+1 {
		return false
	}
	c.evictFrom(longest)
	return true
}

// evictFrom rejects a request near the end of the caller's queue. The last element
// of the heap need not have the latest deadline, but if there are several requests,
// it is never the one with the earliest.
func (c *Controller) evictFrom(q *callerQueue) {
	w := q.waiting[len(q.waiting)-1]
	c.rejectWaiting(w, reject(outcome.ReasonOverload, max(c.meanService, minRetryDelay), "evicted by a request of more worth or of another caller"))
}

// predictedWait estimates the time in the queue. The rank is served at the rate of
// its reserve or with the capacity that other ranks leave, whichever is faster.
func (c *Controller) predictedWait(rank *rankState, caller string) time.Duration {
	if c.meanService == 0 || c.slots == 0 {
		return 0
	}
	q := &rank.queue
	ownAhead := min(q.count, (q.callerLen(caller)+1)*max(1, len(q.callers)))
	available, ahead := 1.0, 0
	for _, r := range c.order {
		switch {
		case r == rank:
		case r.Worth >= rank.Worth:
			available -= c.usage.share(r)
			ahead += r.queue.count
		default:
			available -= min(c.usage.share(r), r.reserve())
		}
	}
	perSlot := float64(c.meanService) / float64(c.slots)
	waitByWorth := perSlot*float64(ahead) + perSlot*float64(ownAhead+1)/max(available, 0)
	waitByReserve := perSlot * float64(ownAhead+1) / rank.reserve()
	return time.Duration(min(waitByWorth, waitByReserve, float64(math.MaxInt64/4)))
}

package admission

import (
	"math"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// dispatch gives free slots to waiting requests.
func (c *Controller) dispatch(now time.Time) {
	for c.waiting > 0 && c.running < c.limit(now) {
		rank := c.next(now)
		w := rank.queue.pop()
		c.waiting--
		if refusal := infeasible(w, now); refusal != nil {
			w.result <- refusal
			continue
		}
		c.grant(w, now)
		w.result <- nil
	}
}

// infeasible refuses a request that would be answered after its deadline.
func infeasible(w *waiter, now time.Time) *Refusal {
	if w.request.Deadline.IsZero() || now.Add(w.rank.typicalService()).Before(w.request.Deadline) {
		return nil
	}
	return refuse(outcome.ReasonDeadline, 0, "too little time is left to run the request")
}

// next returns the rank that gets the next slot: the one that got the smallest
// part of its reserve if any is below its reserve, else the one of most worth.
// Slots that were just granted count with the time that they will take, so that
// slots that become free together are not all given to one rank.
func (c *Controller) next(now time.Time) *rankState {
	var neediest, first *rankState
	least := math.Inf(1)
	for _, r := range c.order {
		if r.queue.count == 0 {
			continue
		}
		if first == nil {
			first = r
		}
		if r.ReservePercent <= 0 {
			continue
		}
		part := c.usage.committed(r, c.service, now.Sub(c.start)) / r.reserve()
		if part < min(1, least) {
			least, neediest = part, r
		}
	}
	if neediest != nil {
		return neediest
	}
	return first
}

// admit decides whether a request may wait, and makes room for it if need be.
func (c *Controller) admit(rank *rankState, req Request, now time.Time) *Refusal {
	wait := c.predictedWait(rank, req.Caller)
	retry := min(max(wait, minRetry), shareTimeConstant)
	if !req.Deadline.IsZero() && wait+rank.typicalService() >= req.Deadline.Sub(now) {
		return refuse(outcome.ReasonOverload, retry, "the predicted wait exceeds the deadline")
	}
	if limit := rank.waitLimit(); limit > 0 && wait > limit {
		return refuse(outcome.ReasonOverload, retry, "the predicted wait exceeds the rank's target")
	}
	total := c.queueLimit()
	rankLimit := int(rankQueuePart * float64(total))
	if rank.queue.callerLen(req.Caller) >= int(callerQueuePart*float64(rankLimit)) {
		return refuse(outcome.ReasonOverload, retry, "the queue of the caller is full")
	}
	if rank.queue.count >= rankLimit && !c.evictCaller(rank, req.Caller) {
		return refuse(outcome.ReasonOverload, retry, "the queue of the rank is full")
	}
	if c.waiting >= total && !c.evict(rank, req.Caller) {
		return refuse(outcome.ReasonOverload, retry, "the queue is full")
	}
	return nil
}

func (c *Controller) queueLimit() int { return max(minQueue, queuePerSlot*c.slots) }

// protected reports whether the rank, with the number of waiting requests
// given, may neither be evicted nor kept out by other ranks.
func (c *Controller) protected(r *rankState, waiting int) bool {
	return c.usage.belowReserve(r) && float64(waiting) <= math.Ceil(r.reserve()*float64(c.queueLimit()))
}

// evict refuses the least valuable waiting request in favour of one of rank.
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
		c.dropLeaf(victim.queue.longest())
		return true
	}
	return c.evictCaller(rank, caller)
}

// evictCaller refuses a request of the caller that has the most waiting in the
// rank, if the other caller would still have fewer.
func (c *Controller) evictCaller(rank *rankState, caller string) bool {
	longest := rank.queue.longest()
	if longest == nil || len(longest.waiting) <= rank.queue.callerLen(caller)+1 {
		return false
	}
	c.dropLeaf(longest)
	return true
}

// dropLeaf refuses a request near the end of the caller's queue. The last
// element of the heap is not the exact last one, but never the first of several.
func (c *Controller) dropLeaf(q *callerQueue) {
	w := q.waiting[len(q.waiting)-1]
	c.drop(w, refuse(outcome.ReasonOverload, max(c.service, minRetry), "evicted by a request of more worth or of another caller"))
}

// predictedWait estimates the time in the queue. The rank is served at least
// at the rate of its reserve, or by what the ranks of more worth leave.
func (c *Controller) predictedWait(rank *rankState, caller string) time.Duration {
	if c.service == 0 || c.slots == 0 {
		return 0
	}
	q := &rank.queue
	own := min(q.count, (q.callerLen(caller)+1)*max(1, len(q.callers)))
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
	perSlot := float64(c.service) / float64(c.slots)
	byWorth := perSlot*float64(ahead) + perSlot*float64(own+1)/max(available, 0)
	byReserve := perSlot * float64(own+1) / rank.reserve()
	return time.Duration(min(byWorth, byReserve, float64(math.MaxInt64/4)))
}

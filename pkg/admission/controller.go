package admission

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Bounds of the queue. The queue absorbs bursts of a few service times; a
// longer queue only adds waiting time.
const (
	// queuedPerSlot is the queue limit per slot, minQueueLimit the lowest queue limit.
	queuedPerSlot = 4
	minQueueLimit = 32
	// rankQueueFraction is the limit of one rank as a fraction of the queue limit.
	rankQueueFraction = 0.75
	// callerQueueFraction is the limit of one caller as a fraction of its rank's limit.
	callerQueueFraction = 0.5
)

// warmUpDuration is the time in which the usable slots of a cold upstream grow to
// the announced number.
const warmUpDuration = 10 * time.Second

// serviceTimeExpiry is how long an idle upstream keeps reporting its last service
// time. Without it, an upstream that was slow would report that value forever and
// never receive requests again.
const serviceTimeExpiry = 2 * time.Second

// minRetryDelay is the shortest suggested delay before another attempt.
const minRetryDelay = 10 * time.Millisecond

// unknownRank is the rank of requests whose rank is not in the current intent.
// Another node may have a newer intent, so these requests are served, but last.
const unknownRank = ""

// Request describes a request that needs a slot.
type Request struct {
	Rank   string
	Caller string
	// Deadline is when the response must be complete. Zero means none.
	Deadline time.Time
	// NoWait rejects the request as busy when no slot is free.
	NoWait bool
	// Repeat marks a further attempt of a call that another upstream has already
	// counted as demand.
	Repeat bool
}

// Stats is a snapshot of a Controller.
type Stats struct {
	InFlight int
	Queued   int
	// Slots is the number of usable slots: fewer than announced during warm-up.
	Slots int
	// Service is the EWMA of the service time; 0 if nothing ran recently.
	Service time.Duration
}

// Controller allocates the slots of one upstream. It is safe for concurrent use.
// It starts no goroutines; each Acquire waits in its caller's goroutine.
type Controller struct {
	mu            sync.Mutex
	ranks         map[string]*rankState
	order         []*rankState // by descending worth
	usage         usage
	slots         int
	warmUpStart   time.Time // zero when not warming up
	running       int
	waiting       int
	seq           uint64
	meanService   time.Duration
	lastServiceAt time.Time
	start         time.Time
	draining      bool
}

// New returns a controller without slots; SetSlots adds them.
func New(ranks []intent.Rank) *Controller {
	c := &Controller{ranks: map[string]*rankState{}, usage: usage{updatedAt: time.Now()}, start: time.Now()}
	c.SetRanks(ranks)
	return c
}

// SetRanks installs the ranks of an intent. Waiting requests keep their place in
// the queue; those of a removed rank are served last.
func (c *Controller) SetRanks(ranks []intent.Rank) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	configured := map[string]bool{unknownRank: true}
	c.setRank(intent.Rank{Name: unknownRank, Worth: math.Inf(-1)})
	for _, r := range ranks {
		configured[r.Name] = true
		c.setRank(r)
	}
	c.order = c.order[:0]
	for name, r := range c.ranks {
		if !configured[name] {
			r.Rank = intent.Rank{Name: name, Worth: math.Inf(-1)}
		}
		if !configured[name] && r.running == 0 && r.queue.count == 0 {
			delete(c.ranks, name)
			continue
		}
		c.order = append(c.order, r)
	}
	sort.Slice(c.order, func(i, j int) bool {
		a, b := c.order[i], c.order[j]
		if a.Worth != b.Worth {
			return a.Worth > b.Worth
		}
		return a.Name < b.Name
	})
	c.dispatch(time.Now())
}

func (c *Controller) setRank(r intent.Rank) {
	if old := c.ranks[r.Name]; old != nil {
		old.Rank = r
		return
	}
	c.ranks[r.Name] = newRankState(r)
}

// SetSlots sets the announced number of slots. While warming is true, the usable
// number grows from 1 to slots over 10 s, counted from the first call with warming
// set. No timer runs: queued requests get an added slot at the next call of SetRanks,
// SetSlots, Acquire or release.
func (c *Controller) SetSlots(slots int, warming bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.advance(now)
	c.slots = slots
	switch {
	case !warming:
		c.warmUpStart = time.Time{}
	case c.warmUpStart.IsZero():
		c.warmUpStart = now
	}
	c.dispatch(now)
}

// SetDrain rejects all waiting and new requests while drain is true.
func (c *Controller) SetDrain(drain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = drain
	if !drain {
		return
	}
	for _, r := range c.order {
		for r.queue.count > 0 {
			c.rejectWaiting(r.queue.longest().waiting[0], reject(outcome.ReasonDraining, 0, "the upstream is draining"))
		}
	}
}

// Stats returns a snapshot of the current load.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := Stats{InFlight: c.running, Queued: c.waiting, Slots: c.usableSlots(now), Service: c.meanService}
	if c.running == 0 && now.Sub(c.lastServiceAt) > serviceTimeExpiry {
		s.Service = 0
	}
	return s
}

// Acquire takes a slot, waits for one, or returns a *Rejection. The caller must call
// release when the request is finished; further calls of release do nothing.
func (c *Controller) Acquire(ctx context.Context, req Request) (release func(), err error) {
	w, rejection := c.enter(ctx, req)
	if rejection != nil {
		return nil, rejection
	}
	if w.result != nil {
		rejection = c.wait(ctx, w)
	}
	if rejection != nil {
		return nil, rejection
	}
	return func() { c.release(w) }, nil
}

// enter grants a slot immediately (the waiter has no result channel), queues the
// request, or rejects it.
func (c *Controller) enter(ctx context.Context, req Request) (*waiter, *Rejection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.advance(now)
	c.dispatch(now)
	rank := c.ranks[req.Rank]
	if rank == nil {
		rank = c.ranks[unknownRank]
	}
	if !req.Repeat {
		rank.demand.add(now)
	}
	if rejection := c.precheck(ctx, req, now); rejection != nil {
		return nil, rejection
	}
	w := &waiter{request: req, rank: rank, heapIndex: -1}
	if c.waiting == 0 && c.running < c.usableSlots(now) {
		c.grant(w, now)
		return w, nil
	}
	if req.NoWait {
		return nil, reject(outcome.ReasonBusy, max(c.meanService, minRetryDelay), "no slot is free")
	}
	if rejection := c.admit(rank, req, now); rejection != nil {
		return nil, rejection
	}
	c.seq++
	w.seq, w.result = c.seq, make(chan *Rejection, 1)
	rank.queue.push(w)
	c.waiting++
	return w, nil
}

// precheck rejects a request that must not run even if a slot is free.
func (c *Controller) precheck(ctx context.Context, req Request, now time.Time) *Rejection {
	switch {
	case c.draining:
		return reject(outcome.ReasonDraining, 0, "the upstream is draining")
	case ctx.Err() == context.Canceled:
		return reject(outcome.ReasonCancelled, 0, "the caller left")
	case ctx.Err() != nil || !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return reject(outcome.ReasonDeadline, 0, "the deadline passed")
	}
	return nil
}

// wait blocks until the request is granted, rejected, cancelled or expired.
func (c *Controller) wait(ctx context.Context, w *waiter) *Rejection {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case rejection := <-w.result:
		return rejection
	case <-ctx.Done():
		reason := outcome.ReasonCancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = outcome.ReasonDeadline
		}
		return c.abandon(w, reject(reason, 0, "the request ended in the queue"))
	case <-expired:
		return c.abandon(w, reject(outcome.ReasonDeadline, 0, "the deadline passed in the queue"))
	}
}

// abandon removes a waiting request, or releases the slot it was granted meanwhile.
// If the request was rejected meanwhile, it returns that earlier rejection.
func (c *Controller) abandon(w *waiter, rejection *Rejection) *Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.heapIndex >= 0 {
		w.rank.queue.remove(w)
		c.waiting--
		return rejection
	}
	if earlier := <-w.result; earlier != nil {
		return earlier
	}
	now := time.Now()
	c.advance(now)
	c.freeSlot(w)
	c.dispatch(now)
	return rejection
}

func (c *Controller) release(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.grantedAt.IsZero() {
		return
	}
	now := time.Now()
	c.advance(now)
	c.observe(w.rank, now.Sub(w.grantedAt))
	c.freeSlot(w)
	c.dispatch(now)
}

func (c *Controller) observe(r *rankState, service time.Duration) {
	r.observe(service)
	c.lastServiceAt = time.Now()
	if c.meanService == 0 {
		c.meanService = service
		return
	}
	c.meanService += time.Duration(ewmaWeight * float64(service-c.meanService))
}

func (c *Controller) grant(w *waiter, now time.Time) {
	w.grantedAt = now
	w.rank.grantedSum += now.Sub(c.start)
	w.rank.running++
	c.running++
}

func (c *Controller) freeSlot(w *waiter) {
	w.rank.grantedSum -= w.grantedAt.Sub(c.start)
	w.grantedAt = time.Time{}
	w.rank.running--
	c.running--
}

// rejectWaiting removes a waiting request from its queue and rejects it.
func (c *Controller) rejectWaiting(w *waiter, rejection *Rejection) {
	w.rank.queue.remove(w)
	c.waiting--
	w.result <- rejection
}

// advance updates the usage measurement. Call it before the number of running
// requests or usable slots changes.
func (c *Controller) advance(now time.Time) {
	c.usage.advance(now, c.usableSlots(now), c.order)
}

// usableSlots returns the number of slots that may be in use now.
func (c *Controller) usableSlots(now time.Time) int {
	elapsed := now.Sub(c.warmUpStart)
	if c.warmUpStart.IsZero() || elapsed >= warmUpDuration {
		return c.slots
	}
	grown := math.Ceil(float64(c.slots) * elapsed.Seconds() / warmUpDuration.Seconds())
	return min(c.slots, max(1, int(grown)))
}

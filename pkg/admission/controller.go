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
// longer one only adds waiting time.
const (
	queuePerSlot    = 4
	minQueue        = 32
	rankQueuePart   = 0.75
	callerQueuePart = 0.5
)

// warmUpTime is how long the slots of a cold upstream grow to their full number.
const warmUpTime = 10 * time.Second

// serviceMemory is how long the service time of an idle upstream is reported. An
// upstream that was slow and lost its work would otherwise report that for ever,
// and never get work again.
const serviceMemory = 2 * time.Second

// minRetry is the shortest suggested delay before another attempt.
const minRetry = 10 * time.Millisecond

// otherRank takes requests of ranks that the intent in effect does not have.
// Another node may have a newer intent, so such requests are served, last.
const otherRank = ""

// Request describes a request that needs a slot.
type Request struct {
	Rank   string
	Caller string
	// Deadline is when the answer must be complete. Zero means none.
	Deadline time.Time
	// NoWait refuses the request as busy when no slot is free.
	NoWait bool
	// Repeat marks a further attempt of a call that another upstream counted.
	Repeat bool
}

// Stats is a snapshot of a Controller.
type Stats struct {
	InFlight int
	Queued   int
	// Slots that may be in use now, less than announced during warm-up.
	Slots int
	// Service is the EWMA of the service time; 0 if nothing ran lately.
	Service time.Duration
}

// Controller shares out the slots of one upstream. It is safe for concurrent
// use. It starts no goroutines; each Acquire waits in its caller's goroutine.
type Controller struct {
	mu       sync.Mutex
	ranks    map[string]*rankState
	order    []*rankState // by worth, the most first
	usage    usage
	slots    int
	warming  time.Time // zero when warm
	running  int
	waiting  int
	seq      uint64
	service  time.Duration
	observed time.Time
	start    time.Time
	draining bool
}

// New returns a controller without slots.
func New(ranks []intent.Rank) *Controller {
	c := &Controller{ranks: map[string]*rankState{}, usage: usage{last: time.Now()}, start: time.Now()}
	c.SetRanks(ranks)
	return c
}

// SetRanks installs the ranks of an intent. Waiting requests keep their place;
// those of a rank that is gone are served last.
func (c *Controller) SetRanks(ranks []intent.Rank) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	known := map[string]bool{otherRank: true}
	c.setRank(intent.Rank{Name: otherRank, Worth: math.Inf(-1)})
	for _, r := range ranks {
		known[r.Name] = true
		c.setRank(r)
	}
	c.order = c.order[:0]
	for name, r := range c.ranks {
		if !known[name] {
			r.Rank = intent.Rank{Name: name, Worth: math.Inf(-1)}
		}
		if !known[name] && r.running == 0 && r.queue.count == 0 {
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

// SetSlots sets the announced number of slots. While warming is true the usable
// number grows from 1 to slots over 10 s, from the first such call on. Growth
// takes effect at the next call of any method.
func (c *Controller) SetSlots(slots int, warming bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.advance(now)
	c.slots = slots
	switch {
	case !warming:
		c.warming = time.Time{}
	case c.warming.IsZero():
		c.warming = now
	}
	c.dispatch(now)
}

// SetDrain refuses all waiting and new requests while drain is true.
func (c *Controller) SetDrain(drain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = drain
	if !drain {
		return
	}
	for _, r := range c.order {
		for r.queue.count > 0 {
			c.drop(r.queue.longest().waiting[0], refuse(outcome.ReasonDraining, 0, "the upstream is draining"))
		}
	}
}

// Stats returns a snapshot.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := Stats{InFlight: c.running, Queued: c.waiting, Slots: c.limit(now), Service: c.service}
	if c.running == 0 && now.Sub(c.observed) > serviceMemory {
		s.Service = 0
	}
	return s
}

// Acquire takes a slot, waits for one, or returns a *Refusal. The release
// function must be called when the request is finished; further calls do nothing.
func (c *Controller) Acquire(ctx context.Context, req Request) (release func(), err error) {
	w, refusal := c.enter(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	if w.result != nil {
		refusal = c.wait(ctx, w)
	}
	if refusal != nil {
		return nil, refusal
	}
	return func() { c.release(w) }, nil
}

// enter grants a slot at once (the waiter has no result channel), queues the
// request, or refuses it.
func (c *Controller) enter(ctx context.Context, req Request) (*waiter, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.advance(now)
	c.dispatch(now)
	rank := c.ranks[req.Rank]
	if rank == nil {
		rank = c.ranks[otherRank]
	}
	if !req.Repeat {
		rank.demand.add(now)
	}
	if refusal := c.check(ctx, req, now); refusal != nil {
		return nil, refusal
	}
	w := &waiter{request: req, rank: rank, index: -1}
	if c.waiting == 0 && c.running < c.limit(now) {
		c.grant(w, now)
		return w, nil
	}
	if req.NoWait {
		return nil, refuse(outcome.ReasonBusy, max(c.service, minRetry), "no slot is free")
	}
	if refusal := c.admit(rank, req, now); refusal != nil {
		return nil, refusal
	}
	c.seq++
	w.seq, w.result = c.seq, make(chan *Refusal, 1)
	rank.queue.push(w)
	c.waiting++
	return w, nil
}

func (c *Controller) check(ctx context.Context, req Request, now time.Time) *Refusal {
	switch {
	case c.draining:
		return refuse(outcome.ReasonDraining, 0, "the upstream is draining")
	case ctx.Err() == context.Canceled:
		return refuse(outcome.ReasonCancelled, 0, "the caller left")
	case ctx.Err() != nil || !req.Deadline.IsZero() && !now.Before(req.Deadline):
		return refuse(outcome.ReasonDeadline, 0, "the deadline passed")
	}
	return nil
}

// wait blocks until the request is granted, refused, cancelled or expired.
func (c *Controller) wait(ctx context.Context, w *waiter) *Refusal {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case refusal := <-w.result:
		return refusal
	case <-ctx.Done():
		reason := outcome.ReasonCancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = outcome.ReasonDeadline
		}
		return c.abandon(w, refuse(reason, 0, "the request ended in the queue"))
	case <-expired:
		return c.abandon(w, refuse(outcome.ReasonDeadline, 0, "the deadline passed in the queue"))
	}
}

// abandon removes a waiting request, or gives back the slot that it has just got.
func (c *Controller) abandon(w *waiter, refusal *Refusal) *Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.index >= 0 {
		w.rank.queue.remove(w)
		c.waiting--
		return refusal
	}
	if earlier := <-w.result; earlier != nil {
		return earlier
	}
	now := time.Now()
	c.advance(now)
	c.free(w)
	c.dispatch(now)
	return refusal
}

func (c *Controller) release(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.granted.IsZero() {
		return
	}
	now := time.Now()
	c.advance(now)
	c.observe(w.rank, now.Sub(w.granted))
	c.free(w)
	c.dispatch(now)
}

func (c *Controller) observe(r *rankState, service time.Duration) {
	r.observe(service)
	c.observed = time.Now()
	if c.service == 0 {
		c.service = service
		return
	}
	c.service += time.Duration(ewmaWeight * float64(service-c.service))
}

func (c *Controller) grant(w *waiter, now time.Time) {
	w.granted = now
	w.rank.granted += now.Sub(c.start)
	w.rank.running++
	c.running++
}

func (c *Controller) free(w *waiter) {
	w.rank.granted -= w.granted.Sub(c.start)
	w.granted = time.Time{}
	w.rank.running--
	c.running--
}

// drop removes a waiting request and refuses it.
func (c *Controller) drop(w *waiter, refusal *Refusal) {
	w.rank.queue.remove(w)
	c.waiting--
	w.result <- refusal
}

func (c *Controller) advance(now time.Time) {
	c.usage.advance(now, c.limit(now), c.order)
}

// limit returns the number of slots that may be in use now.
func (c *Controller) limit(now time.Time) int {
	elapsed := now.Sub(c.warming)
	if c.warming.IsZero() || elapsed >= warmUpTime {
		return c.slots
	}
	grown := math.Ceil(float64(c.slots) * elapsed.Seconds() / warmUpTime.Seconds())
	return min(c.slots, max(1, int(grown)))
}

package gate

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const testSlots = 10 // of which the gate uses 8

func openGate(t *testing.T) *Gate {
	t.Helper()
	g := New()
	g.Open(0, testSlots)
	return g
}

func request(class string, rank int, now, target, deadline time.Duration) *Request {
	return &Request{Class: class, Rank: rank, TargetLatency: target, TargetTime: now + target, Deadline: now + deadline}
}

// fill starts requests until all usable slots are busy.
func fill(t *testing.T, g *Gate, class string) []*Request {
	t.Helper()
	var running []*Request
	for len(running) < 8 {
		r := request(class, 1, 0, 200*time.Millisecond, 800*time.Millisecond)
		started, rejection, _ := g.Offer(0, r)
		if !started || rejection != nil {
			t.Fatalf("request %d of 8 did not start", len(running))
		}
		running = append(running, r)
	}
	return running
}

func TestRunningRequestsStayWithinUsableSlots(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	if started, _, _ := g.Offer(0, request("a", 0, 0, time.Second, time.Second)); started {
		t.Error("a ninth request was started with ten slots, eight of them usable")
	}
}

func TestCloseRejectsQueuedRequests(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	queued := request("a", 0, 0, time.Second, time.Second)
	g.Offer(0, queued)
	d := g.Close(time.Millisecond)
	if len(d.Rejected) != 1 || d.Rejected[0].Request != queued || d.Rejected[0].Reason != ReasonClosed {
		t.Errorf("rejected %v, want the queued request as upstream not ready", d.Rejected)
	}
	if _, rejection, _ := g.Offer(2*time.Millisecond, request("a", 0, 0, time.Second, time.Second)); rejection == nil {
		t.Error("a closed gate accepted a request")
	}
}

// Urgent requests that arrive while a lower-ranked request waits go first. Once the
// lower-ranked request can no longer meet its target, it must be rejected at once.
func TestUrgentRequestsDisplaceLowerRanked(t *testing.T) {
	g := openGate(t)
	g.serviceTimes["a"], g.serviceTimes["b"] = 100*time.Millisecond, 100*time.Millisecond
	running := fill(t, g, "a")
	lowerRanked := request("b", 2, 0, 210*time.Millisecond, 800*time.Millisecond)
	if started, rejection, _ := g.Offer(0, lowerRanked); started || rejection != nil {
		t.Fatal("the lower-ranked request was not queued")
	}
	displaced := false
	for range 8 {
		_, _, d := g.Offer(time.Millisecond, request("a", 0, 0, 500*time.Millisecond, 800*time.Millisecond))
		for _, x := range d.Rejected {
			displaced = displaced || (x.Request == lowerRanked && x.Reason == ReasonDisplaced && x.RetryAfter > 0)
		}
	}
	if !displaced {
		t.Error("the lower-ranked request that cannot meet its target was not rejected")
	}
	d := g.Done(100*time.Millisecond, running[0], true)
	if len(d.Started) != 1 || d.Started[0].Rank != 0 {
		t.Errorf("started %v, want one urgent request", d.Started)
	}
}

// Calls between upstreams are short, and a longer request at another upstream waits for
// them. They must go first and not be rejected for missing their own target.
func TestShortRequestGoesFirstAndWaitsUntilItsDeadline(t *testing.T) {
	g := openGate(t)
	g.serviceTimes["long"], g.serviceTimes["call"] = 300*time.Millisecond, 50*time.Millisecond
	running := fill(t, g, "long")
	g.Offer(0, request("long", 0, 0, time.Second, 2*time.Second))
	call := request("call", 1, 0, 100*time.Millisecond, 600*time.Millisecond)
	if _, rejection, _ := g.Offer(0, call); rejection != nil {
		t.Fatalf("the call was rejected: %v", rejection.Reason)
	}
	d := g.Done(300*time.Millisecond, running[0], true)
	if len(d.Started) != 1 || d.Started[0] != call {
		t.Errorf("started %v, want the call", d.Started)
	}
}

func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	g := openGate(t)
	running := fill(t, g, "a")
	g.Offer(0, request("a", 1, 0, 100*time.Millisecond, 100*time.Millisecond))
	d := g.Done(200*time.Millisecond, running[0], true)
	if len(d.Started) != 0 || len(d.Rejected) != 1 {
		t.Errorf("started %d, rejected %d; want 0 and 1", len(d.Started), len(d.Rejected))
	}
}

// replayEvent is the arrival of a request or the end of its run.
type replayEvent struct {
	at   time.Duration
	req  *Request
	ends bool
}

type eventQueue []replayEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(replayEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	replayServiceTime = 60 * time.Millisecond
	replayTarget      = 200 * time.Millisecond
	replayDeadline    = 800 * time.Millisecond
)

// burst returns the requests of 7 s: at 0.9 times the capacity for 2 s, at twice the
// capacity for 3 s, and at 0.9 times again for 2 s. One in four is urgent.
func burst(seed uint64) []*Request {
	r := rand.New(rand.NewPCG(seed, 0))
	capacity := 8 / replayServiceTime.Seconds()
	var list []*Request
	for at := time.Duration(0); at < 7*time.Second; {
		rate := 0.9 * capacity
		if at > 2*time.Second && at < 5*time.Second {
			rate = 2 * capacity
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		rank := 1
		if r.IntN(4) == 0 {
			rank = 0
		}
		q := request("a", rank, at, replayTarget, replayDeadline)
		q.arrived = at
		list = append(list, q)
	}
	return list
}

// worth returns the worth of a response in the replay: full within the target, a tenth
// until the deadline. Urgent requests count five times.
func worth(r *Request, ended time.Duration) float64 {
	w := 1.0
	if r.Rank == 0 {
		w = 5
	}
	switch {
	case ended <= r.TargetTime:
		return w
	case ended <= r.Deadline:
		return w / 10
	}
	return 0
}

// replayGate returns the total worth of the responses with the gate, and the longest
// time that a request waited before it was rejected.
func replayGate(list []*Request, seed uint64) (totalWorth float64, longestWait time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	g := New()
	g.Open(0, testSlots)
	g.serviceTimes["a"] = replayServiceTime
	var queue eventQueue
	for _, q := range list {
		heap.Push(&queue, replayEvent{at: q.arrived, req: q})
	}
	apply := func(now time.Duration, d Decisions) {
		for _, q := range d.Started {
			heap.Push(&queue, replayEvent{now + time.Duration(float64(replayServiceTime)*(0.7+0.6*r.Float64())), q, true})
		}
		for _, x := range d.Rejected {
			longestWait = max(longestWait, now-x.Request.arrived)
		}
	}
	for queue.Len() > 0 {
		ev := heap.Pop(&queue).(replayEvent)
		if ev.ends {
			totalWorth += worth(ev.req, ev.at)
			apply(ev.at, g.Done(ev.at, ev.req, true))
			continue
		}
		started, _, d := g.Offer(ev.at, ev.req)
		if started {
			d.Started = append(d.Started, ev.req)
		}
		apply(ev.at, d)
	}
	return totalWorth, longestWait
}

// replayFIFO returns the total worth with the rule that the gate replaces: first come,
// first served, for requests whose deadline has not passed.
func replayFIFO(list []*Request, seed uint64) (totalWorth float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	free := make([]time.Duration, 8)
	for _, q := range list {
		i := 0
		for j := range free {
			if free[j] < free[i] {
				i = j
			}
		}
		start := max(free[i], q.arrived)
		if start > q.Deadline {
			continue
		}
		free[i] = start + time.Duration(float64(replayServiceTime)*(0.7+0.6*r.Float64()))
		totalWorth += worth(q, free[i])
	}
	return totalWorth
}

// A burst of twice the capacity for three seconds: the gate must serve much more worth
// than a queue in order of arrival, and must reject requests early.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		got, longestWait := replayGate(burst(seed), seed)
		fifo := replayFIFO(burst(seed), seed)
		if got < 1.5*fifo {
			t.Errorf("seed %d: worth %.0f, want at least 1.5 times that of first come first served, %.0f", seed, got, fifo)
		}
		if longestWait > replayTarget {
			t.Errorf("seed %d: a rejected request waited for %v", seed, longestWait)
		}
	}
}

// A node that has just started has no service times, while many callers send requests to
// it at once. However many arrive, it must queue at most about as many requests as the
// upstream can start within the target.
func TestGateWithoutHistoryDoesNotQueueTooMuch(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	waiting := 0
	for range 100 {
		if _, rejection, _ := g.Offer(0, request("a", 1, 0, replayTarget, replayDeadline)); rejection == nil {
			waiting++
		}
	}
	// Within the target, each of 8 slots can complete about 3 requests of 60 ms, one of which
	// is already running.
	if most := 8 * int(replayTarget/replayServiceTime); waiting > most {
		t.Errorf("%d requests are queued for slots that can serve %d in time", waiting, most)
	}
}

// Thousands of configuration changes a day may rename routes. Service times of the old
// names must not accumulate.
func TestServiceTimesOfRemovedRoutesArePruned(t *testing.T) {
	g := New()
	for i := range 5 * pruneThreshold {
		g.serviceTimes["old-"+strconv.Itoa(i)] = time.Millisecond
	}
	g.serviceTimes["kept"] = time.Millisecond
	g.PruneServiceTimes(func(class string) bool { return class == "kept" })
	if len(g.serviceTimes) != 1 {
		t.Errorf("%d classes are retained, want 1", len(g.serviceTimes))
	}
}

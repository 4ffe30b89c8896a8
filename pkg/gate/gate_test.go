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
	return &Request{Class: class, Rank: rank, Length: target, Target: now + target, Deadline: now + deadline}
}

// fill starts as many requests as may run.
func fill(t *testing.T, g *Gate, class string) []*Request {
	t.Helper()
	var running []*Request
	for len(running) < 8 {
		r := request(class, 1, 0, 200*time.Millisecond, 800*time.Millisecond)
		started, refusal, _ := g.Offer(0, r)
		if !started || refusal != nil {
			t.Fatalf("request %d of 8 did not start", len(running))
		}
		running = append(running, r)
	}
	return running
}

func TestGateNeverRunsMoreThanItsShareOfTheSlots(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	if started, _, _ := g.Offer(0, request("a", 0, 0, time.Second, time.Second)); started {
		t.Error("a ninth request runs on ten slots")
	}
}

func TestClosedGateRefusesAllThatWaits(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	waiting := request("a", 0, 0, time.Second, time.Second)
	g.Offer(0, waiting)
	o := g.Close(time.Millisecond)
	if len(o.Refused) != 1 || o.Refused[0].Request != waiting || o.Refused[0].Reason != ReasonClosed {
		t.Errorf("refused %v", o.Refused)
	}
	if _, refusal, _ := g.Offer(2*time.Millisecond, request("a", 0, 0, time.Second, time.Second)); refusal == nil {
		t.Error("a closed gate took a request")
	}
}

// Urgent work that arrives while lesser work waits goes first, and lesser work that
// can no longer meet its target is refused at that moment.
func TestUrgentWorkDisplacesLesserWork(t *testing.T) {
	g := openGate(t)
	g.service["a"], g.service["b"] = 100*time.Millisecond, 100*time.Millisecond
	running := fill(t, g, "a")
	lesser := request("b", 2, 0, 210*time.Millisecond, 800*time.Millisecond)
	if started, refusal, _ := g.Offer(0, lesser); started || refusal != nil {
		t.Fatal("the lesser request should wait")
	}
	displaced := false
	for range 8 {
		_, _, o := g.Offer(time.Millisecond, request("a", 0, 0, 500*time.Millisecond, 800*time.Millisecond))
		for _, x := range o.Refused {
			displaced = displaced || (x.Request == lesser && x.Reason == ReasonDisplaced && x.RetryAfter > 0)
		}
	}
	if !displaced {
		t.Error("the lesser request was left to wait in vain")
	}
	o := g.Done(100*time.Millisecond, running[0], true)
	if len(o.Started) != 1 || o.Started[0].Rank != 0 {
		t.Errorf("started %v", o.Started)
	}
}

// Calls between upstreams are short and hold up a longer request elsewhere: they go
// first and are not refused for missing their own target.
func TestShortWorkGoesFirstAndWaitsUntilItsDeadline(t *testing.T) {
	g := openGate(t)
	g.service["long"], g.service["call"] = 300*time.Millisecond, 50*time.Millisecond
	running := fill(t, g, "long")
	g.Offer(0, request("long", 0, 0, time.Second, 2*time.Second))
	call := request("call", 1, 0, 100*time.Millisecond, 600*time.Millisecond)
	if _, refusal, _ := g.Offer(0, call); refusal != nil {
		t.Fatalf("the call was refused: %v", refusal.Reason)
	}
	o := g.Done(300*time.Millisecond, running[0], true)
	if len(o.Started) != 1 || o.Started[0] != call {
		t.Errorf("started %v, want the call", o.Started)
	}
}

func TestRequestPastItsDeadlineIsRefused(t *testing.T) {
	g := openGate(t)
	running := fill(t, g, "a")
	g.Offer(0, request("a", 1, 0, 100*time.Millisecond, 100*time.Millisecond))
	o := g.Done(200*time.Millisecond, running[0], true)
	if len(o.Started) != 0 || len(o.Refused) != 1 {
		t.Errorf("started %d, refused %d", len(o.Started), len(o.Refused))
	}
}

// event is a step of the replay: an arrival or the end of a run.
type step struct {
	at   time.Duration
	req  *Request
	ends bool
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

const (
	replayWork     = 60 * time.Millisecond
	replayTarget   = 200 * time.Millisecond
	replayDeadline = 800 * time.Millisecond
)

// burst returns arrivals at the rate that the gate can run for 2 s, twice that for
// 3 s, and again that for 2 s. One in four is urgent.
func burst(seed uint64) []*Request {
	r := rand.New(rand.NewPCG(seed, 0))
	capacity := 8 / replayWork.Seconds()
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

// worth of an answer in the replay: full within the target, a tenth until the
// deadline; urgent work counts five times.
func worth(r *Request, ended time.Duration) float64 {
	w := 1.0
	if r.Rank == 0 {
		w = 5
	}
	switch {
	case ended <= r.Target:
		return w
	case ended <= r.Deadline:
		return w / 10
	}
	return 0
}

// replayGate returns the worth that the gate serves, and the longest time that a
// refused request was held.
func replayGate(list []*Request, seed uint64) (served float64, held time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	g := New()
	g.Open(0, testSlots)
	g.service["a"] = replayWork
	var queue steps
	for _, q := range list {
		heap.Push(&queue, step{at: q.arrived, req: q})
	}
	apply := func(now time.Duration, o Outcome) {
		for _, q := range o.Started {
			heap.Push(&queue, step{now + time.Duration(float64(replayWork)*(0.7+0.6*r.Float64())), q, true})
		}
		for _, x := range o.Refused {
			held = max(held, now-x.Request.arrived)
		}
	}
	for queue.Len() > 0 {
		s := heap.Pop(&queue).(step)
		if s.ends {
			served += worth(s.req, s.at)
			apply(s.at, g.Done(s.at, s.req, true))
			continue
		}
		started, _, o := g.Offer(s.at, s.req)
		if started {
			o.Started = append(o.Started, s.req)
		}
		apply(s.at, o)
	}
	return served, held
}

// replayFIFO is the rule that the gate replaces: first come, first served, until
// the deadline.
func replayFIFO(list []*Request, seed uint64) (served float64) {
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
		free[i] = start + time.Duration(float64(replayWork)*(0.7+0.6*r.Float64()))
		served += worth(q, free[i])
	}
	return served
}

// A burst of twice the capacity for three seconds: the gate must serve much more
// worth than a queue in order of arrival, and must not hold what it refuses.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		got, held := replayGate(burst(seed), seed)
		before := replayFIFO(burst(seed), seed)
		if got < 1.5*before {
			t.Errorf("seed %d: worth %.0f, first come first served %.0f", seed, got, before)
		}
		if held > replayTarget {
			t.Errorf("seed %d: a refused request was held for %v", seed, held)
		}
	}
}

// A node that has just started has no service times, while callers that waited for it
// come at once. It must not queue what cannot be served in time: of twice what the
// upstream can start within the target, at most about that much may wait.
func TestGateWithoutHistoryDoesNotQueueTooMuch(t *testing.T) {
	g := openGate(t)
	fill(t, g, "a")
	waiting := 0
	for range 100 {
		if _, refusal, _ := g.Offer(0, request("a", 1, 0, replayTarget, replayDeadline)); refusal == nil {
			waiting++
		}
	}
	// Within the target, each of 8 slots can end about 3 runs of 60 ms, one of which it has.
	if most := 8 * int(replayTarget/replayWork); waiting > most {
		t.Errorf("%d requests wait for slots that can serve %d in time", waiting, most)
	}
}

// Thousands of configurations a day name their routes anew.
func TestServiceTimesOfRoutesThatAreGoneAreDropped(t *testing.T) {
	g := New()
	for i := range 5 * spareClasses {
		g.service["old-"+strconv.Itoa(i)] = time.Millisecond
	}
	g.service["kept"] = time.Millisecond
	g.Keep(func(class string) bool { return class == "kept" })
	if len(g.service) != 1 {
		t.Errorf("%d classes are kept", len(g.service))
	}
}

package replay

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/pace"
	"github.com/mulberrytray/mulberrytray/pkg/placement"
)

const (
	// offers bounds the upstreams that a request is offered to.
	offers = 3
	// nearDelay and farDelay are the ages at which changes of an upstream's load reach
	// nodes in its failure domain and in others.
	nearDelay = 5 * time.Millisecond
	farDelay  = 50 * time.Millisecond
	// reportPeriod is how often an upstream is asked for its pace.
	reportPeriod = 50 * time.Millisecond
)

// Rule is a way to place and queue requests.
type Rule struct {
	Name string
	// Random places requests at random instead of by the expected time.
	Random bool
	// Queue lets requests wait in order of arrival until their deadline, instead of
	// in the gate.
	Queue bool
	// Blind hides the pace of the VMs from placement and gate.
	Blind bool
	// Central starts requests by a scheduler that knows all VMs at each moment.
	Central bool
}

// Rules are compared by default, ours first.
func Rules() []Rule {
	return []Rule{
		{Name: "mulberrytray"},
		{Name: "without the pace", Blind: true},
		{Name: "random placement", Random: true},
		{Name: "random, in order of arrival", Random: true, Queue: true, Blind: true},
		{Name: "central, knows all", Central: true},
	}
}

// request is a request on its way.
type request struct {
	arrival
	gated *gate.Request
	tried []int
}

// upstream is one upstream, its VM and the node beside it.
type upstream struct {
	gate    *gate.Gate
	paces   []float64
	gauge   pace.Gauge
	running int
	waiting []*request
	// seen are the states that nodes in the same domain and in others know.
	seen [2]view
}

// view is what nodes know of an upstream.
type view struct {
	state gate.State
	at    time.Duration
	gauge pace.Gauge
	sent  int
	// due is set while a change is on its way.
	due bool
}

func (u *upstream) paceAt(now time.Duration) float64 {
	return u.paces[min(int(now/stallPeriod), len(u.paces)-1)]
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func(now time.Duration)
	// order keeps events of one time in the order in which they were added.
	order int
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet is one run of a scenario under a rule.
type fleet struct {
	scenario  *Scenario
	rule      Rule
	upstreams []*upstream
	byGated   map[*gate.Request]*request
	pending   []*request
	queue     events
	added     int
	random    *rand.Rand
	result    *Result
}

// Run plays the scenario with the seed under the rule.
func Run(s *Scenario, rule Rule, seed uint64) *Result {
	arrivals, paces := s.draw(seed)
	f := &fleet{
		scenario: s, rule: rule, byGated: map[*gate.Request]*request{},
		random: rand.New(rand.NewPCG(seed, 1)), result: newResult(s),
	}
	for i := range s.Upstreams {
		u := &upstream{gate: gate.New(), paces: paces[i]}
		u.gate.Open(0, s.Slots)
		f.upstreams = append(f.upstreams, u)
	}
	for _, a := range arrivals {
		r := &request{arrival: a}
		f.at(a.at, func(now time.Duration) { f.arrive(now, r) })
	}
	for at := time.Duration(0); at < s.Length+2*time.Second; at += reportPeriod {
		f.at(at, f.report)
	}
	for f.queue.Len() > 0 {
		e := heap.Pop(&f.queue).(event)
		e.do(e.at)
	}
	return f.result
}

func (f *fleet) at(at time.Duration, do func(time.Duration)) {
	f.added++
	heap.Push(&f.queue, event{at, do, f.added})
}

// report tells each node the pace of its VM and lets waiting requests advance.
func (f *fleet) report(now time.Duration) {
	for i, u := range f.upstreams {
		if f.rule.Blind {
			f.settle(now, i, u.gate.Advance(now))
		} else {
			u.gauge.Report(now, u.paceAt(now))
			f.settle(now, i, u.gate.Pace(now, u.paceAt(now)))
		}
		f.tell(now, u)
	}
	f.schedule(now)
}

// tell lets the nodes know of the upstream's state after their delays.
func (f *fleet) tell(now time.Duration, u *upstream) {
	for i, delay := range []time.Duration{nearDelay, farDelay} {
		v := &u.seen[i]
		if v.due {
			continue
		}
		v.due = true
		f.at(now+delay, func(now time.Duration) {
			*v = view{state: u.gate.State(now), at: now, gauge: u.gauge}
		})
	}
}

func (f *fleet) arrive(now time.Duration, r *request) {
	f.result.asked(r)
	if f.rule.Central {
		f.pending = append(f.pending, r)
		f.schedule(now)
		return
	}
	f.place(now, r)
}

// place offers the request to upstreams until one takes it.
func (f *fleet) place(now time.Duration, r *request) {
	for len(r.tried) < min(offers, len(f.upstreams)) {
		i := f.choose(now, r)
		r.tried = append(r.tried, i)
		if f.offer(now, i, r) {
			return
		}
	}
	f.result.refused(r)
}

func (f *fleet) choose(now time.Duration, r *request) int {
	var free []int
	for i := range f.upstreams {
		if !slices.Contains(r.tried, i) {
			free = append(free, i)
		}
	}
	if f.rule.Random {
		return free[f.random.IntN(len(free))]
	}
	var candidates []placement.Candidate
	for _, i := range free {
		candidates = append(candidates, f.candidate(now, i, r))
	}
	chosen, _ := placement.DefaultCosts().Pick(candidates, r.class.Work)
	f.view(free[chosen], r.node).sent++
	return free[chosen]
}

func (f *fleet) domain(node int) int { return node % f.scenario.Domains }

// view returns what the node knows of the upstream.
func (f *fleet) view(i, node int) *view {
	if f.domain(i) == f.domain(node) {
		return &f.upstreams[i].seen[0]
	}
	return &f.upstreams[i].seen[1]
}

func (f *fleet) candidate(now time.Duration, i int, r *request) placement.Candidate {
	v := f.view(i, r.node)
	hold, run := v.gauge.Plan(now, r.class.Work)
	return placement.Candidate{
		Local: i == r.node, SameDomain: f.domain(i) == f.domain(r.node), Pace: v.gauge.At(now), Work: hold + run, Wait: v.state.Wait,
		Free: v.state.Limit - v.state.Running - v.state.Queued - v.sent, Limit: v.state.Limit, Service: r.class.Work, Age: now - v.at,
	}
}

// offer reports whether the upstream takes the request.
func (f *fleet) offer(now time.Duration, i int, r *request) bool {
	u := f.upstreams[i]
	if f.rule.Queue {
		u.waiting = append(u.waiting, r)
		f.drain(now, i)
		return true
	}
	g := &gate.Request{Class: r.class.Name, Rank: r.class.Rank, Length: r.class.Target, Target: r.at + r.class.Target, Deadline: r.at + r.class.Deadline}
	started, refusal, o := u.gate.Offer(now, g)
	f.settle(now, i, o)
	f.tell(now, u)
	if refusal != nil {
		return false
	}
	r.gated = g
	f.byGated[g] = r
	if started {
		f.start(now, i, r)
	}
	return true
}

// settle carries out what a gate decided on requests that waited.
func (f *fleet) settle(now time.Duration, i int, o gate.Outcome) {
	for _, g := range o.Started {
		f.start(now, i, f.byGated[g])
	}
	for _, x := range o.Refused {
		r := f.byGated[x.Request]
		f.at(now, func(now time.Duration) { f.place(now, r) })
	}
}

// drain starts what waits in order of arrival.
func (f *fleet) drain(now time.Duration, i int) {
	u := f.upstreams[i]
	for len(u.waiting) > 0 && u.running < f.scenario.Slots {
		r := u.waiting[0]
		u.waiting = u.waiting[1:]
		if now > r.at+r.class.Deadline {
			f.result.refused(r)
			continue
		}
		f.start(now, i, r)
	}
}

// start runs the request: it takes what the VM's pace and load say at its start.
func (f *fleet) start(now time.Duration, i int, r *request) {
	u := f.upstreams[i]
	u.running++
	run := float64(r.class.Work) * r.factor * u.paceAt(now)
	if float64(u.running) > knee*float64(f.scenario.Slots) {
		run *= kneeTimes
	}
	run += float64(r.class.Calls)
	// An upstream ends work at the deadline.
	end := min(now+time.Duration(run), max(now, r.at+r.class.Deadline))
	whole := now+time.Duration(run) <= r.at+r.class.Deadline
	started := now
	f.at(end, func(now time.Duration) { f.end(now, i, r, whole, started) })
	f.result.ran(end - now)
}

func (f *fleet) end(now time.Duration, i int, r *request, whole bool, started time.Duration) {
	u := f.upstreams[i]
	u.running--
	f.result.ended(r, now, whole, started)
	switch {
	case f.rule.Central:
		f.schedule(now)
	case f.rule.Queue:
		f.drain(now, i)
	default:
		f.settle(now, i, u.gate.Done(now, r.gated, whole))
		f.tell(now, u)
	}
}

// schedule is the central scheduler: it starts the most urgent requests on calm VMs
// with usable slots, and gives up those that can no longer meet their target.
func (f *fleet) schedule(now time.Duration) {
	if !f.rule.Central {
		return
	}
	slices.SortStableFunc(f.pending, func(a, b *request) int {
		if a.class.Rank != b.class.Rank {
			return a.class.Rank - b.class.Rank
		}
		return int(a.at + a.class.Target - b.at - b.class.Target)
	})
	kept := f.pending[:0]
	for _, r := range f.pending {
		work := time.Duration(float64(r.class.Work) * r.factor)
		if now+work+r.class.Calls > r.at+r.class.Target {
			f.result.refused(r)
			continue
		}
		if i := f.best(now); i >= 0 && now+time.Duration(float64(work)*f.upstreams[i].paceAt(now))+r.class.Calls <= r.at+r.class.Target {
			f.start(now, i, r)
			continue
		}
		kept = append(kept, r)
	}
	f.pending = kept
}

// best returns the fastest VM with a usable slot, or -1.
func (f *fleet) best(now time.Duration) int {
	best := -1
	for i, u := range f.upstreams {
		if float64(u.running+1) > knee*float64(f.scenario.Slots) {
			continue
		}
		if best < 0 || u.paceAt(now) < f.upstreams[best].paceAt(now) {
			best = i
		}
	}
	return best
}

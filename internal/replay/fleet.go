package replay

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/placement"
	"github.com/mulberrytray/mulberrytray/pkg/slowdown"
	"github.com/mulberrytray/mulberrytray/pkg/spillover"
)

const (
	// maxAttempts bounds the upstreams that a request is offered to.
	maxAttempts = 3
	// localDelay and remoteDelay are the delays with which nodes in the same and in other
	// failure domains receive changes of an upstream's state.
	localDelay  = 5 * time.Millisecond
	remoteDelay = 50 * time.Millisecond
	// reportPeriod is the time between two reports of a VM's slowdown.
	reportPeriod = 50 * time.Millisecond
)

// Rule is a policy for placing and queueing requests.
type Rule struct {
	Name string
	// RandomPlacement places requests at random instead of by the expected response time.
	RandomPlacement bool
	// FIFO uses a queue in order of arrival instead of the gate. Requests wait in it until
	// their deadline.
	FIFO bool
	// IgnoreSlowdown hides the VMs' slowdowns from placement and gate.
	IgnoreSlowdown bool
	// FixedDomainCost chooses among the upstreams of all failure domains with a fixed cost for
	// leaving the own one, instead of by package spillover.
	FixedDomainCost bool
	// Central uses one scheduler that has the current state of all VMs without delay,
	// instead of placement and gate.
	Central bool
}

// Rules returns the rules that are compared by default. The first is the rule of the nodes.
func Rules() []Rule {
	return []Rule{
		{Name: "mulberrytray"},
		{Name: "without the pace", IgnoreSlowdown: true},
		{Name: "random placement", RandomPlacement: true},
		{Name: "random, in order of arrival", RandomPlacement: true, FIFO: true, IgnoreSlowdown: true},
		{Name: "central, knows all", Central: true},
	}
}

// request is an arrival and its state at the gate.
type request struct {
	arrival
	gateRequest *gate.Request
	// attempted are the upstreams that the request was offered to.
	attempted []int
}

// upstream is an upstream, its VM and the node beside it.
type upstream struct {
	gate      *gate.Gate
	slowdowns []float64
	estimator slowdown.Estimator
	running   int
	// waiting is the queue of the FIFO rule.
	waiting []*request
	// coldUntil is when the upstream is no longer cold.
	coldUntil time.Duration
	// views are the views that nodes in the same and in other failure domains have.
	views [2]view
}

// view is the state of an upstream as other nodes last received it.
type view struct {
	state     gate.State
	at        time.Duration
	estimator slowdown.Estimator
	// placed counts the requests placed at the upstream since the last update.
	placed int
	// updatePending is set while an update is in flight.
	updatePending bool
}

func (u *upstream) slowdownAt(now time.Duration) float64 {
	return u.slowdowns[min(int(now/stallPeriod), len(u.slowdowns)-1)]
}

// event is an action at a virtual time.
type event struct {
	at time.Duration
	do func(now time.Duration)
	// sequence is a running number. It orders events of the same time.
	sequence int
}

// events is a heap (heap.Interface) ordered by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet is one run of a scenario under a rule.
type fleet struct {
	scenario      *Scenario
	rule          Rule
	upstreams     []*upstream
	byGateRequest map[*gate.Request]*request
	// pending holds the requests that the central scheduler has not started.
	pending    []*request
	events     events
	eventCount int
	rng        *rand.Rand
	result     *Result
}

// Run simulates the scenario with the seed under the rule.
func Run(s *Scenario, rule Rule, seed uint64) *Result {
	arrivals, slowdowns := s.draw(seed)
	f := &fleet{
		scenario: s, rule: rule, byGateRequest: map[*gate.Request]*request{},
		rng: rand.New(rand.NewPCG(seed, 1)), result: newResult(s),
	}
	for i := range s.Upstreams {
		u := &upstream{gate: gate.New(), slowdowns: slowdowns[i]}
		u.gate.Open(0, s.Slots)
		f.upstreams = append(f.upstreams, u)
	}
	f.scheduleOutage()
	for _, a := range arrivals {
		r := &request{arrival: a}
		f.addEvent(a.at, func(now time.Duration) { f.arrive(now, r) })
	}
	for at := time.Duration(0); at < s.Duration+2*time.Second; at += reportPeriod {
		f.addEvent(at, f.reportSlowdowns)
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		e.do(e.at)
	}
	return f.result
}

// addEvent schedules an action.
func (f *fleet) addEvent(at time.Duration, do func(time.Duration)) {
	f.eventCount++
	heap.Push(&f.events, event{at, do, f.eventCount})
}

// reportSlowdowns reports the slowdown of each VM to its node and advances the queues.
func (f *fleet) reportSlowdowns(now time.Duration) {
	for i, u := range f.upstreams {
		if f.rule.IgnoreSlowdown {
			f.applyDecisions(now, i, u.gate.Advance(now))
		} else {
			u.estimator.Record(now, u.slowdownAt(now))
			f.applyDecisions(now, i, u.gate.RecordSlowdown(now, u.slowdownAt(now)))
		}
		f.publishState(now, u)
	}
	f.scheduleCentrally(now)
}

// publishState sends the upstream's state to the nodes, which receive it after their delays.
// The state is read at the time of receipt, so an update in flight includes later changes.
// The new view resets updatePending and placed.
func (f *fleet) publishState(now time.Duration, u *upstream) {
	for i, delay := range []time.Duration{localDelay, remoteDelay} {
		v := &u.views[i]
		if v.updatePending {
			continue
		}
		v.updatePending = true
		f.addEvent(now+delay, func(now time.Duration) {
			*v = view{state: u.gate.State(now), at: now, estimator: u.estimator}
		})
	}
}

func (f *fleet) arrive(now time.Duration, r *request) {
	f.result.addArrival(r)
	if f.rule.Central {
		f.pending = append(f.pending, r)
		f.scheduleCentrally(now)
		return
	}
	f.place(now, r)
}

// place offers the request to upstreams until one accepts it.
func (f *fleet) place(now time.Duration, r *request) {
	for len(r.attempted) < min(maxAttempts, len(f.upstreams)) {
		i := f.chooseUpstream(now, r)
		if i < 0 {
			break
		}
		r.attempted = append(r.attempted, i)
		if f.offer(now, i, r) {
			return
		}
	}
	f.result.addRejection(r)
	if f.scenario.Outage != nil && f.hasWarmRoom(now) {
		f.result.RejectedWithRoom++
	}
}

// chooseUpstream returns the index of an upstream that the request was not offered to, or -1.
func (f *fleet) chooseUpstream(now time.Duration, r *request) int {
	var remaining []int
	for i := range f.upstreams {
		if !slices.Contains(r.attempted, i) && !f.closedInView(i, r.node) {
			remaining = append(remaining, i)
		}
	}
	if len(remaining) == 0 {
		return -1
	}
	if f.rule.RandomPlacement {
		return remaining[f.rng.IntN(len(remaining))]
	}
	var candidates []placement.Candidate
	for _, i := range remaining {
		candidates = append(candidates, f.candidate(now, i, r))
	}
	if !f.rule.FixedDomainCost {
		remaining, candidates = f.confine(now, r, remaining, candidates)
	}
	chosen, _ := placement.DefaultCosts().Pick(candidates, r.class.ServiceTime)
	f.view(remaining[chosen], r.node).placed++
	f.result.addPlacement(now, r, f.domain(r.node), f.domain(remaining[chosen]))
	return remaining[chosen]
}

// confine restricts the upstreams to those inside or outside the failure domain of the node.
func (f *fleet) confine(now time.Duration, r *request, upstreams []int, candidates []placement.Candidate) ([]int, []placement.Candidate) {
	decision := spillover.DefaultCosts().Decide(candidates, placement.DefaultCosts(), spillover.Request{
		TargetLeft: r.at + r.class.Target - now, ServiceTime: r.class.ServiceTime, Bytes: r.class.Bytes,
	}, f.rng.Float64())
	var kept []int
	var keptCandidates []placement.Candidate
	for _, i := range decision.Keep(candidates) {
		kept, keptCandidates = append(kept, upstreams[i]), append(keptCandidates, candidates[i])
	}
	return kept, keptCandidates
}

func (f *fleet) domain(node int) int { return node % f.scenario.Domains }

// view returns the view that the node has of the upstream.
func (f *fleet) view(i, node int) *view {
	if f.domain(i) == f.domain(node) {
		return &f.upstreams[i].views[0]
	}
	return &f.upstreams[i].views[1]
}

func (f *fleet) candidate(now time.Duration, i int, r *request) placement.Candidate {
	v := f.view(i, r.node)
	deferral, run := v.estimator.Plan(now, r.class.ServiceTime)
	return placement.Candidate{
		OwnUpstream: i == r.node, SameDomain: f.domain(i) == f.domain(r.node), Slowdown: v.estimator.At(now), ExecutionTime: deferral + run, Wait: v.state.Wait,
		Free: v.state.Limit - v.state.Running - v.state.Queued - v.placed, Limit: v.state.Limit, ServiceTime: r.class.ServiceTime, ReportAge: now - v.at,
	}
}

// offer offers the request to the upstream and reports whether it was accepted.
func (f *fleet) offer(now time.Duration, i int, r *request) bool {
	u := f.upstreams[i]
	if f.rule.FIFO {
		u.waiting = append(u.waiting, r)
		f.startWaiting(now, i)
		return true
	}
	g := &gate.Request{Class: r.class.Name, Rank: r.class.Rank, TargetLatency: r.class.Target, TargetTime: r.at + r.class.Target, Deadline: r.at + r.class.Deadline}
	started, rejection, decisions := u.gate.Offer(now, g)
	f.applyDecisions(now, i, decisions)
	f.publishState(now, u)
	if rejection != nil {
		return false
	}
	r.gateRequest = g
	f.byGateRequest[g] = r
	if started {
		f.start(now, i, r)
	}
	return true
}

// applyDecisions runs the requests that the gate started and places rejected ones again.
func (f *fleet) applyDecisions(now time.Duration, i int, d gate.Decisions) {
	for _, g := range d.Started {
		f.start(now, i, f.byGateRequest[g])
	}
	for _, rejection := range d.Rejected {
		r := f.byGateRequest[rejection.Request]
		f.addEvent(now, func(now time.Duration) { f.place(now, r) })
	}
}

// startWaiting starts requests of the FIFO queue while slots are free. It rejects requests
// whose deadline has passed.
func (f *fleet) startWaiting(now time.Duration, i int) {
	u := f.upstreams[i]
	for len(u.waiting) > 0 && u.running < f.scenario.Slots {
		r := u.waiting[0]
		u.waiting = u.waiting[1:]
		if now > r.at+r.class.Deadline {
			f.result.addRejection(r)
			continue
		}
		f.start(now, i, r)
	}
}

// start runs the request. The VM's slowdown and load at the start fix its duration.
func (f *fleet) start(now time.Duration, i int, r *request) {
	u := f.upstreams[i]
	u.running++
	duration := float64(r.class.ServiceTime) * r.factor * u.slowdownAt(now) * f.coldSlowdown(now, i)
	if float64(u.running) > kneeRatio*float64(f.scenario.Slots) {
		duration *= kneeFactor
	}
	duration += float64(r.class.CallTime)
	// An upstream cancels requests at their deadline.
	end := min(now+time.Duration(duration), max(now, r.at+r.class.Deadline))
	complete := now+time.Duration(duration) <= r.at+r.class.Deadline
	started := now
	f.addEvent(end, func(now time.Duration) { f.finish(now, i, r, complete, started) })
	f.result.addSlotTime(end - now)
}

func (f *fleet) finish(now time.Duration, i int, r *request, complete bool, started time.Duration) {
	u := f.upstreams[i]
	u.running--
	f.result.addEnd(r, now, complete, started)
	switch {
	case f.rule.Central:
		f.scheduleCentrally(now)
	case f.rule.FIFO:
		f.startWaiting(now, i)
	default:
		f.applyDecisions(now, i, u.gate.Done(now, r.gateRequest, complete))
		f.publishState(now, u)
	}
}

// scheduleCentrally is the central scheduler. It starts the most urgent requests on the
// fastest VMs that are not overloaded and rejects requests that can no longer meet their
// target.
func (f *fleet) scheduleCentrally(now time.Duration) {
	if !f.rule.Central {
		return
	}
	slices.SortStableFunc(f.pending, func(a, b *request) int {
		if a.class.Rank != b.class.Rank {
			return a.class.Rank - b.class.Rank
		}
		return int(a.at + a.class.Target - b.at - b.class.Target)
	})
	waiting := f.pending[:0]
	for _, r := range f.pending {
		serviceTime := time.Duration(float64(r.class.ServiceTime) * r.factor)
		if now+serviceTime+r.class.CallTime > r.at+r.class.Target {
			f.result.addRejection(r)
			continue
		}
		if i := f.fastestUpstream(now); i >= 0 && now+time.Duration(float64(serviceTime)*f.upstreams[i].slowdownAt(now))+r.class.CallTime <= r.at+r.class.Target {
			f.start(now, i, r)
			continue
		}
		waiting = append(waiting, r)
	}
	f.pending = waiting
}

// fastestUpstream returns the upstream on the fastest VM that can start one more request
// without exceeding kneeRatio, or -1.
func (f *fleet) fastestUpstream(now time.Duration) int {
	fastest := -1
	for i, u := range f.upstreams {
		if float64(u.running+1) > kneeRatio*float64(f.scenario.Slots) {
			continue
		}
		if fastest < 0 || u.slowdownAt(now) < f.upstreams[fastest].slowdownAt(now) {
			fastest = i
		}
	}
	return fastest
}

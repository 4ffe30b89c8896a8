package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Service returns the expected service time of the class at the usual pace.
func (g *Gate) Service(class string) time.Duration {
	if s, ok := g.service[class]; ok {
		return s
	}
	if s, ok := g.assumed[class]; ok {
		return s
	}
	return firstService
}

// expect returns when a request of the class begins and ends that gets its slot at
// the given time.
func (g *Gate) expect(now, slot time.Duration, class string) (start, end time.Duration) {
	work := g.Service(class)
	if slot > now {
		return slot, slot + g.pace.Later(work)
	}
	hold, run := g.pace.Plan(now, work)
	return now + hold, now + hold + run
}

// assume takes a service time for a route without history from its target.
func (g *Gate) assume(r *Request) {
	if _, known := g.service[r.Class]; !known && r.Length > 0 {
		g.assumed[r.Class] = time.Duration(firstShare * float64(r.Length))
	}
}

// Keep drops the service times of classes that are not known any more, if there are
// many: nodes with an older configuration still send some of them for a while.
func (g *Gate) Keep(known func(class string) bool) {
	for _, times := range []map[string]time.Duration{g.service, g.assumed} {
		if len(times) > spareClasses {
			maps.DeleteFunc(times, func(class string, _ time.Duration) bool { return !known(class) })
		}
	}
}

func (g *Gate) learn(now time.Duration, r *Request) {
	usual := float64(now-r.started) / max(leastPace, r.pace)
	old, ok := g.service[r.Class]
	if !ok {
		g.service[r.Class] = time.Duration(usual)
		delete(g.assumed, r.Class)
		return
	}
	g.service[r.Class] = old + time.Duration(serviceWeight*(usual-float64(old)))
}

// short reports whether the work of the class takes little of the upstream.
func (g *Gate) short(class string) bool {
	longest := time.Duration(0)
	for _, s := range g.service {
		longest = max(longest, s)
	}
	s, known := g.service[class]
	return known && float64(s) < shortShare*float64(longest)
}

// sort puts short work first, then requests that can still meet their target before
// those that cannot, then orders by rank and by the moment of the target.
func (g *Gate) sort(now time.Duration) {
	class := func(r *Request) int {
		if g.short(r.Class) {
			return -1
		}
		if !g.meetsTarget(now, now, r) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(g.queue, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Target, b.Target))
	})
}

// giveUp removes the requests that are predicted to start too late.
func (g *Gate) giveUp(now time.Duration) []Refusal {
	var refused []Refusal
	g.predict(now)
	kept := g.queue[:0]
	for _, r := range g.queue {
		start, end := g.expect(now, slices.Min(g.free), r.Class)
		if reason := g.hopeless(now, start, end, r); reason != ReasonNone {
			refused = append(refused, Refusal{r, reason, max(minRetry, start-now)})
			continue
		}
		g.take(now, r)
		kept = append(kept, r)
	}
	g.queue = kept
	return refused
}

// meetsTarget reports whether the request can meet its target if it gets a slot then and
// no further stall meets it. The mean over stalls would refuse urgent work with a tight
// target that most likely meets it, and give its slots to lesser work with time to wait.
func (g *Gate) meetsTarget(now, slot time.Duration, r *Request) bool {
	work := g.Service(r.Class)
	rest, _ := g.pace.AfterStall(now, work)
	if max(slot, now+rest)+g.pace.Calm(work) <= r.Target {
		return true
	}
	_, end := g.expect(now, slot, r.Class)
	return end <= r.Target
}

// hopeless tells why a request that is predicted to start and end at the given
// times should not go on waiting.
func (g *Gate) hopeless(now, start, end time.Duration, r *Request) Reason {
	if end > r.Deadline {
		return ReasonDeadline
	}
	if g.meetsTarget(now, start, r) || g.short(r.Class) {
		return ReasonNone
	}
	if start > r.arrived+r.Length/lateWaitShare {
		return ReasonDisplaced
	}
	return ReasonNone
}

// predict fills g.free with the times at which the usable slots become free.
func (g *Gate) predict(now time.Duration) {
	g.free = g.free[:0]
	for _, r := range g.running {
		run := time.Duration(float64(g.Service(r.Class)) * r.pace)
		g.free = append(g.free, max(r.started+run, now+time.Duration(overrun*float64(run))))
	}
	for range g.foreign {
		g.free = append(g.free, now+firstService)
	}
	for len(g.free) < g.limit() {
		g.free = append(g.free, now)
	}
	slices.Sort(g.free)
	// More may run than is usable just after the number of slots fell.
	if n := len(g.free) - g.limit(); n > 0 {
		g.free = g.free[n:]
	}
}

// take gives the slot that is free first to the request.
func (g *Gate) take(now time.Duration, r *Request) {
	i := 0
	for j := range g.free {
		if g.free[j] < g.free[i] {
			i = j
		}
	}
	_, g.free[i] = g.expect(now, g.free[i], r.Class)
}

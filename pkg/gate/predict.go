package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ServiceTime returns the expected service time of the class at slowdown 1.
func (g *Gate) ServiceTime(class string) time.Duration {
	if s, ok := g.serviceTimes[class]; ok {
		return s
	}
	if s, ok := g.assumedTimes[class]; ok {
		return s
	}
	return defaultServiceTime
}

// expectedTime returns the expected service time of the class at slowdown 1. It is longer while the
// upstream is cold.
func (g *Gate) expectedTime(class string) time.Duration {
	return time.Duration(float64(g.ServiceTime(class)) * g.cold.factor())
}

// predictRun returns when a request of the class starts and ends if a slot is free for
// it at slotFreeAt.
func (g *Gate) predictRun(now, slotFreeAt time.Duration, class string) (start, end time.Duration) {
	serviceTime := g.expectedTime(class)
	if slotFreeAt > now {
		return slotFreeAt, slotFreeAt + g.slowdown.LaterExecutionTime(serviceTime)
	}
	deferral, run := g.slowdown.Plan(now, serviceTime)
	return now + deferral, now + deferral + run
}

// assumeServiceTime derives the service time of a route without history from its
// target latency.
func (g *Gate) assumeServiceTime(r *Request) {
	if _, known := g.serviceTimes[r.Class]; !known && r.TargetLatency > 0 {
		g.assumedTimes[r.Class] = time.Duration(assumedServiceTimeRatio * float64(r.TargetLatency))
	}
}

// PruneServiceTimes deletes the service times of unknown classes if there are more than
// pruneThreshold classes. Otherwise they are retained, because nodes with an older
// configuration still send requests of removed classes for a while.
func (g *Gate) PruneServiceTimes(known func(class string) bool) {
	for _, times := range []map[string]time.Duration{g.serviceTimes, g.assumedTimes} {
		if len(times) > pruneThreshold {
			maps.DeleteFunc(times, func(class string, _ time.Duration) bool { return !known(class) })
		}
	}
}

// recordServiceTime updates the moving average of the class with the time that the
// request ran, normalized to slowdown 1. A request that started while the upstream was cold
// updates the cold slowdown instead if the class is known. If the upstream no longer counts as cold,
// it may not have been cold during the run.
func (g *Gate) recordServiceTime(now time.Duration, r *Request) {
	normalized := float64(now-r.started) / max(minSlowdown, r.slowdown)
	old, ok := g.serviceTimes[r.Class]
	if r.coldSlowdown > 0 {
		if g.cold.rate == 0 {
			return
		}
		if ok {
			g.cold.observe(normalized * r.coldSlowdown / max(1, float64(old)))
			return
		}
	}
	if !ok {
		g.serviceTimes[r.Class] = time.Duration(normalized)
		delete(g.assumedTimes, r.Class)
		return
	}
	g.serviceTimes[r.Class] = old + time.Duration(serviceTimeWeight*(normalized-float64(old)))
}

// longestServiceTime returns the longest known service time at slowdown 1.
func (g *Gate) longestServiceTime() time.Duration {
	longest := time.Duration(0)
	for _, s := range g.serviceTimes {
		longest = max(longest, s)
	}
	return longest
}

// isShort reports whether requests of the class are much shorter than the longest kind
// at the upstream.
func (g *Gate) isShort(class string) bool {
	s, known := g.serviceTimes[class]
	return known && float64(s) < shortRatio*float64(g.longest)
}

// groupOf returns the group of the request in the order of the queue: -1 for short requests, 0 for
// those that can still meet their target if a slot is free at slotFreeAt, and 1 for the others.
func (g *Gate) groupOf(now, slotFreeAt time.Duration, r *Request) int {
	switch {
	case g.isShort(r.Class):
		return -1
	case g.meetsTarget(now, slotFreeAt, r):
		return 0
	}
	return 1
}

// sortQueue orders the queue by group, within a group by rank, and within a rank by turns of the
// organisations and by target time.
func (g *Gate) sortQueue(now time.Duration) {
	slotFreeAt := max(now, g.cold.next(g.cold.starts))
	for _, r := range g.queue {
		r.group = g.groupOf(now, slotFreeAt, r)
	}
	slices.SortStableFunc(g.queue, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.TargetTime, b.TargetTime))
	})
	if !g.assignTurns() {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.turn, b.turn))
	})
}

// rejectLate removes and returns the queued requests that are predicted to start too
// late.
func (g *Gate) rejectLate(now time.Duration) []Rejection {
	var rejected []Rejection
	g.predictFreeSlots(now)
	remaining := g.queue[:0]
	for _, r := range g.queue {
		start, end := g.predictRun(now, g.nextFree(), r.Class)
		if reason := g.rejectReason(now, start, end, r); reason != ReasonNone {
			rejected = append(rejected, Rejection{r, reason, max(minRetryAfter, start-now)})
			continue
		}
		g.assignSlot(now, r)
		remaining = append(remaining, r)
	}
	g.queue = remaining
	return rejected
}

// meetsTarget reports whether the request can meet its target if a slot is free for it
// at slotFreeAt and no further stall affects it. Using the mean over stalls instead would
// reject urgent requests with a tight target that most likely meet it, and give their
// slots to lower-ranked requests that have time to wait.
func (g *Gate) meetsTarget(now, slotFreeAt time.Duration, r *Request) bool {
	serviceTime := g.expectedTime(r.Class)
	stallLeft, _ := g.slowdown.AfterStall(now, serviceTime)
	if max(slotFreeAt, now+stallLeft)+g.slowdown.BaselineRunTime(serviceTime) <= r.TargetTime {
		return true
	}
	_, end := g.predictRun(now, slotFreeAt, r.Class)
	return end <= r.TargetTime
}

// rejectReason returns why a request that is predicted to start and end at the given
// times should be rejected, or ReasonNone if it should stay queued.
func (g *Gate) rejectReason(now, start, end time.Duration, r *Request) Reason {
	if end > r.Deadline {
		return ReasonDeadline
	}
	if g.meetsTarget(now, start, r) || g.isShort(r.Class) {
		return ReasonNone
	}
	if start > r.arrived+r.TargetLatency/lateWaitDivisor {
		return ReasonDisplaced
	}
	return ReasonNone
}

// predictFreeSlots fills g.slotFreeAt with the times at which the usable slots become
// free, and forgets the starts that were predicted for queued requests.
func (g *Gate) predictFreeSlots(now time.Duration) {
	g.cold.beginPlan()
	g.slotFreeAt = g.slotFreeAt[:0]
	for _, r := range g.running {
		run := time.Duration(float64(g.ServiceTime(r.Class)) * r.slowdown)
		g.slotFreeAt = append(g.slotFreeAt, max(r.started+run, now+time.Duration(minRemainingRatio*float64(run))))
	}
	for range g.untracked {
		g.slotFreeAt = append(g.slotFreeAt, now+defaultServiceTime)
	}
	for len(g.slotFreeAt) < g.limit() {
		g.slotFreeAt = append(g.slotFreeAt, now)
	}
	slices.Sort(g.slotFreeAt)
	// More requests may run than there are usable slots just after the number of slots
	// fell.
	if n := len(g.slotFreeAt) - g.limit(); n > 0 {
		g.slotFreeAt = g.slotFreeAt[n:]
	}
}

// nextFree returns when the next request can start, after those that have a slot.
func (g *Gate) nextFree() time.Duration {
	return max(slices.Min(g.slotFreeAt), g.cold.next(g.cold.planned))
}

// assignSlot assigns the slot that is free first to the request, and sets when the
// slot is free again.
func (g *Gate) assignSlot(now time.Duration, r *Request) {
	first := 0
	for i := range g.slotFreeAt {
		if g.slotFreeAt[i] < g.slotFreeAt[first] {
			first = i
		}
	}
	start, end := g.predictRun(now, g.nextFree(), r.Class)
	g.slotFreeAt[first] = end
	g.cold.plan(start)
}

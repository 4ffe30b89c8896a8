package admission_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// harness records the order in which requests get a slot.
type harness struct {
	*admission.Controller
	mu       sync.Mutex
	order    []string
	rejected map[string]outcome.Reason
	wg       sync.WaitGroup
}

func newHarness(slots int) *harness {
	h := &harness{Controller: admission.New(ranks), rejected: map[string]outcome.Reason{}}
	h.SetSlots(slots, false)
	return h
}

// submit queues a request that holds its slot for the service time.
func (h *harness) submit(ctx context.Context, name string, r admission.Request) {
	h.wg.Go(func() {
		release, err := h.Acquire(ctx, r)
		h.mu.Lock()
		var rejection *admission.Rejection
		if errors.As(err, &rejection) {
			h.rejected[name] = rejection.Reason
		} else {
			h.order = append(h.order, name)
		}
		h.mu.Unlock()
		if err == nil {
			time.Sleep(serviceTime)
			release()
			release()
		}
	})
	synctest.Wait()
}

func after(d time.Duration) time.Time { return time.Now().Add(d) }

// Guards against a caller that takes all slots of its rank, and against deadlines
// that are compared across callers.
func TestCallersServedRoundRobin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		ctx := context.Background()
		h.submit(ctx, "running", admission.Request{Rank: "urgent"})
		for i, d := range []time.Duration{3, 1, 2} {
			h.submit(ctx, fmt.Sprint("a", i), admission.Request{Rank: "urgent", Caller: "a", Deadline: after(d * time.Second)})
		}
		h.submit(ctx, "b0", admission.Request{Rank: "urgent", Caller: "b", Deadline: after(9 * time.Second)})
		h.wg.Wait()
		if got, want := fmt.Sprint(h.order), "[running a1 b0 a2 a0]"; got != want {
			t.Errorf("order %v, want %v", got, want)
		}
	})
}

// Guards against a slot that leaks or is granted twice when requests end by
// cancellation, deadline, busy rejection or drain.
func TestEndedRequestsReleaseSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		ctx, cancel := context.WithCancel(context.Background())
		release, err := h.Acquire(ctx, admission.Request{Rank: "urgent"})
		if err != nil {
			t.Fatal(err)
		}
		h.submit(ctx, "no-wait", admission.Request{Rank: "urgent", NoWait: true})
		h.submit(ctx, "cancelled", admission.Request{Rank: "urgent"})
		h.submit(context.Background(), "expired", admission.Request{Rank: "batch", Deadline: after(time.Second)})
		cancel()
		time.Sleep(2 * time.Second)
		h.submit(context.Background(), "drained", admission.Request{Rank: "normal"})
		h.SetDrain(true)
		h.submit(context.Background(), "late", admission.Request{Rank: "normal"})
		h.wg.Wait()
		want := "map[cancelled:cancelled drained:draining expired:deadline late:draining no-wait:busy]"
		if got := fmt.Sprint(h.rejected); got != want {
			t.Errorf("rejected %v, want %v", got, want)
		}
		release()
		if s := h.Stats(); s.InFlight != 0 || s.Queued != 0 {
			t.Errorf("%d in flight and %d queued remain", s.InFlight, s.Queued)
		}
	})
}

// Guards against an unbounded queue, against one caller or one rank that fills it,
// and against requests of higher worth that cannot enter a full queue.
func TestQueueBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		release, err := h.Acquire(context.Background(), admission.Request{Rank: "normal"})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		for caller := range 3 {
			for i := range 40 {
				h.submit(ctx, fmt.Sprint(caller, "/", i), admission.Request{Rank: "batch", Caller: fmt.Sprint(caller)})
			}
			if got, want := h.Stats().Queued, min(12*(caller+1), 24); got != want {
				t.Errorf("%d queued after caller %d, want %d", got, caller, want)
			}
		}
		for i := range 40 {
			h.submit(ctx, fmt.Sprint("urgent", i), admission.Request{Rank: "urgent", Caller: fmt.Sprint(i)})
		}
		if got := h.Stats().Queued; got != 32 {
			t.Errorf("%d queued, want 32", got)
		}
		if h.rejected["urgent0"] != "" || h.rejected["urgent19"] != "" {
			t.Error("a request of higher worth was rejected because the queue is full")
		}
		cancel()
		h.wg.Wait()
		release()
	})
}

// Guards against waiting requests that are lost when the ranks change.
func TestRankChangeKeepsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		ctx := context.Background()
		h.submit(ctx, "running", admission.Request{Rank: "urgent"})
		h.submit(ctx, "gone", admission.Request{Rank: "urgent"})
		h.submit(ctx, "unknown", admission.Request{Rank: "no such rank"})
		h.submit(ctx, "kept", admission.Request{Rank: "batch"})
		h.SetRanks([]intent.Rank{{Name: "batch", Worth: 1}})
		h.wg.Wait()
		if got, want := fmt.Sprint(h.order), "[running kept unknown gone]"; got != want && got != "[running kept gone unknown]" {
			t.Errorf("order %v, want %v", got, want)
		}
	})
}

// Guards against a cold upstream that receives its full load immediately.
func TestWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.New(ranks)
		for _, want := range []int{1, 3, 5, 8, 10} {
			c.SetSlots(testSlots, true)
			if got := c.Stats().Slots; got != want {
				t.Errorf("%d slots, want %d", got, want)
			}
			time.Sleep(2500 * time.Millisecond)
		}
		c.SetSlots(4, false)
		if got := c.Stats().Slots; got != 4 {
			t.Errorf("%d slots when ready, want 4", got)
		}
	})
}

// Guards against requests that wait although they cannot complete in time.
func TestInfeasibleRequestIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		h.submit(context.Background(), "measured", admission.Request{Rank: "urgent"})
		h.wg.Wait()
		for i := range 6 {
			h.submit(context.Background(), fmt.Sprint(i), admission.Request{Rank: "urgent"})
		}
		start := time.Now()
		_, err := h.Acquire(context.Background(), admission.Request{Rank: "urgent", Deadline: after(4 * serviceTime)})
		var rejection *admission.Rejection
		if !errors.As(err, &rejection) || rejection.Reason != outcome.ReasonOverload || rejection.RetryAfter <= 0 {
			t.Errorf("got %v, want an overload rejection with a retry delay", err)
		}
		if time.Since(start) > 0 {
			t.Errorf("rejected after %v", time.Since(start))
		}
		h.wg.Wait()
	})
}

// Measures Acquire and release when a slot is free.
func BenchmarkAcquireRelease(b *testing.B) {
	c := admission.New(ranks)
	c.SetSlots(1000, false)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, err := c.Acquire(ctx, admission.Request{Rank: "urgent", Caller: "a"})
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
}

// Measures Acquire and release when requests queue for a slot.
func BenchmarkAcquireQueued(b *testing.B) {
	c := admission.New(ranks)
	c.SetSlots(2, false)
	ctx := context.Background()
	b.ReportAllocs()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, err := c.Acquire(ctx, admission.Request{Rank: "urgent", Caller: "a"})
			if err == nil {
				release()
			}
		}
	})
}

// Guards against a flood of one rank whose queue makes all its responses late.
func TestQueueWaitStaysBelowTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.New([]intent.Rank{{Name: "urgent", Worth: 1, TargetMs: 100}})
		c.SetSlots(1, false)
		var waits []time.Duration
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				began := time.Now()
				release, err := c.Acquire(t.Context(), admission.Request{Rank: "urgent", Caller: "a", Deadline: began.Add(10 * time.Second)})
				if err != nil {
					return
				}
				mu.Lock()
				waits = append(waits, time.Since(began))
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				release()
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		for _, w := range waits[len(waits)/2:] {
			if w > 100*time.Millisecond {
				t.Errorf("a request waited %v, more than the rank's target", w)
			}
		}
	})
}

// Guards against slots that become free at the same moment and are all granted to
// one rank, because none of these grants has used any slot time yet.
func TestSlotsFreedTogetherAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testSlots)
		ctx := context.Background()
		// The controller measures the service time over several rounds.
		for range 3 * testSlots {
			h.submit(ctx, "urgent", admission.Request{Rank: "urgent"})
		}
		for range testSlots {
			h.submit(ctx, "normal", admission.Request{Rank: "normal"})
		}
		time.Sleep(serviceTime + serviceTime/2)
		synctest.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		counts := map[string]int{}
		for _, name := range h.order[testSlots : 2*testSlots] {
			counts[name]++
		}
		if counts["urgent"] == 0 || counts["normal"] == 0 {
			t.Errorf("the slots that became free together went to %v", counts)
		}
		h.mu.Unlock()
		h.wg.Wait()
		h.mu.Lock()
	})
}

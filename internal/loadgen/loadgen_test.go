package loadgen

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a central queue that grants more slots than exist, or that
// loses a slot when a waiting request times out.
func TestCentralQueueSlots(t *testing.T) {
	const slots = 2
	q := NewCentralQueue(nil, []string{"a"}, slots)
	var inUse, maxInUse atomic.Int32
	var wg sync.WaitGroup
	for n := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n%10+1)*time.Millisecond)
			defer cancel()
			i, err := q.acquire(ctx, float64(n%3))
			if err != nil {
				return
			}
			now := inUse.Add(1)
			for m := maxInUse.Load(); now > m && !maxInUse.CompareAndSwap(m, now); m = maxInUse.Load() {
			}
			time.Sleep(time.Millisecond)
			inUse.Add(-1)
			q.release(i)
		})
	}
	wg.Wait()
	if maxInUse.Load() > slots {
		t.Errorf("%d slots were in use at once, there are %d", maxInUse.Load(), slots)
	}
	if q.free[0] != slots || len(q.waiting) != 0 {
		t.Errorf("after the run %d slots are free and %d requests wait", q.free[0], len(q.waiting))
	}
}

// Guards against a central queue that serves a request of lower worth first.
func TestCentralQueueOrder(t *testing.T) {
	q := NewCentralQueue(nil, []string{"a"}, 1)
	ctx := context.Background()
	if _, err := q.acquire(ctx, 1); err != nil {
		t.Fatal(err)
	}
	order := make(chan float64, 2)
	for n, worth := range []float64{1, 5} {
		go func() {
			i, _ := q.acquire(ctx, worth)
			order <- worth
			q.release(i)
		}()
		waitForQueueLength(q, n+1)
	}
	q.release(0)
	if first := <-order; first != 5 {
		t.Errorf("the request of worth %g was served first", first)
	}
}

func waitForQueueLength(q *CentralQueue, n int) {
	for {
		q.mu.Lock()
		have := len(q.waiting)
		q.mu.Unlock()
		if have == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against arrivals that differ between runs with the same seed.
func TestArrivalsFollowSeed(t *testing.T) {
	count := func() int64 {
		r := Run(context.Background(), 7, 50*time.Millisecond, []Class{
			{Name: "a", Rate: 2000, Timeout: time.Second, TargetLatency: time.Second},
		}, instantTarget{})
		return r[0].Sent
	}
	if a, b := count(), count(); a != b {
		t.Errorf("the same seed gave %d and %d arrivals", a, b)
	}
}

// instantTarget is a target that responds without delay.
type instantTarget struct{}

func (instantTarget) Send(context.Context, *Class) Reply { return Reply{Status: http.StatusOK} }

package admission_test

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

const (
	testSlots   = 10
	serviceTime = 20 * time.Millisecond
	capacity    = testSlots * 50.0 // requests/s
	runTime     = 4 * time.Second
	settleTime  = 2 * time.Second
)

var ranks = []intent.Rank{
	{Name: "urgent", Worth: 10, ReservePercent: 30},
	{Name: "normal", Worth: 5, ReservePercent: 20},
	{Name: "batch", Worth: 1, ReservePercent: 10},
}

// acquirer acquires a slot from the controller or from a plain FIFO.
type acquirer func(context.Context, admission.Request) (func(), error)

// counts are the requests of one rank that completed in the measurement window,
// within their timeout (useful) or after it (late).
type counts struct{ useful, late int }

// window is the measurement window, from the end of settling to the end of the load.
type window struct{ from, to time.Time }

func (w window) contains(t time.Time) bool { return t.After(w.from) && !t.After(w.to) }

// run offers rates (by rank, as fractions of capacity) in an open loop and counts
// the requests that complete in the measurement window. A request counts when it
// completes: one that was still queued at the start of the window used no capacity
// before it.
func run(acquire acquirer, rates []float64, timeout time.Duration) []counts {
	result := make([]counts, len(rates))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	counted := window{start.Add(settleTime), start.Add(runTime)}
	due := make([]float64, len(rates))
	for time.Since(start) < runTime {
		for i, rate := range rates {
			for due[i] += rate * capacity / 1000; due[i] >= 1; due[i]-- {
				wg.Go(func() { request(acquire, i, timeout, counted, &mu, &result[i]) })
			}
		}
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return result
}

// request makes one request and counts it in n.
func request(acquire acquirer, rank int, timeout time.Duration, counted window, mu *sync.Mutex, n *counts) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	release, err := acquire(ctx, admission.Request{Rank: ranks[rank].Name, Caller: "a", Deadline: deadline})
	if err == nil {
		time.Sleep(serviceTime)
		release()
	}
	mu.Lock()
	defer mu.Unlock()
	now := time.Now()
	if err != nil || !counted.contains(now) {
		return
	}
	if now.After(deadline) {
		n.late++
		return
	}
	n.useful++
}

func controller() acquirer {
	c := admission.New(ranks)
	c.SetSlots(testSlots, false)
	return c.Acquire
}

// fifo serves in order of arrival and ignores deadlines.
func fifo() acquirer {
	slots := make(chan struct{}, testSlots)
	return func(context.Context, admission.Request) (func(), error) {
		slots <- struct{}{}
		return func() { <-slots }, nil
	}
}

// share returns the rate of useful requests as a fraction of capacity.
func (n counts) share() float64 {
	return float64(n.useful) / (capacity * (runTime - settleTime).Seconds())
}

func total(all []counts) float64 {
	sum := 0.0
	for _, n := range all {
		sum += n.share()
	}
	return sum
}

// Guards against requests that are run too late to be useful. The plain FIFO shows
// that the load loop detects them.
func TestGoodputAtTenTimesOverload(t *testing.T) {
	rates := []float64{2, 3, 5}
	for _, timeout := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			if got := total(run(controller(), rates, timeout)); got < 0.9 {
				t.Errorf("timeout %v: goodput %.3f of capacity, want at least 0.9", timeout, got)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		if got := total(run(fifo(), rates, 100*time.Millisecond)); got >= 0.9 {
			t.Errorf("FIFO reaches goodput %.3f; the test cannot detect late requests", got)
		}
	})
}

// Guards against a flood of the least urgent rank that displaces urgent requests.
func TestUrgentGoodputInFlood(t *testing.T) {
	goodput := func(a func() acquirer, batch float64) (useful float64) {
		synctest.Test(t, func(*testing.T) {
			useful = float64(run(a(), []float64{0.4, 0.1, batch}, 100*time.Millisecond)[0].useful)
		})
		return useful
	}
	baseline, flood := goodput(controller, 0.1), goodput(controller, 10)
	if flood < 0.99*baseline {
		t.Errorf("urgent goodput %v in the flood, %v without it", flood, baseline)
	}
	if fifoFlood := goodput(fifo, 10); fifoFlood >= 0.99*baseline {
		t.Errorf("FIFO keeps urgent goodput %v of %v; the test cannot detect displacement", fifoFlood, baseline)
	}
}

// Guards against ranks that do not get their reserve, and against plans whose
// shares differ from those that the controller grants.
func TestSharesAgreeWithPlan(t *testing.T) {
	const tolerance = 0.02
	tests := []struct {
		desc  string
		rates []float64
	}{
		{"all ranks flood", []float64{3, 3, 3}},
		{"flood of the least urgent", []float64{0.3, 0.15, 10}},
		{"flood of the most urgent", []float64{10, 0.3, 0.3}},
		{"a rank below its reserve", []float64{5, 0.15, 5}},
		{"no overload", []float64{0.3, 0.3, 0.3}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			want := admission.Shares(1, ranks, tt.rates)
			synctest.Test(t, func(t *testing.T) {
				for i, n := range run(controller(), tt.rates, 200*time.Millisecond) {
					if math.Abs(n.share()-want[i]) > tolerance {
						t.Errorf("rank %s: share %.3f, plan has %.3f", ranks[i].Name, n.share(), want[i])
					}
				}
			})
		})
	}
}

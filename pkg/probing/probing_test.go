package probing

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// recorder is a Prober that records the time of each probe and detects concurrent
// probes of one address.
type recorder struct {
	hangs bool
	start time.Time

	mu              sync.Mutex
	sends           []time.Duration
	probesByAddress map[string]int
	outstanding     map[string]int
	overlapped      bool
}

func newRecorder(hangs bool) *recorder {
	return &recorder{hangs: hangs, start: time.Now(), probesByAddress: map[string]int{}, outstanding: map[string]int{}}
}

func (r *recorder) ProbeLoad(ctx context.Context, address string, _ *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	r.mu.Lock()
	r.sends = append(r.sends, time.Since(r.start))
	r.probesByAddress[address]++
	r.outstanding[address]++
	r.overlapped = r.overlapped || r.outstanding[address] > 1
	r.mu.Unlock()
	if r.hangs {
		<-ctx.Done()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[address]--
	return &pb.ProbeLoadResponse{Load: &pb.Load{InFlight: 1}}, ctx.Err()
}

// rateSchedule returns the rate at a time after the start.
type rateSchedule func(at time.Duration) float64

func constantRate(rate float64) rateSchedule { return func(time.Duration) float64 { return rate } }

// alternatingRate switches between two rates each period.
func alternatingRate(a, b float64, period time.Duration) rateSchedule {
	return func(at time.Duration) float64 {
		if at/period%2 == 0 {
			return a
		}
		return b
	}
}

// scheduleStep is the resolution of granted. Rates change only at multiples of it.
const scheduleStep = 10 * time.Millisecond

// granted returns the number of probes that the schedule allows until each send.
func (s rateSchedule) granted(sends []time.Duration) []float64 {
	out := make([]float64, len(sends))
	sum, at := 0.0, time.Duration(0)
	for i, send := range sends {
		for ; at+scheduleStep <= send; at += scheduleStep {
			sum += s(at) * scheduleStep.Seconds()
		}
		out[i] = sum + s(at)*(send-at).Seconds()
	}
	return out
}

// check fails if a window of the history holds more than the granted probes plus one.
// The window from send i to send j holds j-i+1 probes. Therefore the index of a send
// minus the probes granted until then must never exceed an earlier such difference.
func (r *recorder) check(t *testing.T, rate rateSchedule) {
	t.Helper()
	const rounding = 1e-4
	lowest, first := math.Inf(1), time.Duration(0)
	for i, granted := range rate.granted(r.sends) {
		excess := float64(i) - granted
		if excess > lowest+rounding {
			t.Fatalf("%v probes beyond the budget from %v to %v", excess-lowest, first, r.sends[i])
		}
		if excess < lowest {
			lowest, first = excess, r.sends[i]
		}
	}
	if r.overlapped {
		t.Error("two probes were outstanding at one upstream")
	}
}

func targets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{NodeID: fmt.Sprint(i), Address: fmt.Sprint(i)}
	}
	return out
}

func constantTargets(n int) func(time.Duration) []Target {
	all := targets(n)
	return func(time.Duration) []Target { return all }
}

// pauseDue reports whether at is within the second after from. The pause that follows
// is longer than a second, so it occurs once.
func pauseDue(at, from time.Duration) bool { return at > from && at < from+time.Second }

// Guards against probes beyond the budget: with many targets, without responses,
// when many upstreams join at once, after the process was frozen, and after a
// change of the intent.
func TestBudget(t *testing.T) {
	hundredTargets := targets(100)
	for _, tc := range []struct {
		desc      string
		hangs     bool
		rate      rateSchedule
		targets   func(elapsed time.Duration) []Target
		minProbes int
	}{
		{"flood", false, constantRate(20), constantTargets(300), 2300},
		{"never responds", true, constantRate(20), constantTargets(1), 200},
		{"many never respond", true, constantRate(20), constantTargets(300), 2300},
		{"100 join at once", false, constantRate(20), func(e time.Duration) []Target {
			if e < 30*time.Second {
				return nil
			}
			return hundredTargets
		}, 1700},
		{"frozen", false, constantRate(20), func(e time.Duration) []Target {
			if pauseDue(e, 10*time.Second) {
				time.Sleep(time.Minute)
			}
			return hundredTargets
		}, 1100},
		{"frozen before a send", false, func(e time.Duration) float64 {
			if pauseDue(e, 10*time.Second) {
				time.Sleep(time.Minute)
			}
			return 20
		}, constantTargets(100), 1100},
		{"rate changes", false, alternatingRate(0.5, 20, 330*time.Millisecond), constantTargets(100), 200},
		{"rate rises after a long time", false, alternatingRate(0.01, 20, 30*time.Second), constantTargets(100), 1100},
		{"rate of zero", false, alternatingRate(20, 0, 30*time.Second), constantTargets(100), 1100},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				p := newRecorder(tc.hangs)
				New(Config{
					Rate:    func() float64 { return tc.rate(time.Since(p.start)) },
					Targets: func() []Target { return tc.targets(time.Since(p.start)) },
					Report:  func(Target, *pb.Load) {},
				}, p).Run(ctx)
				p.check(t, tc.rate)
				if len(p.sends) < tc.minProbes {
					t.Errorf("%d probes, want at least %d: the budget is not used", len(p.sends), tc.minProbes)
				}
			})
		})
	}
}

// Guards against tokens for a jump of the clock or for a rate that did not apply.
func TestBucket(t *testing.T) {
	type refill struct {
		at   time.Duration
		rate float64
	}
	for _, tc := range []struct {
		desc    string
		refills []refill
		want    float64
	}{
		{"jump forward", []refill{{0, 1}, {time.Hour, 1}}, 1},
		{"jump back", []refill{{time.Hour, 1}, {0, 1}}, 0},
		{"rise observed late", []refill{{0, 0}, {time.Second, 100}}, 0},
		{"fall observed late", []refill{{0, 1}, {time.Second, 0.25}}, 0.25},
		{"part of a token", []refill{{0, 1}, {time.Second / 2, 1}}, 0.5},
	} {
		b := bucket{last: tc.refills[0].at}
		for _, f := range tc.refills {
			b.refill(f.at, f.rate)
		}
		if math.Abs(b.tokens-tc.want) > 1e-9 {
			t.Errorf("%s: %v tokens, want %v", tc.desc, b.tokens, tc.want)
		}
	}
}

// Guards against two probes without a delay when the process is frozen between the
// decision to send and the send.
func TestFrozenBeforeSpend(t *testing.T) {
	b := bucket{}
	b.refill(0, 1)
	b.refill(time.Second, 1)
	b.spend(time.Minute)
	b.refill(time.Minute, 1)
	if got := b.wait(time.Hour); got != time.Second {
		t.Errorf("next probe after %v, want %v", got, time.Second)
	}
}

// Guards against an upstream that never responds and thereby prevents the probes of
// others, and against probing upstreams with updates before those without any.
func TestSelectionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		updated := func(id string, age time.Duration) Target { return Target{NodeID: id, LastUpdate: now.Add(-age)} }
		in := []Target{updated("new", time.Second), updated("old", time.Minute), {NodeID: "none"}}
		s := newTargetSelector()
		for _, want := range []string{"none", "old", "new", "none", "old", "new"} {
			got, ok := s.next(in)
			if !ok || got.NodeID != want {
				t.Fatalf("got %q, want %q", got.NodeID, want)
			}
			s.release(got)
			time.Sleep(time.Millisecond)
		}
	})
}

// Guards against metrics that omit probes, such as those without a response.
func TestMetrics(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		hangs bool
	}{{"answered", false}, {"no response", true}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			p, reg, reports := newRecorder(tc.hangs), metrics.NewRegistry(), int64(0)
			New(Config{
				Rate: func() float64 { return 1 }, Targets: func() []Target { return targets(1) },
				Report: func(Target, *pb.Load) { reports++ }, Registry: reg,
			}, p).Run(ctx)
			sent := reg.Get("probing.sent").(metrics.Counter).Count()
			failed := reg.Get("probing.failed").(metrics.Counter).Count()
			// A request without an incarnation has zero bytes; a response has four.
			bytes := reg.Get("probing.bytes").(metrics.Counter).Count()
			timed := reg.Get("probing.duration").(metrics.Histogram).Count()
			if n := int64(len(p.sends)); n == 0 || sent != n || timed != n || failed+reports != n || bytes != 4*reports {
				t.Errorf("%s: %d probes, %d sent, %d failed, %d reports, %d bytes", tc.desc, n, sent, failed, reports, bytes)
			}
			if got := failed > 0; got != tc.hangs {
				t.Errorf("%s: %d failed", tc.desc, failed)
			}
		})
	}
}

// Guards against a positive rate without a budget.
func TestRate(t *testing.T) {
	for _, tc := range []struct {
		desc string
		in   intent.Probing
		want float64
	}{
		{"share", intent.Probing{FleetProbesPerSecond: 100, MaxNodes: 50}, 2},
		{"no nodes", intent.Probing{FleetProbesPerSecond: 100}, 0},
		{"no probes", intent.Probing{MaxNodes: 50}, 0},
	} {
		if got := Rate(tc.in); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.desc, got, tc.want)
		}
	}
}

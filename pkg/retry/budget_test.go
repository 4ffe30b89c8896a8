package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// sendsForOne first sends earn one retry: the agreed 10%, stated apart from the code.
const sendsForOne = 10

// Guards against retries beyond 10% of first sends in any history, whatever the
// pauses in it, and against credit that outlives the window.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		// While the clock is behind the latest time seen, it stands still for the budget.
		latest := now
		clock := func() time.Time {
			if now.After(latest) {
				latest = now
			}
			return latest
		}
		b := NewBudget()
		b.now, b.start = func() time.Time { return now }, now
		var sends []time.Time
		retries, initial := 0, true
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) { b.Send(); sends = append(sends, clock()) },
			"sends": func(*rapid.T) {
				for range 25 {
					b.Send()
					sends = append(sends, clock())
				}
			},
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms")) * time.Millisecond)
			},
			"back": func(*rapid.T) { now = now.Add(-time.Second) },
			"retry": func(t *rapid.T) {
				// The budget sees the time here too, also when nothing was sent yet.
				at := clock()
				if !b.Retry() {
					return
				}
				retries++
				recent := 0
				for _, s := range sends {
					if at.Sub(s) <= window {
						recent++
					}
				}
				if recent < sendsForOne && !initial {
					t.Fatalf("a retry with %d sends in the window", recent)
				}
				initial = initial && recent >= sendsForOne
			},
			"": func(t *rapid.T) {
				if retries > 1+len(sends)/sendsForOne {
					t.Fatalf("%d retries for %d sends", retries, len(sends))
				}
			},
		})
	})
}

// Guards against a burst of retries after a long pause.
func TestNoBurstAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget()
		for range 1000 {
			b.Send()
		}
		time.Sleep(2 * window)
		allowed := 0
		for range 100 {
			if b.Retry() {
				allowed++
			}
		}
		if allowed != 1 {
			t.Errorf("%d retries after the window, want the initial one", allowed)
		}
	})
}

// Guards against retries that multiply along a chain of calls. Even hops lose all
// answers; odd ones lose those of retries only, so that their budgets are full
// when a retry comes.
func TestChainDoesNotMultiply(t *testing.T) {
	const depth, calls = 26, 1000
	var budgets [depth]*Budget
	for i := range budgets {
		budgets[i] = NewBudget()
	}
	last := 0
	var call func(hop, attempt int)
	call = func(hop, attempt int) {
		if hop == depth {
			last++
			if attempt > 1 {
				t.Fatalf("a retry was retried: attempt %d", attempt)
			}
			return
		}
		if attempt == 0 {
			budgets[hop].Send()
		}
		call(hop+1, attempt)
		lost := hop%2 == 0 || attempt > 0
		if lost && MayRetry(attempt) && budgets[hop].Retry() {
			call(hop+1, attempt+1)
		}
	}
	for range calls {
		call(0, 0)
	}
	// Each hop adds at most 10% of the first sends; multiplied they would be 12 times.
	if most := calls + depth*(calls/sendsForOne+1); last > most {
		t.Errorf("%d calls at the last hop for %d, want at most %d", last, calls, most)
	}
}

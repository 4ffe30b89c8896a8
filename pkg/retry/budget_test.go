package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// firstAttemptsPerRetry limits retries to the agreed 10%. It repeats the value of the code
// on purpose, so that a change there fails a test.
const firstAttemptsPerRetry = 10

// Guards against retries beyond 10% of first attempts in any history, whatever its
// pauses, and against credit that can be spent after the window.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		// The budget ignores a clock that goes backwards, so its time is the latest time seen.
		latest := now
		clock := func() time.Time {
			if now.After(latest) {
				latest = now
			}
			return latest
		}
		b := NewBudget()
		b.now, b.start = func() time.Time { return now }, now
		var firstAttempts []time.Time
		retries, initialCreditLeft := 0, true
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) { b.RecordFirstAttempt(); firstAttempts = append(firstAttempts, clock()) },
			"sends": func(*rapid.T) {
				for range 25 {
					b.RecordFirstAttempt()
					firstAttempts = append(firstAttempts, clock())
				}
			},
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms")) * time.Millisecond)
			},
			"back": func(*rapid.T) { now = now.Add(-time.Second) },
			"retry": func(t *rapid.T) {
				// The budget reads the clock here too, even before the first attempt.
				at := clock()
				if !b.TryRetry() {
					return
				}
				retries++
				recent := 0
				for _, s := range firstAttempts {
					if at.Sub(s) <= window {
						recent++
					}
				}
				if recent < firstAttemptsPerRetry && !initialCreditLeft {
					t.Fatalf("a retry was allowed with %d first attempts in the window", recent)
				}
				initialCreditLeft = initialCreditLeft && recent >= firstAttemptsPerRetry
			},
			"": func(t *rapid.T) {
				if retries > 1+len(firstAttempts)/firstAttemptsPerRetry {
					t.Fatalf("%d retries for %d first attempts", retries, len(firstAttempts))
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
			b.RecordFirstAttempt()
		}
		time.Sleep(2 * window)
		allowed := 0
		for range 100 {
			if b.TryRetry() {
				allowed++
			}
		}
		if allowed != 1 {
			t.Errorf("%d retries after the window, want the initial one", allowed)
		}
	})
}

// Guards against retries that multiply along a chain of calls. Even hops lose all
// responses. Odd hops lose only those of retries, so that their budgets are full when a
// retry arrives.
func TestRetriesDoNotMultiplyAlongChain(t *testing.T) {
	const depth, calls = 26, 1000
	var budgets [depth]*Budget
	for i := range budgets {
		budgets[i] = NewBudget()
	}
	atLastHop := 0
	var call func(hop, attempt int)
	call = func(hop, attempt int) {
		if hop == depth {
			atLastHop++
			if attempt > 1 {
				t.Fatalf("a retry was retried: attempt %d", attempt)
			}
			return
		}
		if attempt == 0 {
			budgets[hop].RecordFirstAttempt()
		}
		call(hop+1, attempt)
		lost := hop%2 == 0 || attempt > 0
		if lost && MayRetry(attempt) && budgets[hop].TryRetry() {
			call(hop+1, attempt+1)
		}
	}
	for range calls {
		call(0, 0)
	}
	// Each hop adds at most 10% of the first attempts. If the retries multiplied, the last
	// hop would get 12 times the first attempts.
	if limit := calls + depth*(calls/firstAttemptsPerRetry+1); atLastHop > limit {
		t.Errorf("%d requests at the last hop for %d calls, want at most %d", atLastHop, calls, limit)
	}
}

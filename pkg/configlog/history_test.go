package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// swap is a confirmation, seen as a compare-and-set of the version.
type swap struct{ base uint64 }

// swapResult is what the operator was told.
type swapResult struct {
	accepted, unknown bool
	version           uint64
}

// versionRegister is the specification: a compare-and-set register of the version.
var versionRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(uint64), input.(swap), output.(swapResult)
		switch {
		case out.unknown && current == in.base:
			return []any{current, current + 1}
		case out.unknown:
			return []any{current}
		case out.accepted && current == in.base && out.version == current+1:
			return []any{out.version}
		case !out.accepted && current != in.base && out.version == current:
			return []any{current}
		}
		return nil
	},
}

// recorder collects what operators and nodes see. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	seen       map[*configlog.Keeper][]uint64
}

func (r *recorder) observe(k *configlog.Keeper) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[k] = append(r.seen[k], k.Current().Version)
}

// operate proposes and confirms through one node until the context ends.
func (r *recorder) operate(ctx context.Context, k *configlog.Keeper, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d", client, i)
		r.observe(k)
		_ = k.Poll(ctx)
		base := k.Current().State.Version
		if attempt(ctx, k, proposal(id, base, intentYAML(1))) != nil {
			continue
		}
		call := time.Since(r.start)
		err := attempt(ctx, k, confirmation("c"+id, id))
		r.record(client, swap{base}, call, resultOf(k, "c"+id, err))
	}
}

func attempt(ctx context.Context, k *configlog.Keeper, rec *pb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return k.Append(ctx, rec)
}

func (r *recorder) record(client int, in swap, call time.Duration, out *swapResult) {
	if out == nil {
		return
	}
	end := int64(time.Since(r.start))
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Unknown operations never end, so each needs a client of its own.
	if out.unknown {
		client = 1000 + len(r.operations)
	}
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: *out, Return: end,
	})
}

// resultOf returns the result of a confirmation, or nil if it was not appended.
func resultOf(k *configlog.Keeper, id string, err error) *swapResult {
	var failure *configlog.AppendError
	if errors.As(err, &failure) && failure.Outcome == configlog.NotAppended {
		return nil
	}
	if err != nil {
		return &swapResult{unknown: true}
	}
	for _, e := range k.Current().State.Audit {
		if e.RecordId != id {
			continue
		}
		// A refused proposal tells nothing of the version at the confirmation.
		if strings.HasPrefix(e.Detail, "no such proposal") {
			return nil
		}
		return &swapResult{accepted: e.Outcome == configlog.OutcomeAccepted, version: e.Version}
	}
	return &swapResult{unknown: true}
}

// firstRevert returns the index of the first version below its predecessor, or -1.
func firstRevert(versions []uint64) int {
	for i := 1; i < len(versions); i++ {
		if versions[i] < versions[i-1] {
			return i
		}
	}
	return -1
}

// runOperators lets operators make conflicting changes through several nodes.
func runOperators(t *testing.T, logs []*fakeLog, d time.Duration) *recorder {
	r := &recorder{start: time.Now(), seen: map[*configlog.Keeper][]uint64{}}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var wg sync.WaitGroup
	for client := range 6 {
		k := newKeeper(logs[client%len(logs)])
		wg.Go(func() { r.operate(ctx, k, client) })
	}
	wg.Wait()
	return r
}

// showFaults changes the faults every few hundred milliseconds until the context ends.
func (l *fakeLog) showFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		var pause time.Duration
		l.set(func(l *fakeLog) {
			pause = time.Duration(100+rng.IntN(400)) * time.Millisecond
			l.down = rng.IntN(4) == 0
			// Never 0: with calls that take no time the bubble's clock would stand still.
			l.delay = time.Duration(1+rng.IntN(39)) * time.Millisecond
			l.loseAnswer = sometimes(rng, 2+rng.IntN(4))
			stale := rng.IntN(4)
			l.staleBy = func() int { return rng.IntN(stale + 1) }
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Guards against two operators who are both told that they replaced the same
// version, and against nodes that revert, while the log shows faults.
func TestConcurrentOperatorsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLog{delay: time.Millisecond}
				ctx, cancel := context.WithCancel(t.Context())
				go l.showFaults(ctx, rand.New(rand.NewPCG(seed, 1)))
				r := runOperators(t, []*fakeLog{l}, 4*time.Second)
				cancel()
				checkRegister(t, r.operations, porcupine.Ok)
				accepted := 0
				for _, versions := range r.seen {
					if at := firstRevert(versions); at >= 0 {
						t.Errorf("a node reverted: %v", versions[at-1:at+1])
					}
				}
				for _, op := range r.operations {
					if op.Output.(swapResult).accepted {
						accepted++
					}
				}
				if accepted == 0 || accepted == len(r.operations) {
					t.Errorf("%d of %d confirmations accepted: no race was seen", accepted, len(r.operations))
				}
			})
		})
	}
}

func checkRegister(t *testing.T, operations []porcupine.Operation, want porcupine.CheckResult) {
	t.Helper()
	got := porcupine.CheckOperationsTimeout(versionRegister.ToModel(), operations, time.Minute)
	if got != want {
		t.Errorf("history of %d operations: %v, want %v", len(operations), got, want)
	}
}

// Shows that the register check fails when the log is split in two, so that two
// confirmations of one version are accepted.
func TestRegisterCheckFindsPlantedFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := []*fakeLog{{delay: time.Millisecond}, {delay: time.Millisecond}}
		r := runOperators(t, logs, 100*time.Millisecond)
		checkRegister(t, r.operations, porcupine.Illegal)
	})
}

// Shows that the check for reverts fails on a node that starts its replay anew
// with each read of a stale replica.
func TestRevertCheckFindsPlantedFault(t *testing.T) {
	l := &fakeLog{}
	advance(t, newKeeper(l), 3)
	rng := rand.New(rand.NewPCG(1, 1))
	l.staleBy = func() int { return rng.IntN(5) }
	var versions []uint64
	for range 20 {
		k := newKeeper(l)
		if err := k.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		versions = append(versions, k.Current().Version)
	}
	if firstRevert(versions) < 0 {
		t.Errorf("no revert found in %v", versions)
	}
}

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

// compareAndSet is a confirmation, modelled as a compare-and-set of the version.
type compareAndSet struct{ base uint64 }

// compareAndSetResult is the result that the operator received.
type compareAndSetResult struct {
	accepted, unknown bool
	version           uint64
}

// versionRegister is the specification: a compare-and-set register of the version.
var versionRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(uint64), input.(compareAndSet), output.(compareAndSetResult)
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

// recorder collects the results of confirmations and the versions that nodes
// report. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	versions   map[*configlog.Replica][]uint64
}

func (r *recorder) recordVersion(replica *configlog.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[replica] = append(r.versions[replica], replica.Current().Version)
}

// runOperator proposes and confirms through one node until the context ends.
func (r *recorder) runOperator(ctx context.Context, replica *configlog.Replica, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d", client, i)
		r.recordVersion(replica)
		_ = replica.Poll(ctx)
		base := replica.Current().State.Version
		if appendWithTimeout(ctx, replica, proposal(id, base, intentYAML(1))) != nil {
			continue
		}
		call := time.Since(r.start)
		err := appendWithTimeout(ctx, replica, confirmation("c"+id, id))
		r.recordConfirmation(client, compareAndSet{base}, call, resultOf(replica, "c"+id, err))
	}
}

func appendWithTimeout(ctx context.Context, replica *configlog.Replica, rec *pb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return replica.Append(ctx, rec)
}

func (r *recorder) recordConfirmation(client int, in compareAndSet, call time.Duration, out *compareAndSetResult) {
	if out == nil {
		return
	}
	end := int64(time.Since(r.start))
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Operations with an unknown result never end, so each needs its own client id.
	if out.unknown {
		client = 1000 + len(r.operations)
	}
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: *out, Return: end,
	})
}

// resultOf returns the result of a confirmation, or nil if the confirmation was not
// appended or gives no information about the version.
func resultOf(replica *configlog.Replica, id string, err error) *compareAndSetResult {
	var failure *configlog.AppendError
	if errors.As(err, &failure) && failure.Outcome == configlog.NotAppended {
		return nil
	}
	if err != nil {
		return &compareAndSetResult{unknown: true}
	}
	for _, e := range replica.Current().State.Audit {
		if e.RecordId != id {
			continue
		}
		// The proposal is not on record, so the confirmation compared no versions.
		if strings.HasPrefix(e.Detail, "no such proposal") {
			return nil
		}
		return &compareAndSetResult{accepted: e.Outcome == configlog.OutcomeAccepted, version: e.Version}
	}
	return &compareAndSetResult{unknown: true}
}

// firstDecrease returns the index of the first version below its predecessor, or -1.
func firstDecrease(versions []uint64) int {
	for i := 1; i < len(versions); i++ {
		if versions[i] < versions[i-1] {
			return i
		}
	}
	return -1
}

// runOperators runs operators that make conflicting changes through several nodes.
func runOperators(t *testing.T, logs []*fakeLog, d time.Duration) *recorder {
	r := &recorder{start: time.Now(), versions: map[*configlog.Replica][]uint64{}}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	var wg sync.WaitGroup
	for client := range 6 {
		replica := newReplica(logs[client%len(logs)])
		wg.Go(func() { r.runOperator(ctx, replica, client) })
	}
	wg.Wait()
	return r
}

// injectFaults changes the faults every few hundred milliseconds until the context
// ends.
func (l *fakeLog) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		var pause time.Duration
		l.update(func(l *fakeLog) {
			pause = time.Duration(100+rng.IntN(400)) * time.Millisecond
			l.down = rng.IntN(4) == 0
			// Never 0: if calls take no time, the synctest clock does not advance.
			l.delay = time.Duration(1+rng.IntN(39)) * time.Millisecond
			l.loseResponse = onceIn(rng, 2+rng.IntN(4))
			stale := rng.IntN(4)
			l.staleBy = func() int { return rng.IntN(stale + 1) }
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Guards against two accepted confirmations of the same base version, and against
// nodes whose version decreases, while the log has faults.
func TestConcurrentOperatorsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLog{delay: time.Millisecond}
				ctx, cancel := context.WithCancel(t.Context())
				go l.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1)))
				r := runOperators(t, []*fakeLog{l}, 4*time.Second)
				cancel()
				checkRegister(t, r.operations, porcupine.Ok)
				accepted := 0
				for _, versions := range r.versions {
					if at := firstDecrease(versions); at >= 0 {
						t.Errorf("the version of a node decreased: %v", versions[at-1:at+1])
					}
				}
				for _, op := range r.operations {
					if op.Output.(compareAndSetResult).accepted {
						accepted++
					}
				}
				if accepted == 0 || accepted == len(r.operations) {
					t.Errorf("%d of %d confirmations accepted: no conflict occurred", accepted, len(r.operations))
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

// Verifies that the register check fails when the log is split in two, so that two
// confirmations of the same base version are accepted.
func TestRegisterCheckDetectsSplitLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := []*fakeLog{{delay: time.Millisecond}, {delay: time.Millisecond}}
		r := runOperators(t, logs, 100*time.Millisecond)
		checkRegister(t, r.operations, porcupine.Illegal)
	})
}

// Verifies that firstDecrease finds a fault: a node that restarts its replay with
// each read from a stale log replica.
func TestDecreaseCheckDetectsReplayOfStaleLog(t *testing.T) {
	l := &fakeLog{}
	advanceTo(t, newReplica(l), 3)
	rng := rand.New(rand.NewPCG(1, 1))
	l.staleBy = func() int { return rng.IntN(5) }
	var versions []uint64
	for range 20 {
		replica := newReplica(l)
		if err := replica.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		versions = append(versions, replica.Current().Version)
	}
	if firstDecrease(versions) < 0 {
		t.Errorf("no decrease found in %v", versions)
	}
}

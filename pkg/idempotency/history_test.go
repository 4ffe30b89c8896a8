package idempotency

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// operation is one operation of a history: an execution at the upstream, or a send
// by a caller.
type operation struct {
	key       string
	execution bool
	// number identifies the execution or, for a send, the execution whose response the
	// caller received.
	number int
	result outcome.Outcome
}

// atMostOnce models that a request with an idempotency key runs at most once. Its
// state is the number of the key's execution, or 0 before it.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(operation)
		switch {
		case op.execution:
			return state == 0, op.number
		case op.result == outcome.Run:
			return state == op.number, state
		}
		return true, state
	},
}

// seededRand is a seeded random source that is safe for concurrent use.
type seededRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *seededRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// history runs callers against an upstream with faults and records all operations.
type history struct {
	start   time.Time
	rng     *seededRand
	handler atomic.Pointer[http.Handler]

	mu         sync.Mutex
	operations []porcupine.Operation
	executions int
	// executedIDs holds the IDs of the requests that the upstream ran.
	executedIDs map[string]bool
	notRunIDs   []string
}

func (h *history) add(client int, begin time.Duration, op operation) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: op, Call: int64(begin), Return: int64(time.Since(h.start)),
	})
}

// ServeHTTP is the upstream. It rejects requests, loses responses and detects
// cancellation.
func (h *history) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.rng.IntN(5) == 0 {
		outcome.New(http.StatusServiceUnavailable, outcome.ReasonBusy, outcome.NotRun, "busy").Write(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	begin := time.Since(h.start)
	time.Sleep(time.Duration(h.rng.IntN(20)) * time.Millisecond)
	h.mu.Lock()
	h.executions++
	n := h.executions
	h.executedIDs[r.Header.Get(outcome.HeaderRequestID)] = true
	h.add(0, begin, operation{key: r.Header.Get(outcome.HeaderIdempotencyKey), execution: true, number: n})
	h.mu.Unlock()
	switch {
	case h.rng.IntN(6) == 0 || r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case h.rng.IntN(6) == 0:
		outcome.New(http.StatusBadGateway, outcome.ReasonUpstreamFailed, outcome.Unknown, "answer lost").Write(w)
		return
	}
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Run))
	_, _ = fmt.Fprint(w, n)
}

// send sends one request and records the outcome that its caller receives.
func (h *history) send(client int, id, key, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+h.rng.IntN(40))*time.Millisecond)
	defer cancel()
	req := request("POST", "/", key, body).WithContext(ctx)
	req.Header.Set(outcome.HeaderRequestID, id)
	begin := time.Since(h.start)
	rec := httptest.NewRecorder()
	aborted := true
	func() {
		defer func() { _ = recover() }()
		(*h.handler.Load()).ServeHTTP(rec, req)
		aborted = false
	}()
	op := operation{key: key, result: outcome.Unknown}
	if !aborted {
		op.result = outcome.Outcome(rec.Header().Get(outcome.HeaderOutcome))
		op.number, _ = strconv.Atoi(rec.Body.String())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if op.result == outcome.NotRun {
		h.notRunIDs = append(h.notRunIDs, id)
	}
	h.add(client, begin, op)
}

// check returns a description of the first violation, or "".
func (h *history) check() string {
	for _, id := range h.notRunIDs {
		if h.executedIDs[id] {
			return "request " + id + " ran although its caller received not-run"
		}
	}
	if porcupine.CheckOperations(atMostOnce, h.operations) {
		return ""
	}
	return "a key ran more than once, or a caller received a response that belongs to no execution of its key"
}

const (
	historyCallers = 6
	historyKeys    = 12
	sendsPerCaller = 20
)

// run starts concurrent callers that send and resend with shared keys. Each restart
// installs a new incarnation; tokens of earlier incarnations remain in use.
func (h *history) run(t *testing.T, seed uint64, wrap func(*Registry, http.Handler) http.Handler) {
	h.start, h.executedIDs = time.Now(), map[string]bool{}
	h.rng = &seededRand{rng: rand.New(rand.NewPCG(seed, 0))}
	var keys [historyKeys]atomic.Pointer[string]
	restart := func(incarnation uint64) {
		r, err := New(Config{NodeID: "n1", Incarnation: incarnation, TTL: 200 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		handler := wrap(r, h)
		h.handler.Store(&handler)
		for i := range keys {
			if keys[i].Load() == nil || h.rng.IntN(2) == 0 {
				key := issue(t, r)
				keys[i].Store(&key)
			}
		}
	}
	restart(1)
	var wg sync.WaitGroup
	for c := range historyCallers {
		wg.Go(func() {
			for i := range sendsPerCaller {
				body := []string{"body", "body", "body", "other"}[h.rng.IntN(4)]
				h.send(c+1, fmt.Sprintf("%d-%d", c, i), *keys[h.rng.IntN(historyKeys)].Load(), body)
				if h.rng.IntN(40) == 0 {
					// Longer than TTL plus retention of all tokens, as if the process had been frozen.
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	for incarnation := range uint64(3) {
		time.Sleep(100 * time.Millisecond)
		restart(incarnation + 2)
	}
	wg.Wait()
}

const histories = 30

// Guards against a second execution of a key in concurrent histories with lost
// responses, cancellation, restarts, pauses and reused keys. Steps of the wall clock
// are not simulated: the registry does not read it, and TestTokenValidity covers a
// monotonic clock that steps back.
func TestKeyRunsAtMostOnce(t *testing.T) {
	executions, responses := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			var h history
			h.run(t, seed, func(r *Registry, next http.Handler) http.Handler { return r.Wrap(next) })
			if violation := h.check(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
			executions += h.executions
			for _, op := range h.operations {
				if o := op.Input.(operation); !o.execution && o.result == outcome.Run {
					responses++
				}
			}
		})
	}
	if executions == 0 || responses <= executions/3 {
		t.Errorf("the histories cover too little: %d executions, %d complete responses", executions, responses)
	}
}

// recordAfterRun is a faulty registry: it records a key only after its request ran.
func recordAfterRun(_ *Registry, next http.Handler) http.Handler {
	var mu sync.Mutex
	seen := map[string]bool{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(outcome.HeaderIdempotencyKey)
		mu.Lock()
		ran := seen[key]
		mu.Unlock()
		if ran {
			outcome.New(http.StatusGone, outcome.ReasonTokenLost, outcome.Unknown, "").Write(w)
			return
		}
		next.ServeHTTP(w, r)
		mu.Lock()
		defer mu.Unlock()
		seen[key] = true
	})
}

// Guards against a checker that accepts every history.
func TestCheckerRejectsRecordAfterRun(t *testing.T) {
	rejected := false
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			var h history
			h.run(t, seed, recordAfterRun)
			rejected = rejected || h.check() != ""
		})
	}
	if !rejected {
		t.Error("the checker accepted all histories of a registry that records keys after the run")
	}
}

// Package history records the requests and responses of callers, the executions at
// upstreams and the configuration versions of nodes, and checks them against the
// guarantees of the load balancer.
package history

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Attempt is one attempt of an operation, as its caller observed it.
type Attempt struct {
	// RequestID is unique for each attempt.
	RequestID string
	// Operation is the id of the caller's operation, the same for all of its attempts.
	Operation string
	// Token is the idempotency token; empty if none was used.
	Token string
	// Idempotent operations may be executed more than once.
	Idempotent bool
	Start, End time.Time
	Status     int
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	// Complete is true if HTTP reported no error up to the end of the response.
	Complete bool
	// WantBody and GotBody are the expected and the received body of a successful
	// response.
	WantBody, GotBody string
	Err               string
}

// Success reports whether the caller received a complete response with a 2xx status.
func (a *Attempt) Success() bool { return a.Complete && a.Status >= 200 && a.Status < 300 }

// Execution is the start of one request at an upstream.
type Execution struct {
	Upstream  string
	RequestID string
	Operation string
	Start     time.Time
}

// UpstreamStop is the time at which an upstream was ordered to stop.
type UpstreamStop struct {
	Upstream string
	At       time.Time
}

// VersionSample is the configuration version that a node reported at one time.
type VersionSample struct {
	Node    string
	Version uint64
	At      time.Time
}

// History is what a run recorded. The Add methods are safe for concurrent use. The checkers
// are used after the run.
type History struct {
	mu             sync.Mutex
	Attempts       []Attempt
	Executions     []Execution
	UpstreamStops  []UpstreamStop
	VersionSamples []VersionSample
	// Faults counts the injected faults by kind.
	Faults map[string]int
}

func New() *History { return &History{Faults: map[string]int{}} }

// AddAttempt records an attempt that has ended.
func (h *History) AddAttempt(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Attempts = append(h.Attempts, a)
}

func (h *History) AddExecution(e Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Executions = append(h.Executions, e)
}

// AddUpstreamStop records that an upstream was ordered to stop.
func (h *History) AddUpstreamStop(s UpstreamStop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.UpstreamStops = append(h.UpstreamStops, s)
}

// AddVersionSample records the configuration version of a node.
func (h *History) AddVersionSample(s VersionSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.VersionSamples = append(h.VersionSamples, s)
}

// AddFault counts an injected fault.
func (h *History) AddFault(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Faults[kind]++
}

// Violation is a breach of one guarantee.
type Violation struct {
	Rule   string
	Detail string
}

// String formats the violation for reports.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// NoFalseNotRun checks that no upstream executed a request that was reported to its caller
// as not run.
func (h *History) NoFalseNotRun() []Violation {
	executed := map[string]string{}
	for _, e := range h.Executions {
		executed[e.RequestID] = e.Upstream
	}
	var out []Violation
	for _, a := range h.Attempts {
		if up, ok := executed[a.RequestID]; ok && a.Outcome == outcome.NotRun {
			out = append(out, Violation{"not-run", fmt.Sprintf("request %s (%s, status %d) was executed by %s", a.RequestID, a.Reason, a.Status, up)})
		}
	}
	return out
}

// AtMostOnce checks that each non-idempotent operation was executed at most once.
// Each attempt without a token counts as a separate operation.
func (h *History) AtMostOnce() []Violation {
	executions := map[string][]string{}
	byRequestID := map[string]*Attempt{}
	for i := range h.Attempts {
		byRequestID[h.Attempts[i].RequestID] = &h.Attempts[i]
	}
	for _, e := range h.Executions {
		a := byRequestID[e.RequestID]
		if a == nil || a.Idempotent {
			continue
		}
		key := "request " + e.RequestID
		if a.Token != "" {
			key = "operation " + a.Operation
		}
		executions[key] = append(executions[key], e.Upstream)
	}
	var out []Violation
	for key, upstreams := range executions {
		if len(upstreams) > 1 {
			out = append(out, Violation{"at-most-once", fmt.Sprintf("%s was executed %d times, at %v", key, len(upstreams), upstreams)})
		}
	}
	return out
}

// ResponsesMatch checks that each successful response has the body expected for its request.
func (h *History) ResponsesMatch() []Violation {
	var out []Violation
	for _, a := range h.Attempts {
		if a.Success() && a.WantBody != a.GotBody {
			out = append(out, Violation{"whole-answer", fmt.Sprintf("request %s got response body %.40q, want %.40q", a.RequestID, a.GotBody, a.WantBody)})
		}
	}
	return out
}

// NoInterruptedAttempts checks that every attempt succeeded or was rejected before it ran.
// It applies to runs whose only faults are planned restarts. A complete response with
// ReasonTokenLost (the token was lost in a restart) also counts as a rejection if no
// upstream executed the attempt, because it was then not in flight at the stopped node.
func (h *History) NoInterruptedAttempts() []Violation {
	executed := map[string]bool{}
	for _, e := range h.Executions {
		executed[e.RequestID] = true
	}
	var out []Violation
	for _, a := range h.Attempts {
		tokenLost := a.Complete && a.Reason == outcome.ReasonTokenLost && !executed[a.RequestID]
		if !a.Success() && a.Outcome != outcome.NotRun && !tokenLost {
			out = append(out, Violation{"cut", fmt.Sprintf("request %s, ended at %s: status %d, outcome %q, reason %q, error %s", a.RequestID, a.End.Format("15:04:05.000"), a.Status, a.Outcome, a.Reason, a.Err)})
		}
	}
	return out
}

// NoLateStarts checks that an upstream starts no request later than the bound after it was
// ordered to stop.
func (h *History) NoLateStarts(bound time.Duration) []Violation {
	var out []Violation
	for _, stop := range h.UpstreamStops {
		for _, e := range h.Executions {
			if late := e.Start.Sub(stop.At); e.Upstream == stop.Upstream && late > bound {
				out = append(out, Violation{"late-work", fmt.Sprintf("%s started request %s %v after it was ordered to stop", stop.Upstream, e.RequestID, late)})
			}
		}
	}
	return out
}

// VersionsNeverDecrease checks that the configuration version in effect at a node never
// decreases. A restarted node counts as a new node and must be recorded under a new name.
func (h *History) VersionsNeverDecrease() []Violation {
	byNode := map[string][]VersionSample{}
	for _, s := range h.VersionSamples {
		byNode[s.Node] = append(byNode[s.Node], s)
	}
	var out []Violation
	for node, samples := range byNode {
		sort.Slice(samples, func(a, b int) bool { return samples[a].At.Before(samples[b].At) })
		for i := 1; i < len(samples); i++ {
			if samples[i].Version < samples[i-1].Version {
				out = append(out, Violation{"revert", fmt.Sprintf("node %s reverted from version %d to %d", node, samples[i-1].Version, samples[i].Version)})
			}
		}
	}
	return out
}

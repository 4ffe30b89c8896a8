// Package history records what callers sent and were told, what upstreams
// executed, and which configuration was in effect, and judges the result.
package history

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Send is one request as its caller saw it.
type Send struct {
	// RequestID is unique for each send.
	RequestID string
	// Operation is the same for all sends of one operation of the caller.
	Operation string
	// Token is the idempotency token; empty if none was used.
	Token string
	// Idempotent operations may be executed more than once.
	Idempotent bool
	Start, End time.Time
	Status     int
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	// Complete is true if the answer arrived whole, as far as HTTP tells.
	Complete bool
	// WantBody and GotBody identify the expected and received answer of a
	// successful send.
	WantBody, GotBody string
	Err               string
}

// Success reports whether the caller got a successful answer.
func (s *Send) Success() bool { return s.Complete && s.Status >= 200 && s.Status < 300 }

// Execution is one start of a request at an upstream.
type Execution struct {
	Upstream  string
	RequestID string
	Operation string
	Start     time.Time
}

// Departure says that an upstream was told to leave.
type Departure struct {
	Upstream string
	At       time.Time
}

// Installed says that a node had a configuration version in effect when it was asked.
type Installed struct {
	Node    string
	Version uint64
	At      time.Time
}

// History is safe for concurrent use while it is recorded.
type History struct {
	mu         sync.Mutex
	Sends      []Send
	Executions []Execution
	Departures []Departure
	Installs   []Installed
	// Faults counts the injected faults by kind.
	Faults map[string]int
}

// New returns an empty history.
func New() *History { return &History{Faults: map[string]int{}} }

// AddSend records a send after it ended.
func (h *History) AddSend(s Send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Sends = append(h.Sends, s)
}

// AddExecution records an execution.
func (h *History) AddExecution(e Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Executions = append(h.Executions, e)
}

// AddDeparture records that an upstream was told to leave.
func (h *History) AddDeparture(d Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Departures = append(h.Departures, d)
}

// AddInstalled records an observation of a node's configuration.
func (h *History) AddInstalled(i Installed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Installs = append(h.Installs, i)
}

// AddFault counts an injected fault.
func (h *History) AddFault(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Faults[kind]++
}

// Violation is a broken promise.
type Violation struct {
	Rule   string
	Detail string
}

// String formats the violation for reports.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// NotRunMeansNotRun checks that no upstream executed a request whose caller was
// told "not run".
func (h *History) NotRunMeansNotRun() []Violation {
	executed := map[string]string{}
	for _, e := range h.Executions {
		executed[e.RequestID] = e.Upstream
	}
	var out []Violation
	for _, s := range h.Sends {
		if up, ok := executed[s.RequestID]; ok && s.Outcome == outcome.NotRun {
			out = append(out, Violation{"not-run", fmt.Sprintf("request %s (%s, status %d) was executed by %s", s.RequestID, s.Reason, s.Status, up)})
		}
	}
	return out
}

// AtMostOnce checks that each non-idempotent operation was executed at most once.
// Operations without a token are checked for each send.
func (h *History) AtMostOnce() []Violation {
	count := map[string][]string{}
	byID := map[string]*Send{}
	for i := range h.Sends {
		byID[h.Sends[i].RequestID] = &h.Sends[i]
	}
	for _, e := range h.Executions {
		s := byID[e.RequestID]
		if s == nil || s.Idempotent {
			continue
		}
		key := "request " + e.RequestID
		if s.Token != "" {
			key = "operation " + s.Operation
		}
		count[key] = append(count[key], e.Upstream)
	}
	var out []Violation
	for key, at := range count {
		if len(at) > 1 {
			out = append(out, Violation{"at-most-once", fmt.Sprintf("%s was executed %d times, at %v", key, len(at), at)})
		}
	}
	return out
}

// WholeAnswers checks that each successful answer is the one to its own request.
func (h *History) WholeAnswers() []Violation {
	var out []Violation
	for _, s := range h.Sends {
		if s.Success() && s.WantBody != s.GotBody {
			out = append(out, Violation{"whole-answer", fmt.Sprintf("request %s got %.40q, not %.40q", s.RequestID, s.GotBody, s.WantBody)})
		}
	}
	return out
}

// NothingCut checks that every send ended with a successful answer or was
// refused before it ran. It holds for runs whose only disturbance is planned.
// A whole answer that says that the token's node is gone is a refusal too, if
// nothing was executed: the send was not in flight at that node.
func (h *History) NothingCut() []Violation {
	executed := map[string]bool{}
	for _, e := range h.Executions {
		executed[e.RequestID] = true
	}
	var out []Violation
	for _, s := range h.Sends {
		tokenGone := s.Complete && s.Reason == outcome.ReasonTokenLost && !executed[s.RequestID]
		if !s.Success() && s.Outcome != outcome.NotRun && !tokenGone {
			out = append(out, Violation{"cut", fmt.Sprintf("request %s, ended %s: status %d, outcome %q, reason %q, error %s", s.RequestID, s.End.Format("15:04:05.000"), s.Status, s.Outcome, s.Reason, s.Err)})
		}
	}
	return out
}

// NoLateWork checks that an upstream starts nothing later than the bound after
// it was told to leave.
func (h *History) NoLateWork(bound time.Duration) []Violation {
	var out []Violation
	for _, d := range h.Departures {
		for _, e := range h.Executions {
			if late := e.Start.Sub(d.At); e.Upstream == d.Upstream && late > bound {
				out = append(out, Violation{"late-work", fmt.Sprintf("%s started request %s %v after it was told to leave", d.Upstream, e.RequestID, late)})
			}
		}
	}
	return out
}

// NeverReverts checks that the version in effect never goes down at a node.
// A restarted node counts as a new one: give it a new name.
func (h *History) NeverReverts() []Violation {
	byNode := map[string][]Installed{}
	for _, i := range h.Installs {
		byNode[i.Node] = append(byNode[i.Node], i)
	}
	var out []Violation
	for node, list := range byNode {
		sort.Slice(list, func(a, b int) bool { return list[a].At.Before(list[b].At) })
		for i := 1; i < len(list); i++ {
			if list[i].Version < list[i-1].Version {
				out = append(out, Violation{"revert", fmt.Sprintf("node %s went from version %d to %d", node, list[i-1].Version, list[i].Version)})
			}
		}
	}
	return out
}

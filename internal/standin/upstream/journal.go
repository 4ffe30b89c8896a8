package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// DefaultJournalEntries is the default of Config.JournalEntries.
const DefaultJournalEntries = 65536

// Execution is one entry of the journal. Times are relative to the start of the
// upstream.
type Execution struct {
	RequestID      string        `json:"request_id"`
	IdempotencyKey string        `json:"idempotency_key,omitempty"`
	Method         string        `json:"method"`
	BodySHA256     string        `json:"body_sha256"`
	Start          time.Duration `json:"start_ns"`
	// End is 0 while the request is running.
	End time.Duration `json:"end_ns"`
	// Completed is set if the complete response was written.
	Completed bool `json:"completed"`
}

// Journal is the response to GET /journal, oldest execution first.
type Journal struct {
	Incarnation string `json:"incarnation"`
	// Dropped is the number of entries that newer ones have overwritten.
	Dropped    int         `json:"dropped"`
	Executions []Execution `json:"executions"`
}

// journal is a ring buffer of executions.
type journal struct {
	limit int

	mu      sync.Mutex
	entries []*Execution
	// total is the number of executions ever recorded.
	total int
}

func (j *journal) begin(r *http.Request, bodySHA256 string, now time.Duration) *Execution {
	e := &Execution{
		RequestID:      r.Header.Get(outcome.HeaderRequestID),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
		Method:         r.Method,
		BodySHA256:     bodySHA256,
		Start:          now,
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) < j.limit {
		j.entries = append(j.entries, e)
	} else {
		j.entries[j.total%j.limit] = e
	}
	j.total++
	return e
}

func (j *journal) end(e *Execution, now time.Duration, completed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.End, e.Completed = now, completed
}

// Journal returns a copy of the journal.
func (s *Server) Journal() Journal {
	j := &s.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	out := Journal{Incarnation: s.incarnation, Dropped: j.total - len(j.entries), Executions: []Execution{}}
	for i := range j.entries {
		out.Executions = append(out.Executions, *j.entries[(out.Dropped+i)%len(j.entries)])
	}
	return out
}

// serveJournal handles GET /journal.
func (s *Server) serveJournal(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Journal()) }

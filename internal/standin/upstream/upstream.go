// Package upstream is a stand-in for a server behind the load balancer.
package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Request headers that select the behaviour of the upstream, and one response header.
const (
	// HeaderCrash with the value 1 ends the process.
	HeaderCrash = "X-Crash"
	// HeaderEcho with the value 1 returns the request body.
	HeaderEcho = "X-Echo"
	// HeaderStream with the value "n/ms" returns n chunks with a delay of ms
	// milliseconds before each.
	HeaderStream = "X-Stream"
	// HeaderCall with the value "service/rank/depth" calls a service through the
	// local node. Each called upstream repeats this with depth reduced by 1, so the
	// chain has depth calls.
	HeaderCall = "X-Call"
	// HeaderChecksum is a response header with the SHA-256 of the request body in hex.
	HeaderChecksum = "X-Checksum"
)

// maxBodyBytes limits the request body, which is buffered for its checksum and an echo.
const maxBodyBytes = 8 << 20

// crashStatus is the exit status after a request with HeaderCrash.
const crashStatus = 3

// Config holds the settings of an upstream.
type Config struct {
	Service string
	// Address is the IP:port that accepts requests.
	Address string
	// AnnounceURL is the announcement endpoint of the node beside the upstream.
	AnnounceURL string
	// NodeURL is the URL of that node's caller listener, for HeaderCall.
	NodeURL string
	// Slots limits the number of requests that run concurrently.
	Slots int
	// ServiceTime is the mean service time; PUT /faults can change it.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which the upstream is slower and
	// announces itself as warming.
	ColdStart time.Duration
	// JournalEntries limits the number of executions in the journal. Default 65536.
	JournalEntries int
	// Seed is the seed of random service times and faults.
	Seed uint64
	// OnExecute, if set, is called before each execution. If it returns an error, the
	// connection is aborted and the request is not executed.
	OnExecute func(*http.Request) error
	// Crash is called for HeaderCrash. Default os.Exit; tests replace it. If it
	// returns, the connection is aborted.
	Crash func()
}

// Server is an upstream stand-in. It is safe for concurrent use.
type Server struct {
	cfg         Config
	incarnation string
	start       time.Time
	draining    atomic.Bool
	// stateChanged triggers an immediate announcement.
	stateChanged chan struct{}
	slots        chan struct{}
	waiting      atomic.Int32
	journal      journal
	callClient   *http.Client

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// load is the last load report, taken at loadAt.
	load   Load
	loadAt time.Time
}

// New returns an upstream with a new incarnation.
func New(cfg Config) *Server {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.JournalEntries <= 0 {
		cfg.JournalEntries = DefaultJournalEntries
	}
	if cfg.Crash == nil {
		cfg.Crash = func() { os.Exit(crashStatus) }
	}
	s := &Server{
		cfg: cfg, incarnation: uuid.NewString(), start: time.Now(), stateChanged: make(chan struct{}, 1),
		slots: make(chan struct{}, cfg.Slots), journal: journal{limit: cfg.JournalEntries},
		callClient: &http.Client{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		faults: Faults{ServiceTimeMs: float64(cfg.ServiceTime) / float64(time.Millisecond)},
	}
	return s
}

// ServeHTTP serves requests and the control paths /journal, /load and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// http.ServeMux would redirect requests to their cleaned path.
	switch r.Method + " " + r.URL.Path {
	case "GET /journal":
		s.serveJournal(w, r)
	case "GET /load":
		s.serveLoad(w, r)
	case "PUT /faults":
		s.serveFaults(w, r)
	default:
		s.serveRequest(w, r)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(outcome.HeaderTimeout), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !s.acquire(ctx) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		w.Header().Set(outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.cfg.OnExecute != nil {
		if err := s.cfg.OnExecute(r); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	e := s.journal.begin(r, digest, time.Since(s.start))
	completed := false
	// Deferred so that an aborted response is recorded as incomplete.
	defer func() { s.journal.end(e, time.Since(s.start), completed) }()
	w.Header().Set(HeaderChecksum, digest)
	completed = s.execute(ctx, w, r, body)
}

// acquire waits for a slot. It returns false when the context ends, or
// immediately if no slot is free and RejectWhenFull is set.
func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.currentFaults().RejectWhenFull {
		return false
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute runs a request and reports whether it was completed.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) bool {
	if r.Header.Get(HeaderCrash) == "1" {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}
	serviceTime, fail := s.draw()
	if fail {
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return true
	}
	if !sleep(ctx, serviceTime) {
		http.Error(w, "the deadline passed or the caller cancelled", http.StatusGatewayTimeout)
		return false
	}
	if target := r.Header.Get(HeaderCall); target != "" {
		if err := s.call(ctx, r, target); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return false
		}
	}
	switch {
	case r.Header.Get(HeaderStream) != "":
		return streamChunks(ctx, w, r.Header.Get(HeaderStream))
	case r.Header.Get(HeaderEcho) == "1":
		w.Header().Set("Content-Type", "application/octet-stream")
		_, err := w.Write(body)
		return err == nil
	}
	w.Header().Set("Content-Type", "text/plain")
	_, err := fmt.Fprintf(w, "%s %s %s %d\n", s.cfg.Service, r.Method, r.URL.Path, len(body))
	return err == nil
}

// sleep waits for d. It returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// streamChunks writes numbered lines. It aborts the connection when the context
// ends, so that a truncated response is not mistaken for a complete one.
func streamChunks(ctx context.Context, w http.ResponseWriter, spec string) bool {
	count, delay, _ := strings.Cut(spec, "/")
	n, err := strconv.Atoi(count)
	ms, delayErr := strconv.Atoi(delay)
	if err != nil || delayErr != nil {
		http.Error(w, HeaderStream+" must be n/ms", http.StatusBadRequest)
		return true
	}
	for i := range n {
		if !sleep(ctx, time.Duration(ms)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "chunk %d\n", i)
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

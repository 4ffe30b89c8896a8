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

// Request headers that select what the upstream does.
const (
	// HeaderCrash with the value 1 ends the process.
	HeaderCrash = "X-Crash"
	// HeaderEcho with the value 1 returns the request body.
	HeaderEcho = "X-Echo"
	// HeaderStream "n/ms" answers with n chunks and a delay of ms before each.
	HeaderStream = "X-Stream"
	// HeaderCall "service/rank/depth" calls a service through the local node, depth times in a chain.
	HeaderCall = "X-Call"
	// HeaderChecksum of an answer is the SHA-256 of the request body in hex.
	HeaderChecksum = "X-Checksum"
)

// maxBodyBytes bounds the request body that is kept for an echo.
const maxBodyBytes = 8 << 20

// crashStatus is the exit status after a marked request.
const crashStatus = 3

// Config holds the settings of an upstream.
type Config struct {
	Service string
	// Address is the IP:port where requests are taken.
	Address string
	// AnnounceURL is the announcement endpoint of the node beside the upstream.
	AnnounceURL string
	// NodeURL is the caller listener of that node, for HeaderCall.
	NodeURL string
	// Slots bounds the requests that run at the same time.
	Slots int
	// ServiceTime is the mean time per request; faults can change it.
	ServiceTime time.Duration
	// ColdStart is how long the upstream is warming and slower.
	ColdStart time.Duration
	// JournalEntries bounds the journal. Default 65536.
	JournalEntries int
	// Seed of the random service times and faults.
	Seed uint64
	// OnExecute, if set, is called before each execution. An error refuses the request.
	OnExecute func(*http.Request) error
	// Crash replaces the end of the process in tests. If it returns, the request is aborted.
	Crash func()
}

// Server is the upstream. It is safe for concurrent use.
type Server struct {
	cfg          Config
	incarnation  string
	start        time.Time
	draining     atomic.Bool
	stateChanged chan struct{}
	slots        chan struct{}
	waiting      atomic.Int32
	journal      journal
	calls        *http.Client

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
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
		calls: &http.Client{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		faults: Faults{ServiceTimeMs: float64(cfg.ServiceTime) / float64(time.Millisecond)},
	}
	return s
}

// ServeHTTP answers requests and the control paths /journal, /load and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// http.ServeMux would redirect requests whose path it cleans.
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
	// Deferred so that an aborted answer is recorded as incomplete.
	defer func() { s.journal.end(e, time.Since(s.start), completed) }()
	w.Header().Set(HeaderChecksum, digest)
	completed = s.execute(ctx, w, r, body)
}

// acquire takes a slot. It fails when the context ends, or at once if the faults say to shed.
func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.currentFaults().Shed {
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

// execute does the work of a request and reports whether it was completed.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) bool {
	if r.Header.Get(HeaderCrash) == "1" {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}
	work, fail := s.draw()
	if fail {
		http.Error(w, "failing fast", http.StatusInternalServerError)
		return true
	}
	if !sleep(ctx, work) {
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

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// streamChunks writes numbered lines. It aborts the connection when the context
// ends, so that a truncated answer is not taken for a complete one.
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

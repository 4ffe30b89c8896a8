// Package platformlog is a stand-in for the platform's append-only log service.
// It stores records in memory for a limited time and injects faults on request.
package platformlog

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/configlog/httplog"
)

// Server is an in-memory log service. It is safe for concurrent use.
type Server struct {
	retention time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	// history is the number of restores from an earlier copy plus 1.
	history uint64
	faults  Faults
	// appends is the number of appends in appendSecond (Unix time).
	appendSecond int64
	appends      int
}

// stream holds the records from offset earliest on.
type stream struct {
	earliest uint64
	records  []record
}

type record struct {
	appendedAt time.Time
	data       []byte
}

// New returns an empty log that stores records for the retention period.
func New(retention time.Duration) *Server {
	return &Server{retention: retention, streams: map[string]*stream{}, history: 1}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Restore takes back the newest records of a stream, as a restore from an earlier copy does.
// Their offsets are assigned again.
func (s *Server) Restore(stream string, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(stream)
	st.records = st.records[:max(0, len(st.records)-lost)]
	s.history++
}

func (s *Server) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler serves the log's protocol and PUT /faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.withFaults(s.append))
	mux.HandleFunc("GET /streams/{stream}/records", s.withFaults(s.read))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// withFaults applies the delay and rejections of the current faults to a handler.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.getFaults()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if s.rejects(r.Method) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// Limits in bytes of one record and of the records in one response to a read. A
// response may exceed its limit by the last record, so that it contains at least one.
const (
	maxRecordBytes       = 2 << 20
	maxReadResponseBytes = 4 << 20
)

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	st := s.stream(r.PathValue("stream"))
	st.records = append(st.records, record{appendedAt: time.Now(), data: data})
	offset := st.earliest + uint64(len(st.records)) - 1
	loseResponse := s.faults.LoseAppendResponses
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, httplog.AppendResponse{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit: not a positive number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(r.PathValue("stream"))
	resp := httplog.ReadResponse{Earliest: st.earliest, End: st.earliest + uint64(s.visibleRecords(st)), History: s.history}
	size := 0
	for o := max(from, st.earliest); o < resp.End && len(resp.Records) < limit && size < maxReadResponseBytes; o++ {
		data := st.records[o-st.earliest].data
		size += len(data)
		resp.Records = append(resp.Records, httplog.ReadRecord{Offset: o, Data: data})
	}
	writeJSON(w, resp)
}

// stream returns the named stream after removing expired records. It creates the
// stream if it does not exist. The caller holds the lock.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	expired := 0
	for expired < len(st.records) && time.Since(st.records[expired].appendedAt) > s.retention {
		expired++
	}
	st.records = st.records[expired:]
	st.earliest += uint64(expired)
	return st
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

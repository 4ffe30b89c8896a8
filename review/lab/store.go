package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeResponseTime is the time that the store takes for a response.
const storeResponseTime = 4 * time.Millisecond

// store is a stand-in for the platform's metadata store: topics with one partition, of which
// nothing expires. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	// newest holds the offset of the newest record of each key.
	newest map[string]int
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// append adds keyed records and returns the offsets of the first one and after the last one.
func (s *store) append(name string, records [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	for _, r := range records {
		n := 1 + int(r[0])
		key := string(r[1:n])
		t.newest[key] = len(t.records)
		if len(r) == n {
			delete(t.newest, key)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

// putConfig writes the operator's configuration.
func (s *store) putConfig(config []byte) {
	s.append("keyed.op", [][]byte{append([]byte("\x06config"), config...)})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	time.Sleep(storeResponseTime)
	switch r.URL.Path {
	case "/log-append":
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var records [][]byte
		for len(b) >= 4 {
			n := 4 + int(binary.BigEndian.Uint32(b))
			if n > len(b) {
				http.Error(w, "truncated record", http.StatusBadRequest)
				return
			}
			records, b = append(records, b[4:n]), b[n:]
		}
		offset, end := s.append(name, records)
		writeJSON(w, map[string]any{"offset": offset, "end_offset": end})
	case "/log-newest":
		s.mu.Lock()
		t := s.topic(name)
		items := []any{}
		for key, offset := range t.newest {
			value := t.records[offset][1+len(key):]
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
		}
		end := len(t.records)
		s.mu.Unlock()
		writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": end})
	case "/log-read":
		s.read(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

// read returns the records from an offset on. If there are none yet, it waits for one.
func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, err1 := strconv.Atoi(r.URL.Query().Get("from"))
	wait, err2 := strconv.Atoi("0" + r.URL.Query().Get("wait_ms"))
	if err1 != nil || err2 != nil || from < 0 {
		http.Error(w, "from or wait_ms", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		end := len(t.records)
		records := t.records[min(from, end):]
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), 0)
			for _, rec := range records {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			waiting = false
		case <-changed:
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

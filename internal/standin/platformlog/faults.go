package platformlog

import (
	"net/http"
	"time"
)

// Faults selects the faults that the log injects. The zero value injects none.
type Faults struct {
	// Down makes all calls fail with 503 before they have an effect.
	Down bool `json:"down"`
	// ReadsDown makes reads fail with 503; appends work.
	ReadsDown bool `json:"reads_down"`
	// DelayMs delays each call by this time.
	DelayMs int `json:"delay_ms"`
	// LoseAppendResponses makes appends take effect and then closes the connection
	// without a response.
	LoseAppendResponses bool `json:"lose_append_answers"`
	// StaleMs makes reads omit records that are younger than this number of
	// milliseconds.
	StaleMs int `json:"stale_ms"`
	// AppendsPerSecond makes appends above this rate fail with 503. 0 means no limit.
	AppendsPerSecond int `json:"appends_per_second"`
}

// rejects reports whether the faults make a call fail before it has an effect. A
// POST is an append and counts against AppendsPerSecond.
func (s *Server) rejects(method string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.faults.ReadsDown && method == http.MethodGet {
		return true
	}
	return method == http.MethodPost && !s.allowAppend(time.Now())
}

// allowAppend counts an append against the limit of the current second. The
// caller holds the lock.
func (s *Server) allowAppend(now time.Time) bool {
	if s.faults.AppendsPerSecond == 0 {
		return true
	}
	if second := now.Unix(); second != s.appendSecond {
		s.appendSecond, s.appends = second, 0
	}
	s.appends++
	return s.appends <= s.faults.AppendsPerSecond
}

// visibleRecords returns the number of records that reads return under the current
// faults. The caller holds the lock.
func (s *Server) visibleRecords(st *stream) int {
	n := len(st.records)
	stale := time.Duration(s.faults.StaleMs) * time.Millisecond
	for n > 0 && stale > 0 && time.Since(st.records[n-1].appendedAt) < stale {
		n--
	}
	return n
}

package platformlog

import (
	"net/http"
	"time"
)

// Faults are the faults the log shows. The zero value shows none.
type Faults struct {
	// Down makes each call fail with 503 before it has an effect.
	Down bool `json:"down"`
	// ReadsDown makes reads fail with 503; appends work.
	ReadsDown bool `json:"reads_down"`
	// DelayMs is added to each call.
	DelayMs int `json:"delay_ms"`
	// LoseAppendAnswers makes appends take effect and then cuts the connection.
	LoseAppendAnswers bool `json:"lose_append_answers"`
	// StaleMs makes reads show the log as it was that many milliseconds ago.
	StaleMs int `json:"stale_ms"`
	// AppendsPerSecond refuses appends above the rate with 503. 0 means no limit.
	AppendsPerSecond int `json:"appends_per_second"`
}

// refuse reports whether the faults make a call fail before it has an effect.
func (s *Server) refuse(method string) bool {
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
	if second := now.Unix(); second != s.second {
		s.second, s.appends = second, 0
	}
	s.appends++
	return s.appends <= s.faults.AppendsPerSecond
}

// visible returns the number of records that reads show. The caller holds the lock.
func (s *Server) visible(st *stream) int {
	n := len(st.records)
	stale := time.Duration(s.faults.StaleMs) * time.Millisecond
	for n > 0 && stale > 0 && time.Since(st.records[n-1].at) < stale {
		n--
	}
	return n
}

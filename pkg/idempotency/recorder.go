package idempotency

import (
	"net/http"
	"strconv"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// recorder passes an answer on and keeps a copy. An answer with the outcome
// not-run is held back until the key is released, so that its reader can resend
// at once.
type recorder struct {
	http.ResponseWriter
	limit int

	status  int
	header  http.Header
	body    []byte
	written int64
	// truncated is set when the body is larger than limit.
	truncated bool
	held      bool
}

// Unwrap gives http.ResponseController access to the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	informational := status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
	if w.status != 0 || informational {
		if informational {
			w.ResponseWriter.WriteHeader(status)
		}
		return
	}
	w.status = status
	w.header = w.Header().Clone()
	if w.outcome() == outcome.NotRun {
		w.held = true
		return
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if len(w.body)+len(p) > w.limit {
		w.release()
		w.truncated = true
		w.body = nil
	}
	if !w.truncated {
		w.body = append(w.body, p...)
	}
	if w.held {
		w.written += int64(len(p))
		return len(p), nil
	}
	n, err := w.ResponseWriter.Write(p)
	w.written += int64(n)
	return n, err
}

// FlushError implements the interface used by http.ResponseController.
func (w *recorder) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.held {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// release sends what was held back.
func (w *recorder) release() {
	if !w.held {
		return
	}
	w.held = false
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(w.body)
}

// outcome returns what the answer says; an answer that says nothing is unknown.
func (w *recorder) outcome() outcome.Outcome {
	switch o := outcome.Outcome(w.header.Get(outcome.HeaderOutcome)); o {
	case outcome.Run, outcome.NotRun:
		return o
	}
	return outcome.Unknown
}

// complete reports whether the body has the length that the header declares.
func (w *recorder) complete(method string) bool {
	bodyless := method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	declared := w.header.Get("Content-Length")
	if bodyless || declared == "" {
		return true
	}
	n, err := strconv.ParseInt(declared, 10, 64)
	return err == nil && n == w.written
}

// answer returns the recorded answer, or nil if it is too large.
func (w *recorder) answer() *answer {
	if w.truncated {
		return nil
	}
	// The load was that of the time of the first answer.
	w.header.Del(outcome.HeaderLoad)
	return &answer{status: w.status, header: w.header, body: w.body}
}

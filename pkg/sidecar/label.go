package sidecar

import (
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/load"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Label wraps the handlers of forwarded requests. Each final answer names the
// request and attempt that it belongs to, and carries the current load, also when
// it is a recorded answer to an earlier request.
func (s *Sidecar) Label(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&labelWriter{
			ResponseWriter: w, sidecar: s,
			requestID: r.Header.Get(outcome.HeaderRequestID), attempt: r.Header.Get(outcome.HeaderAttempt),
		}, r)
	})
}

// labelWriter sets the label when the final answer starts.
type labelWriter struct {
	http.ResponseWriter
	sidecar            *Sidecar
	requestID, attempt string
	wrote              bool
}

// WriteHeader implements http.ResponseWriter.
func (w *labelWriter) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		h := w.Header()
		h.Set(outcome.HeaderRequestID, w.requestID)
		h.Set(outcome.HeaderAttempt, w.attempt)
		h.Set(outcome.HeaderLoad, load.Encode(w.sidecar.Load()))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *labelWriter) Write(b []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *labelWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

package sidecar

import (
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/load"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// WithResponseHeaders wraps the handler of forwarded requests. It sets the request ID, the
// attempt number and the current load in each final response, including responses that
// were recorded for an earlier attempt.
func (s *Sidecar) WithResponseHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&headerWriter{
			ResponseWriter: w, sidecar: s,
			requestID: r.Header.Get(outcome.HeaderRequestID), attempt: r.Header.Get(outcome.HeaderAttempt),
		}, r)
	})
}

// headerWriter sets these headers when the final response starts.
type headerWriter struct {
	http.ResponseWriter
	sidecar            *Sidecar
	requestID, attempt string
	wroteHeader        bool
}

func (w *headerWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		h := w.Header()
		h.Set(outcome.HeaderRequestID, w.requestID)
		h.Set(outcome.HeaderAttempt, w.attempt)
		h.Set(outcome.HeaderLoad, load.Encode(w.sidecar.Load()))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *headerWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *headerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

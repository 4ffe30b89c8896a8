package sidecar

import (
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/load"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Label wraps the handlers of forwarded requests. It sets the request ID, the
// attempt and the current load in each final response, including recorded responses
// to earlier requests.
func (s *Sidecar) Label(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&labelWriter{
			ResponseWriter: w, sidecar: s,
			requestID: r.Header.Get(outcome.HeaderRequestID), attempt: r.Header.Get(outcome.HeaderAttempt),
		}, r)
	})
}

// labelWriter sets these headers when the final response starts.
type labelWriter struct {
	http.ResponseWriter
	sidecar            *Sidecar
	requestID, attempt string
	wrote              bool
}

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

func (w *labelWriter) Write(b []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *labelWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/admission"
	"github.com/mulberrytray/mulberrytray/pkg/load"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// responseWriter adds the load header to the final response and records whether
// that response was started.
type responseWriter struct {
	http.ResponseWriter
	sidecar     *Sidecar
	wroteHeader bool
}

func (w *responseWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		w.Header().Set(outcome.HeaderLoad, load.Encode(w.sidecar.Load()))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// statusClientClosed is the non-standard status, introduced by nginx, of requests
// that the caller cancelled.
const statusClientClosed = 499

// rejectionProblem converts an error of admission to a problem document.
func rejectionProblem(err error) *outcome.Problem {
	var r *admission.Rejection
	if !errors.As(err, &r) {
		return outcome.New(http.StatusInternalServerError, outcome.ReasonInternal, outcome.NotRun, err.Error())
	}
	status := http.StatusServiceUnavailable
	switch r.Reason {
	case outcome.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case outcome.ReasonCancelled:
		status = statusClientClosed
	}
	return outcome.New(status, r.Reason, outcome.NotRun, r.Detail).WithRetryAfter(r.RetryAfter)
}

func panicText(cause any) string { return fmt.Sprint(cause) }

// remainingMs returns the whole milliseconds until the deadline, at least 1.
func remainingMs(deadline time.Time) int64 {
	return max(1, time.Until(deadline).Milliseconds())
}

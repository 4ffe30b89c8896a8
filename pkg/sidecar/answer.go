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

// answerWriter adds the load to each answer and knows whether one was started.
type answerWriter struct {
	http.ResponseWriter
	sidecar *Sidecar
	wrote   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		w.Header().Set(outcome.HeaderLoad, load.Encode(w.sidecar.Load()))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// statusClientClosed is the customary status of requests whose caller left.
const statusClientClosed = 499

// refusalProblem converts a refusal of admission.
func refusalProblem(err error) *outcome.Problem {
	var r *admission.Refusal
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

// remainingMs returns the whole milliseconds left, at least 1.
func remainingMs(deadline time.Time) int64 {
	return max(1, time.Until(deadline).Milliseconds())
}

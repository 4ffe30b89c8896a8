package quarantine

import (
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// gate holds back the answer of a request that was running when the upstream
// crashed until the crash has been reported.
type gate struct {
	http.ResponseWriter
	// crashed returns when the crash has been reported.
	crashed func()

	status int
	stated outcome.Outcome
}

// Unwrap gives http.ResponseController access to the connection.
func (w *gate) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *gate) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
		w.stated = outcome.Outcome(w.Header().Get(outcome.HeaderOutcome))
		reason := outcome.Reason(w.Header().Get(outcome.HeaderReason))
		if reason == outcome.ReasonUpstreamCrashed && w.stated != outcome.NotRun {
			w.crashed()
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *gate) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface used by http.ResponseController.
func (w *gate) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// outcome returns what the answer states; an aborted answer or one without a
// valid outcome is unknown.
func (w *gate) outcome(returned bool) outcome.Outcome {
	if returned && (w.stated == outcome.Run || w.stated == outcome.NotRun) {
		return w.stated
	}
	return outcome.Unknown
}

package quarantine

import (
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// gate delays the response to a request that was running when the upstream crashed
// until the crash has been reported.
type gate struct {
	http.ResponseWriter
	// reportCrash returns when the crash has been reported.
	reportCrash func()

	// status is 0 until the final header is written.
	status        int
	statedOutcome outcome.Outcome
}

// Unwrap gives http.ResponseController access to the underlying ResponseWriter.
func (w *gate) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader reports a crash stated by the header before it sends the header.
func (w *gate) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
		w.statedOutcome = outcome.Outcome(w.Header().Get(outcome.HeaderOutcome))
		reason := outcome.Reason(w.Header().Get(outcome.HeaderReason))
		if reason == outcome.ReasonUpstreamCrashed && w.statedOutcome != outcome.NotRun {
			w.reportCrash()
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *gate) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *gate) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// outcome returns the outcome that the response states. It is Unknown if the handler
// did not return, or if the response states no valid outcome.
func (w *gate) outcome(returned bool) outcome.Outcome {
	if returned && (w.statedOutcome == outcome.Run || w.statedOutcome == outcome.NotRun) {
		return w.statedOutcome
	}
	return outcome.Unknown
}

package idempotency

import (
	"net/http"
	"strconv"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// recorder forwards a response and stores a copy. A response with the outcome
// not-run is buffered until the key has been removed, so that the caller can resend
// as soon as it receives the response.
type recorder struct {
	http.ResponseWriter
	limit int

	status  int
	header  http.Header
	body    []byte
	written int64
	// truncated is set when the body is larger than limit.
	truncated bool
	// buffered is set while the response is not forwarded.
	buffered bool
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

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
		w.buffered = true
		return
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *recorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if len(w.body)+len(p) > w.limit {
		w.sendBuffered()
		w.truncated = true
		w.body = nil
	}
	if !w.truncated {
		w.body = append(w.body, p...)
	}
	if w.buffered {
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
	if w.buffered {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// sendBuffered sends the buffered response, if there is one.
func (w *recorder) sendBuffered() {
	if !w.buffered {
		return
	}
	w.buffered = false
	w.ResponseWriter.WriteHeader(w.status)
	_, _ = w.ResponseWriter.Write(w.body)
}

// outcome returns the outcome in the response header: run, not-run, or else unknown.
func (w *recorder) outcome() outcome.Outcome {
	switch o := outcome.Outcome(w.header.Get(outcome.HeaderOutcome)); o {
	case outcome.Run, outcome.NotRun:
		return o
	}
	return outcome.Unknown
}

// complete reports whether the body has the length declared in the header.
func (w *recorder) complete(method string) bool {
	bodyless := method == http.MethodHead || w.status == http.StatusNoContent || w.status == http.StatusNotModified
	declared := w.header.Get("Content-Length")
	if bodyless || declared == "" {
		return true
	}
	n, err := strconv.ParseInt(declared, 10, 64)
	return err == nil && n == w.written
}

// response returns the recorded response, or nil if it is too large.
func (w *recorder) response() *response {
	if w.truncated {
		return nil
	}
	// A replayed response must not carry the load at the time of the first response.
	w.header.Del(outcome.HeaderLoad)
	return &response{status: w.status, header: w.header, body: w.body}
}

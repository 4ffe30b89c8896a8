package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
)

// bodyBuffer is how much of a body is collected before it is passed on. Requests
// with longer bodies cannot be sent a second time.
const bodyBuffer = 256 << 10

var (
	errBodyTooLarge = errors.New("request body too large")
	errBodyBroken   = errors.New("request body broken")
	errBodyLate     = errors.New("request body did not come in time")
)

// readBody collects the beginning of the body into the call.
func readBody(c *Call, body io.Reader, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, body, bodyBuffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errBodyLate
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", errBodyBroken, err)
	}
	c.Body = b.Bytes()
	if err == nil {
		c.Rest, c.Length = body, length
		return nil
	}
	c.Length = n
	return nil
}

// bodyStatus returns the status for a request whose body was not taken.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyLate):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// writeAnswer writes the upstream's answer. A body that breaks aborts the
// connection, so that it never looks complete.
func writeAnswer(w http.ResponseWriter, r *Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	// The server would add these by itself.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	if r.Length >= 0 && bodyAllowed(r.Status) {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil || r.Rest == nil {
		r.close()
		return
	}
	_, err := io.Copy(w, r.Rest)
	r.close()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

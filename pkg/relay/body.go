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

// bodyBufferBytes is the number of bytes of a body that are buffered before it is
// forwarded. Requests with longer bodies cannot be retried.
const bodyBufferBytes = 256 << 10

var (
	errBodyTooLarge = errors.New("request body too large")
	errBodyBroken   = errors.New("request body broken")
	errBodyTimeout  = errors.New("request body did not come in time")
)

// readBody buffers the beginning of the body in the call. Rest is set if the body is
// longer than the buffer.
func readBody(c *Call, body io.Reader, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	var b bytes.Buffer
	n, err := io.CopyN(&b, body, bodyBufferBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errBodyTimeout
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

// bodyStatus returns the HTTP status for an error of readBody.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTimeout):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// writeResponse writes the upstream's response. If the body breaks off, writeResponse
// aborts the connection, so that the caller never takes a truncated body for complete.
func writeResponse(w http.ResponseWriter, r *Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	// A nil value keeps net/http from adding these headers.
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

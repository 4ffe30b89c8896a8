package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

// bodyBufferBytes is the number of bytes of a body that are buffered before it is
// forwarded. Requests with longer bodies cannot be retried.
const bodyBufferBytes = 256 << 10

// wholeBodyBytes is the length up to which the body of a request that must not run twice is received
// before the request takes a slot. Uploads have up to 360 KB; at 10 Mbit/s, they would hold a slot for
// 85 ms after the first bodyBufferBytes.
const wholeBodyBytes = 1 << 20

const (
	// maxAheadBytes of the rest of a response are read ahead of a slow reader, so that the
	// upstream is soon done with the request and its slot is free.
	maxAheadBytes = 4 << 20
	// unlimitedWriteBytes is the length of a body that the server buffers, so that writing
	// it does not wait for the reader.
	unlimitedWriteBytes = 2 << 10
	// writeBlockBytes is the size of the blocks in which longer bodies are written.
	writeBlockBytes = 32 << 10
	// blockWriteTimeout bounds the time in which a reader takes one block. Readers on the
	// users' slowest links (10 Mbit/s) take a block in 26 ms.
	blockWriteTimeout = 5 * time.Second
)

var (
	errBodyTooLarge = errors.New("request body too large")
	errBodyBroken   = errors.New("request body broken")
	errBodyTimeout  = errors.New("request body did not come in time")
)

// readBody buffers the beginning of the body in the call, which must be released. Rest is
// set if the body is longer than the buffer.
func readBody(c *Call, body *receivedBody, length, limit int64) error {
	if length > limit {
		return errBodyTooLarge
	}
	buffer, size := body.buffer, bufferBytes(c.Idempotent, length)
	if length >= 0 {
		// The buffer of a whole body is not longer than the body. One more byte shows its end.
		size = min(size, length+1)
	}
	err := buffer.Fill(body, size)
	switch {
	case errors.Is(err, errBodyStalled):
		return errBodyStalled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTimeout
	case err != nil:
		return fmt.Errorf("%w: %w", errBodyBroken, err)
	}
	c.buffer, c.Body = buffer, buffer.Bytes
	if !buffer.Complete {
		if !body.tracked.Hold(intake.Slot) {
			buffer.Release()
			return errBodyStalled
		}
		c.Rest, c.Length = body, length
		return nil
	}
	body.end()
	c.Length = int64(len(c.Body))
	return nil
}

// bufferBytes returns how much of a request's body is received before it is forwarded.
func bufferBytes(idempotent bool, length int64) int64 {
	if idempotent || length > wholeBodyBytes {
		return bodyBufferBytes
	}
	return wholeBodyBytes
}

// bodyStatus returns the HTTP status for an error of readBody.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTimeout), errors.Is(err, errBodyStalled):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// writeResponse writes the upstream's response and closes it. If the body breaks off or the
// reader stalls, writeResponse aborts the connection, so that the caller never takes a
// truncated body for complete.
func writeResponse(w http.ResponseWriter, r *Result) {
	defer r.close()
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
	if r.encoded == nil && r.Rest == nil && len(r.Body) <= unlimitedWriteBytes {
		// The server notices an error when it sends its buffer.
		_, _ = w.Write(r.Body)
		return
	}
	limited := &limitedWriter{w, http.NewResponseController(w)}
	var err error
	if r.encoded != nil {
		_, err = io.CopyBuffer(limited, r.encoded, make([]byte, headerBlockBytes))
	}
	if err == nil {
		_, err = limited.Write(r.Body)
	}
	if err == nil && r.Rest != nil {
		_, err = io.CopyBuffer(limited, r.Rest, make([]byte, writeBlockBytes))
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	limited.end()
}

// limitedWriter writes a response in blocks. A reader that does not take a block within
// blockWriteTimeout has its connection closed, so that it does not hold memory for long.
type limitedWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// Write implements io.Writer.
func (l *limitedWriter) Write(p []byte) (int, error) {
	written := 0
	for block := range slices.Chunk(p, writeBlockBytes) {
		// If the connection is closed, Write fails as well.
		_ = l.control.SetWriteDeadline(time.Now().Add(blockWriteTimeout))
		n, err := l.w.Write(block)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// end writes what the server has buffered and removes the time limit, since the connection
// may be used for more responses.
func (l *limitedWriter) end() {
	_ = l.control.Flush()
	_ = l.control.SetWriteDeadline(time.Time{})
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

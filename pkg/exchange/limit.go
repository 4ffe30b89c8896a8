package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

var (
	errHeadTooLong        = errors.New("header of the response too long")
	errBodyTooLong        = errors.New("body of the response too long")
	errStatus             = errors.New("status of the response is none of HTTP")
	errForeignBodyTooLong = errors.New("body of the response to another request too long")
)

// limitedReader fails once the limit for the current part of a response is used up.
// Bytes that were buffered before the limit was set are not counted.
type limitedReader struct {
	r    io.Reader
	left int64
	err  error
}

// set allows n more bytes; further reads return err.
func (l *limitedReader) set(n int64, err error) { l.left, l.err = n, err }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, l.err
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// checkFields returns an error if the header has too many names or fields.
func checkFields(h http.Header) error {
	fields := 0
	for _, values := range h {
		fields += len(values)
	}
	if len(h) > maxHeadNames || fields > maxHeadFields {
		return fmt.Errorf("%w: %d names and %d fields", errHeadTooLong, len(h), fields)
	}
	return nil
}

// checkStatus returns an error for a status that is neither informational nor valid. After another
// protocol was accepted (101), no further response can be read.
func checkStatus(status int) error {
	informational := status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
	if informational || stream.ValidStatus(status) {
		return nil
	}
	return fmt.Errorf("%w: %03d", errStatus, status)
}

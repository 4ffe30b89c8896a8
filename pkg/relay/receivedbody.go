package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
)

// errBodyStalled means that a request gave way to others because its body had stopped.
var errBodyStalled = errors.New("request body stalled")

// receivedBody is the body of a request while it is received. If it stalls, the request gives way to those
// that need what it holds: reading fails with errBodyStalled, and its handler returns what it holds.
type receivedBody struct {
	io.ReadCloser
	place   *place
	tracked *intake.Body
	buffer  *bodybuf.Buffer
}

// receive returns the body of a request, whose beginning is kept in the buffer. It must be ended before the
// handler returns. The request is given up at the deadline.
func (p *place) receive(control *http.ResponseController, body io.ReadCloser, buffer *bodybuf.Buffer, deadline time.Time) *receivedBody {
	b := &receivedBody{ReadCloser: body, place: p, buffer: buffer}
	p.body = b
	if p.limit == nil {
		b.tracked = (*intake.Table)(nil).Begin(0, 0, nil)
		return b
	}
	b.tracked = p.limit.bodies.Begin(p.limit.now(), deadline.Sub(p.limit.start), func() {
		// An error means that the connection is closed, so that reading fails as well.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	if p.isLong.Load() {
		b.tracked.Hold(intake.LongPlace)
	}
	return b
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.place.limit != nil {
		b.tracked.Progress(b.place.limit.now(), n)
	}
	if err != nil && b.tracked.End() {
		return 0, errBodyStalled
	}
	return n, err
}

// setDeadline sets when the request is given up.
func (b *receivedBody) setDeadline(deadline time.Time) {
	if l := b.place.limit; l != nil {
		b.tracked.SetDeadline(deadline.Sub(l.start))
	}
}

// end ends the tracking of the body. It may be called on nil and more than once.
func (b *receivedBody) end() {
	if b != nil {
		b.tracked.End()
	}
}

package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes of a body of known length are kept for another attempt.
	prefixBytes = 64 << 10
	// fingerprintBytes of a body are part of the fingerprint. Of a body of unknown
	// length no more than this is awaited before the request is forwarded, so that
	// a caller that streams slowly isn't held up longer than the fingerprint needs.
	fingerprintBytes = 4 << 10
)

// errRevoked ends reads of an attempt that was given up.
var errRevoked = errors.New("ingress: the attempt was given up")

// errBodyLimit ends the body of a request that is larger than its service allows.
var errBodyLimit = errors.New("ingress: the body passes the limit of the service")

// errCallerBody marks a body that the caller did not send completely.
var errCallerBody = errors.New("ingress: the caller's body broke off")

// body is the body of a caller's request, readable by one attempt at a time. The
// prefix can be read by each attempt, the rest only once. It is safe for
// concurrent use.
type body struct {
	prefix []byte
	rest   io.Reader
	// whole is set if the prefix is the complete body.
	whole bool

	mu       sync.Mutex
	owner    int
	consumed bool
	left     int64
	err      error
}

// readPrefix reads the start of the body.
func readPrefix(r *http.Request, limit int64) (*body, error) {
	b := &body{rest: r.Body, left: limit}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.whole = true
		return b, nil
	}
	size := int64(fingerprintBytes)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, prefixBytes)
	}
	buf := make([]byte, min(size, limit)+1)
	n, err := io.ReadFull(r.Body, buf)
	b.prefix, b.left = buf[:n], limit-int64(n)
	switch {
	case errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && (r.ContentLength < 0 || int64(n) == r.ContentLength)):
		b.whole = true
	case err != nil:
		return nil, errors.Join(errCallerBody, err)
	}
	if b.left < 0 {
		return nil, errBodyLimit
	}
	return b, nil
}

// attempt returns a reader for a new attempt, or false if the rest of the body
// was consumed by an earlier one. Earlier attempts can read nothing any more.
func (b *body) attempt() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, false
	}
	b.owner++
	return &attemptBody{body: b, owner: b.owner, prefix: bytes.NewReader(b.prefix)}, true
}

// shared returns a reader of a whole body, for attempts that run side by side.
func (b *body) shared() io.ReadCloser {
	return &attemptBody{body: b, prefix: bytes.NewReader(b.prefix)}
}

// failure returns the error of the caller's side of the body, if any.
func (b *body) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// begin claims the rest of the body for an attempt.
func (b *body) begin(owner int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if owner != b.owner {
		return errRevoked
	}
	b.consumed = true
	return b.err
}

func (b *body) count(n int, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= int64(n)
	switch {
	case b.left < 0:
		b.err = errBodyLimit
	case err != nil && !errors.Is(err, io.EOF):
		b.err = errors.Join(errCallerBody, err)
	default:
		return err
	}
	return b.err
}

// attemptBody is the body as one attempt reads it. It hides the type of the
// caller's body and has no GetBody, so that http.Transport never resends it.
type attemptBody struct {
	body   *body
	owner  int
	prefix *bytes.Reader
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.prefix.Len() > 0 {
		return a.prefix.Read(p)
	}
	if a.body.whole {
		return 0, io.EOF
	}
	if err := a.body.begin(a.owner); err != nil {
		return 0, err
	}
	n, err := a.body.rest.Read(p)
	err = a.body.count(n, err)
	if errors.Is(err, errBodyLimit) {
		return 0, err
	}
	return n, err
}

// Close implements io.Closer. The server closes the caller's body itself.
func (a *attemptBody) Close() error { return nil }

// fingerprint hashes what identifies a request that may crash its upstream.
func fingerprint(r *http.Request, service string, b *body) uint64 {
	h := xxhash.New()
	length := r.ContentLength
	if b.whole {
		length = int64(len(b.prefix))
	}
	for _, part := range []string{service, r.Method, r.URL.RequestURI()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(uint64(length) >> shift)})
	}
	_, _ = h.Write(b.prefix[:min(len(b.prefix), fingerprintBytes)])
	return h.Sum64()
}

// repeatable reports whether another attempt could read the body.
func (b *body) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

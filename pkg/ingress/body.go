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
	// prefixBytes is the maximum size of the prefix that is retained for further attempts,
	// if the length of the body is known.
	prefixBytes = 64 << 10
	// fingerprintBytes is the size of the prefix that the fingerprint covers. A request
	// whose body has an unknown length is forwarded once more than this is read, so that
	// slow streams are delayed no longer than the fingerprint requires.
	fingerprintBytes = 4 << 10
)

// errAttemptEnded is returned by body reads of an attempt that a newer one replaced.
var errAttemptEnded = errors.New("ingress: read of the request body by an attempt that has ended")

// errBodyLimit is returned when a body is larger than its service allows.
var errBodyLimit = errors.New("ingress: the request body exceeds the limit of the service")

// errCallerBody is returned when the caller does not send the complete body.
var errCallerBody = errors.New("ingress: the caller's request body is incomplete")

// body is the body of a caller's request. One attempt at a time can read it. Each
// attempt can read the prefix, but the rest can be read only once. It is safe for
// concurrent use.
type body struct {
	prefix []byte
	rest   io.Reader
	// complete is set if the prefix is the entire body.
	complete bool

	mu sync.Mutex
	// attempt is the number of the attempt that may read the rest.
	attempt int
	// consumed is set when an attempt starts to read the rest.
	consumed bool
	// remaining is the number of bytes left until the limit of the service.
	remaining int64
	err       error
}

// readPrefix reads the prefix of the body.
func readPrefix(r *http.Request, limit int64) (*body, error) {
	b := &body{rest: r.Body, remaining: limit}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.complete = true
		return b, nil
	}
	size := int64(fingerprintBytes)
	if r.ContentLength > 0 {
		size = min(r.ContentLength, prefixBytes)
	}
	var prefix bytes.Buffer
	// Unlike io.ReadFull, io.CopyN tells a body that is shorter than size from one that
	// breaks off.
	n, err := io.CopyN(&prefix, r.Body, min(size, limit)+1)
	b.prefix, b.remaining = prefix.Bytes(), limit-n
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		return nil, errors.Join(errCallerBody, err)
	}
	if b.remaining < 0 {
		return nil, errBodyLimit
	}
	return b, nil
}

// newReader returns a reader for a new attempt, or false if an earlier attempt
// consumed the rest of the body. Earlier attempts can no longer claim the rest.
func (b *body) newReader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, false
	}
	b.attempt++
	return &attemptBody{body: b, attempt: b.attempt, prefix: bytes.NewReader(b.prefix)}, true
}

// newConcurrentReader returns a reader of a complete body, for attempts that run
// concurrently.
func (b *body) newConcurrentReader() io.ReadCloser {
	return &attemptBody{body: b, prefix: bytes.NewReader(b.prefix)}
}

// callerError returns the error of reading the body from the caller, if any.
func (b *body) callerError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// claimRest marks the rest of the body as consumed by the attempt.
func (b *body) claimRest(attempt int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return errAttemptEnded
	}
	b.consumed = true
	return b.err
}

// recordRead updates the remaining limit and returns the error for the reader.
func (b *body) recordRead(n int, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		b.err = errBodyLimit
	case err != nil && !errors.Is(err, io.EOF):
		b.err = errors.Join(errCallerBody, err)
	default:
		return err
	}
	return b.err
}

// attemptBody is the request body of one attempt. It hides the type of the caller's
// body and sets no GetBody, so that http.Transport never resends it.
type attemptBody struct {
	body    *body
	attempt int
	prefix  *bytes.Reader
}

func (a *attemptBody) Read(p []byte) (int, error) {
	if a.prefix.Len() > 0 {
		return a.prefix.Read(p)
	}
	if a.body.complete {
		return 0, io.EOF
	}
	if err := a.body.claimRest(a.attempt); err != nil {
		return 0, err
	}
	n, err := a.body.rest.Read(p)
	err = a.body.recordRead(n, err)
	if errors.Is(err, errBodyLimit) {
		return 0, err
	}
	return n, err
}

// Close does nothing because the server closes the caller's body.
func (a *attemptBody) Close() error { return nil }

// fingerprint returns the hash that identifies a request that crashes upstreams.
func fingerprint(r *http.Request, service string, b *body) uint64 {
	h := xxhash.New()
	length := r.ContentLength
	if b.complete {
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

// repeatable reports whether another attempt can read the body.
func (b *body) repeatable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

package idempotency

import (
	"container/list"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"
)

// state is the state of a recorded key.
type state int

const (
	stateRunning state = iota
	// stateRun is final: the request was run and its response was complete.
	stateRun
	// stateUnknown is final: the request may have been run.
	stateUnknown
)

type digest [sha256.Size]byte

// entry is a recorded key. It is guarded by Registry.mu.
type entry struct {
	state state
	// requestLine is the digest of method, path and query.
	requestLine digest
	body        bodyDigest
	// status of the response. It is retained when the response is evicted.
	status   int
	response *response
	// element is the entry's element in Registry.responses, nil without a response.
	element *list.Element
}

// response is a recorded response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// size returns the approximate size of the response in bytes.
func (r *response) size() int {
	n := len(r.body)
	for name, values := range r.header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// storeResponse records the response of e and evicts the oldest responses above the
// limit. The caller holds mu.
func (r *Registry) storeResponse(e *entry, resp *response) {
	if resp.size() > r.cfg.MaxTotalResponseBytes {
		return
	}
	e.response = resp
	e.element = r.responses.PushBack(e)
	r.responseBytes += resp.size()
	for r.responseBytes > r.cfg.MaxTotalResponseBytes {
		r.evictResponse(r.responses.Front().Value.(*entry))
	}
}

// evictResponse removes the response of e but not its outcome. The caller holds mu.
func (r *Registry) evictResponse(e *entry) {
	if e.element == nil {
		return
	}
	r.responses.Remove(e.element)
	r.responseBytes -= e.response.size()
	e.response, e.element = nil, nil
}

// bodyDigest describes the part of a body that the upstream could have received.
type bodyDigest struct {
	sum    digest
	length int64
	// complete is set if the body ended after length bytes.
	complete bool
	// declared is the Content-Length, or -1.
	declared int64
}

// matches reports whether a resent request has the body that d describes. If the
// first body was read only in part, just that part is compared. At most one byte more
// than that part is read.
func (d bodyDigest) matches(r *http.Request) (bool, error) {
	if d.declared >= 0 && r.ContentLength >= 0 && d.declared != r.ContentLength {
		return false, nil
	}
	h := sha256.New()
	n, err := io.Copy(h, io.LimitReader(r.Body, d.length))
	if err != nil {
		return false, err
	}
	if n != d.length || digest(h.Sum(nil)) != d.sum {
		return false, nil
	}
	if !d.complete {
		return true, nil
	}
	extra, err := io.ReadFull(r.Body, make([]byte, 1))
	if err != nil && err != io.EOF {
		return false, err
	}
	return extra == 0, nil
}

// hashingBody hashes a body while it is read. A transport may continue to read after
// RoundTrip has returned, so a mutex guards the state.
type hashingBody struct {
	io.ReadCloser

	mu       sync.Mutex
	hash     hash.Hash
	length   int64
	complete bool
	declared int64
}

func newHashingBody(r *http.Request) *hashingBody {
	return &hashingBody{ReadCloser: r.Body, hash: sha256.New(), declared: r.ContentLength, complete: r.Body == http.NoBody}
}

func (b *hashingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hash.Write(p[:n])
	b.length += int64(n)
	if err == io.EOF || b.length == b.declared {
		b.complete = true
	}
	return n, err
}

func (b *hashingBody) digest() bodyDigest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bodyDigest{digest(b.hash.Sum(nil)), b.length, b.complete, b.declared}
}

func requestLineDigest(r *http.Request) digest {
	h := sha256.New()
	for _, s := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = io.WriteString(h, s)
		h.Write([]byte{0})
	}
	return digest(h.Sum(nil))
}

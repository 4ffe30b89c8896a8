package idempotency

import (
	"container/list"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"
)

// state of a recorded key.
type state int

const (
	stateRunning state = iota
	// stateRun is final: the request was run and answered completely.
	stateRun
	// stateUnknown is final: the request may have been run.
	stateUnknown
)

type digest [sha256.Size]byte

// entry is a recorded key. Registry.mu guards it.
type entry struct {
	state state
	// head is the digest of method, path and query.
	head digest
	body bodyDigest
	// status of the answer, also when the answer is no longer kept.
	status int
	answer *answer
	// element is the entry's place in Registry.answers, nil without an answer.
	element *list.Element
}

// answer is a recorded answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// size is the approximate memory of the answer in bytes.
func (a *answer) size() int {
	n := len(a.body)
	for name, values := range a.header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// keepAnswer records the answer of e and drops the oldest ones above the limit.
// The caller holds mu.
func (r *Registry) keepAnswer(e *entry, a *answer) {
	if a.size() > r.cfg.MaxAnswersBytes {
		return
	}
	e.answer = a
	e.element = r.answers.PushBack(e)
	r.answerBytes += a.size()
	for r.answerBytes > r.cfg.MaxAnswersBytes {
		r.dropAnswer(r.answers.Front().Value.(*entry))
	}
}

// dropAnswer forgets the answer of e but not its outcome. The caller holds mu.
func (r *Registry) dropAnswer(e *entry) {
	if e.element == nil {
		return
	}
	r.answers.Remove(e.element)
	r.answerBytes -= e.answer.size()
	e.answer, e.element = nil, nil
}

// bodyDigest describes the part of a body that the upstream could have seen.
type bodyDigest struct {
	sum    digest
	length int64
	// complete is set if the body ended after length bytes.
	complete bool
	// declared is the Content-Length, or -1.
	declared int64
}

// matches reads the body of a resend, at most one byte more than was read of the
// first body, and reports whether both are equal as far as the first was read.
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

// hashingBody hashes a body while it is read. A transport may go on reading after
// its round trip has returned, so a mutex guards the state.
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

// Read implements io.Reader.
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

func headDigest(r *http.Request) digest {
	h := sha256.New()
	for _, s := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		_, _ = io.WriteString(h, s)
		h.Write([]byte{0})
	}
	return digest(h.Sum(nil))
}

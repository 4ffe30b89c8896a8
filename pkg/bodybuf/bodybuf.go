// Package bodybuf keeps bodies of requests and responses in memory, within a budget that
// all bodies of a node share.
//
// Load pattern: long responses over slow links. A node buffers the beginning of a body, so
// that it can replace a truncated response by an error or send a request again, and reads
// the rest ahead of a slow reader, so that the upstream's slot is free as soon as the
// upstream has sent its response. Without a common limit, many long bodies at once exceed
// the memory of a small VM. If the budget is exhausted, bodies are forwarded as they are
// read, in blocks.
package bodybuf

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// uncountedBytes of each body are buffered without regard to the budget, so that short
	// bodies never depend on it.
	uncountedBytes = 4 << 10
	// blockBytes is the size of the parts that are counted.
	blockBytes = 16 << 10
	// reclaimChecks, reclaimPause apart, is how often the room of a body that gives way is awaited.
	reclaimChecks = 10
	reclaimPause  = time.Millisecond
)

// Budget limits the bytes of all bodies in memory. A nil Budget sets no limit. It is safe
// for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	// reclaim is the function of SetReclaim, or nil.
	reclaim func() bool
}

// SetReclaim sets the function that makes a body give way which makes no progress, and reports whether there was
// one. Its buffer may be released some milliseconds later. The function must be set before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) { b.reclaim = reclaim }

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

func (b *Budget) acquire(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// acquireOrReclaim takes n bytes, for which other bodies may give way.
func (b *Budget) acquireOrReclaim(n int64) bool {
	for !b.acquire(n) {
		if b.reclaim == nil || !b.reclaim() {
			return false
		}
		if b.awaitRoom(n) {
			return true
		}
	}
	return true
}

// awaitRoom takes n bytes as soon as there is room, and reports whether there was some in time.
func (b *Budget) awaitRoom(n int64) bool {
	for range reclaimChecks {
		time.Sleep(reclaimPause)
		if b.acquire(n) {
			return true
		}
	}
	return false
}

func (b *Budget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Reserve takes n bytes for other data that belongs to requests. It reports whether the budget allows that. If
// so, they must be returned.
func (b *Budget) Reserve(n int64) bool { return b.acquire(n) }

// Return gives back reserved bytes.
func (b *Budget) Return(n int64) { b.release(n) }

// HasRoom reports whether the budget has room for n more bytes.
func (b *Budget) HasRoom(n int64) bool { return b == nil || b.used.Load()+n <= b.limit }

// Buffer is the beginning of a body.
type Buffer struct {
	Bytes []byte
	// Complete is set if Bytes is the whole body.
	Complete bool

	budget *Budget
	held   atomic.Int64
}

// Release returns the buffer's bytes to the budget. The calling code must not use Bytes any
// longer. Release may be called more than once, and on a nil Buffer.
func (b *Buffer) Release() {
	if b != nil {
		b.budget.release(b.held.Swap(0))
	}
}

// Extend counts n more bytes for as long as the buffer is kept. It reports whether the budget has
// room for them.
func (b *Buffer) Extend(n int64) bool {
	if !b.budget.acquire(n) {
		return false
	}
	b.held.Add(n)
	return true
}

// Absorb counts for as long as the buffer is kept what the other buffer held, which must not be
// released any more. Both must be of the same budget.
func (b *Buffer) Absorb(other *Buffer) {
	if other != nil {
		b.held.Add(other.held.Swap(0))
	}
}

// fieldBytes is the memory that a header field takes besides its name and value, as HTTP/2 counts it.
const fieldBytes = 32

// headerBytes returns the memory that a header takes.
func headerBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		n += len(name) + fieldBytes
		for _, v := range values {
			n += len(v) + fieldBytes
		}
	}
	return int64(n)
}

// errNoMemory means that the budget has no room for a header.
var errNoMemory = errors.New("no memory for the header")

// ReadResponse buffers the beginning of a response's body as Read does, and counts the header until
// the release. Short headers are not counted, as short bodies. It fails if the budget has no room
// for the header.
func (b *Budget) ReadResponse(h http.Header, body io.Reader, limit int64) (*Buffer, error) {
	size := headerBytes(h)
	if size <= uncountedBytes {
		return b.Read(body, limit)
	}
	if !b.acquire(size) {
		return &Buffer{}, errNoMemory
	}
	out, err := b.Read(body, limit)
	if err != nil {
		b.release(size)
		return out, err
	}
	out.held.Add(size)
	return out, nil
}

// Read buffers up to limit bytes of the body, or fewer if the budget is exhausted. If the
// body breaks off, Read returns the error and the bytes before it; they need no Release.
func (b *Budget) Read(body io.Reader, limit int64) (*Buffer, error) {
	out := b.NewBuffer()
	return out, out.Fill(body, limit)
}

// NewBuffer returns a buffer of the budget, for Fill.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{budget: b} }

// Fill buffers up to limit bytes of the body, as Read does.
func (b *Buffer) Fill(body io.Reader, limit int64) error {
	b.Bytes = make([]byte, 0, min(uncountedBytes, limit))
	for int64(len(b.Bytes)) < limit {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow(limit) {
			break
		}
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			b.Complete = true
			break
		}
		if err != nil {
			b.Release()
			return err
		}
	}
	return nil
}

// grow increases the buffer's capacity, up to limit. It reports whether the limit and the budget
// allow it. The earlier bytes stay counted until they are copied. Smaller steps would leave several times
// the length of a body to the garbage collector.
func (b *Buffer) grow(limit int64) bool {
	size := min(limit, int64(cap(b.Bytes))+max(blockBytes, int64(cap(b.Bytes))))
	if size <= int64(cap(b.Bytes)) || !b.budget.acquireOrReclaim(size) {
		return false
	}
	larger := make([]byte, len(b.Bytes), size)
	copy(larger, b.Bytes)
	b.Bytes = larger
	b.budget.release(b.held.Swap(size))
	return true
}

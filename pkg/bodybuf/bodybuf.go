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
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// uncountedBytes of each body are buffered without regard to the budget, so that short
	// bodies never depend on it.
	uncountedBytes = 4 << 10
	// blockBytes is the size of the parts that are counted.
	blockBytes = 16 << 10
)

// Budget limits the bytes of all bodies in memory. A nil Budget sets no limit. It is safe
// for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

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

func (b *Budget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

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

// Read buffers up to limit bytes of the body, or fewer if the budget is exhausted. If the
// body breaks off, Read returns the error and the bytes before it; they need no Release.
func (b *Budget) Read(body io.Reader, limit int64) (*Buffer, error) {
	out := &Buffer{budget: b}
	var data bytes.Buffer
	for n := min(uncountedBytes, limit); n > 0; n = min(blockBytes, limit-int64(data.Len())) {
		if data.Len() > 0 {
			if !b.acquire(n) {
				break
			}
			out.held.Add(n)
		}
		_, err := io.CopyN(&data, body, n)
		if errors.Is(err, io.EOF) {
			out.Complete = true
			break
		}
		if err != nil {
			out.Release()
			out.Bytes = data.Bytes()
			return out, err
		}
	}
	out.Bytes = data.Bytes()
	return out, nil
}

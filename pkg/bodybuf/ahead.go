package bodybuf

import (
	"errors"
	"io"
	"slices"
	"sync"
)

// blockBuffers are buffers that were returned, for the blocks of any body. Without them, one long body can
// leave so much to the garbage collector that a process without enough processor time exceeds its memory.
var blockBuffers = sync.Pool{New: func() any { return new([blockBytes]byte) }}

var errClosed = errors.New("body closed")

// block is a part of a body in memory.
type block struct {
	// bytes were not yet returned.
	bytes []byte
	// buffer contains bytes, or is nil if they have a slice of their own.
	buffer *[blockBytes]byte
	// counted is the number of bytes that were taken from the budget.
	counted int64
}

// ahead is a body that is read ahead of its reader.
type ahead struct {
	body   io.ReadCloser
	budget *Budget
	limit  int64

	mu   sync.Mutex
	cond sync.Cond
	// blocks were read and not yet returned; queued is the number of their bytes.
	blocks []block
	queued int64
	closed bool
	// err ends the body after the queued blocks.
	err error
}

// ReadAhead returns a reader of the body that keeps up to limit bytes in memory, as far as
// the budget allows. It reads the body at the body's speed, however slowly the returned
// reader is read. The returned reader must be closed, which closes the body.
func (b *Budget) ReadAhead(body io.ReadCloser, limit int64) io.ReadCloser {
	a := &ahead{body: body, budget: b, limit: limit}
	a.cond.L = &a.mu
	go a.fill()
	return a
}

// fill reads the body until it ends or is closed.
func (a *ahead) fill() {
	for {
		b, ok := a.awaitRoom()
		if !ok {
			return
		}
		n, err := a.body.Read(b.buffer[:])
		b.bytes = b.buffer[:n]
		a.add(a.shrink(b), err)
	}
}

// awaitRoom waits until another block may be read, and returns it. The first block is not
// counted, so that the body makes progress without the budget. The result is false after the
// end of the body.
func (a *ahead) awaitRoom() (b block, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.closed && a.err == nil {
		if a.queued == 0 {
			return block{buffer: takeBuffer()}, true
		}
		if a.queued < a.limit && a.budget.acquire(blockBytes) {
			return block{buffer: takeBuffer(), counted: blockBytes}, true
		}
		a.cond.Wait()
	}
	return block{}, false
}

// shrink copies a block that is mostly empty, and returns its buffer and the bytes that it does
// not need.
func (a *ahead) shrink(b block) block {
	n := len(b.bytes)
	if n > blockBytes/2 {
		return b
	}
	short := slices.Clone(b.bytes)
	b.returnBuffer()
	counted := min(b.counted, int64(n))
	a.budget.release(b.counted - counted)
	return block{bytes: short, counted: counted}
}

func takeBuffer() *[blockBytes]byte { return blockBuffers.Get().(*[blockBytes]byte) }

// returnBuffer keeps the block's buffer for other blocks. Its bytes must not be used any longer.
func (b block) returnBuffer() {
	if b.buffer != nil {
		blockBuffers.Put(b.buffer)
	}
}

func (a *ahead) add(b block, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	if a.closed || len(b.bytes) == 0 {
		a.budget.release(b.counted)
		b.returnBuffer()
	} else {
		a.blocks = append(a.blocks, b)
		a.queued += int64(len(b.bytes))
	}
	a.cond.Broadcast()
}

// Read implements io.Reader.
func (a *ahead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.blocks) == 0 {
		if a.closed {
			return 0, errClosed
		}
		if a.err != nil {
			return 0, a.err
		}
		a.cond.Wait()
	}
	first := &a.blocks[0]
	n := copy(p, first.bytes)
	first.bytes = first.bytes[n:]
	a.queued -= int64(n)
	if len(first.bytes) == 0 {
		a.budget.release(first.counted)
		first.returnBuffer()
		a.blocks[0] = block{}
		a.blocks = a.blocks[1:]
	}
	a.cond.Broadcast()
	return n, nil
}

// Close implements io.Closer.
func (a *ahead) Close() error {
	a.mu.Lock()
	for _, b := range a.blocks {
		a.budget.release(b.counted)
		b.returnBuffer()
	}
	a.closed, a.blocks, a.queued = true, nil, 0
	a.cond.Broadcast()
	a.mu.Unlock()
	return a.body.Close()
}

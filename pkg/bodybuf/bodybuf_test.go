package bodybuf

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
)

var errBroken = errors.New("broken")

// Guards against bodies that together take more memory than the budget, and against bytes that
// are never returned to it.
func TestBuffersStayWithinBudget(t *testing.T) {
	const limit = 10 * blockBytes
	b := NewBudget(limit)
	var buffers []*Buffer
	for range 5 {
		buffer, err := b.Read(strings.NewReader(strings.Repeat("x", 4*blockBytes)), 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		buffers = append(buffers, buffer)
		if b.Used() > limit {
			t.Fatalf("%d bytes in use, more than %d", b.Used(), limit)
		}
	}
	if !buffers[0].Complete || buffers[4].Complete || len(buffers[4].Bytes) != uncountedBytes {
		t.Errorf("first complete %t; last complete %t with %d bytes", buffers[0].Complete, buffers[4].Complete, len(buffers[4].Bytes))
	}
	for _, buffer := range buffers {
		buffer.Release()
		buffer.Release()
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes in use after the release of all buffers", b.Used())
	}
}

// Guards against a body that is taken for complete although it broke off, or incomplete
// although it just fits.
func TestEndOfBufferedBody(t *testing.T) {
	for _, length := range []int{0, 1, uncountedBytes, uncountedBytes + 1, uncountedBytes + blockBytes, 5 * blockBytes} {
		text := strings.Repeat("x", length)
		b := NewBudget(1 << 20)
		buffer, err := b.Read(strings.NewReader(text), int64(length)+1)
		if err != nil || !buffer.Complete || string(buffer.Bytes) != text {
			t.Errorf("length %d: complete %t with %d bytes, %v", length, buffer.Complete, len(buffer.Bytes), err)
		}
		buffer, err = b.Read(io.MultiReader(strings.NewReader(text), iotest.ErrReader(errBroken)), int64(length)+1)
		if !errors.Is(err, errBroken) || buffer.Complete {
			t.Errorf("length %d: complete %t, error %v for a broken body", length, buffer.Complete, err)
		}
	}
}

// Guards against lost, repeated or reordered bytes, and an end that is lost.
func TestReadAheadKeepsBytesAndEnd(t *testing.T) {
	text := make([]byte, 20*blockBytes+7)
	for i := range text {
		text[i] = byte(i / 255)
	}
	for _, limit := range []int64{0, blockBytes, 1 << 20} {
		for _, end := range []error{io.EOF, errBroken} {
			b := NewBudget(limit)
			r := b.ReadAhead(io.NopCloser(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(end))), 1<<20)
			got, err := io.ReadAll(iotest.HalfReader(r))
			if !bytes.Equal(got, text) || (end == io.EOF) != (err == nil) {
				t.Errorf("budget %d, end %v: %d bytes, error %v", limit, end, len(got), err)
			}
			if err := r.Close(); err != nil || b.Used() != 0 {
				t.Errorf("budget %d, end %v: %d bytes in use after Close, %v", limit, end, b.Used(), err)
			}
		}
	}
}

// endless is a body without end that records how much was read.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) { e.read += int64(len(p)); return len(p), nil }
func (e *endless) Close() error               { return nil }

// Guards against a body that is read ahead without limit, and a reader of it that never ends.
func TestReadAheadIsBounded(t *testing.T) {
	for _, tt := range []struct {
		budget, limit, want int64
	}{{100 * blockBytes, 4 * blockBytes, 4 * blockBytes}, {3 * blockBytes, 1 << 20, 4 * blockBytes}, {0, 1 << 20, blockBytes}} {
		synctest.Test(t, func(t *testing.T) {
			b := NewBudget(tt.budget)
			body := &endless{}
			r := b.ReadAhead(body, tt.limit)
			synctest.Wait()
			if body.read != tt.want || b.Used() > tt.budget {
				t.Errorf("budget %d, limit %d: %d bytes read ahead, %d counted, want %d", tt.budget, tt.limit, body.read, b.Used(), tt.want)
			}
			if err := r.Close(); err != nil || b.Used() != 0 {
				t.Errorf("%d bytes in use after Close, %v", b.Used(), err)
			}
			if _, err := r.Read(make([]byte, 1)); err == nil {
				t.Error("read after Close without an error")
			}
		})
	}
}

// Guards against read-ahead that leaves a long body to the garbage collector. A process that gets
// too little processor time to collect it exceeds its memory.
func TestReadAheadReusesBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, rounds = 1 << 20, 64
		r := NewBudget(limit).ReadAhead(&endless{}, limit)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range rounds {
			// All that may be read ahead is in memory.
			synctest.Wait()
			if _, err := io.CopyN(io.Discard, r, limit); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&after)
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		// sync.Pool drops a quarter of its items under the race detector.
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > rounds*limit/2 {
			t.Errorf("%d bytes allocated for a body of %d", allocated, rounds*limit)
		}
	})
}

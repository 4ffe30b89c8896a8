package event

import (
	"bytes"
	"testing"
	"time"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := blockingWriter{make(chan struct{})}
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range 3 * queueLength {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	if w.Dropped() < queueLength {
		t.Errorf("dropped %d lines", w.Dropped())
	}
	close(out.release)
	w.Close()
}

func TestAsyncWriterFlushesOnClose(t *testing.T) {
	var b bytes.Buffer
	w := NewAsyncWriter(&b)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Close()
	if b.String() != "one\ntwo\n" {
		t.Errorf("wrote %q", b.String())
	}
}

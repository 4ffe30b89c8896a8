package event

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the maximum number of log lines that wait to be written.
	queueLength = 512
	// maxLinesPerSecond bounds the average rate of lines that a process writes.
	maxLinesPerSecond = 200
	// lineBurst is the maximum number of lines written at once after an idle period.
	lineBurst = 1000
)

// AsyncWriter writes log lines on a separate goroutine. Write never blocks: lines above
// the rate limit, or faster than the output accepts them, are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	quit    chan struct{}
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter starts a writer to w. Close stops it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, queueLength), done: make(chan struct{}), quit: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a line, or drops it if the queue is full. The error is always nil.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (a *AsyncWriter) Close() {
	close(a.quit)
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	tokens, last := float64(lineBurst), time.Now()
	for {
		select {
		case line := <-a.lines:
			now := time.Now()
			tokens = min(lineBurst, tokens+now.Sub(last).Seconds()*maxLinesPerSecond)
			last = now
			if tokens < 1 {
				a.dropped.Add(1)
				continue
			}
			tokens--
			a.write(w, line)
		case <-a.quit:
			for {
				select {
				case line := <-a.lines:
					a.write(w, line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line. A failed write only counts as dropped, because there is nowhere to
// report the error.
func (a *AsyncWriter) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		a.dropped.Add(1)
	}
}

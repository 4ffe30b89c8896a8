package event

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is how many log lines may wait to be written.
	asyncLines = 512
	// linesPerSecond bounds the lines that a process writes on average.
	linesPerSecond = 200
	// lineBurst is how many lines may be written at once after a quiet time.
	lineBurst = 1000
)

// AsyncWriter writes log lines on a goroutine of its own. It never blocks: lines
// beyond its rate, or beyond what the output takes, are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	quit    chan struct{}
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter starts a writer to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), quit: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. The error is always nil.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits and ends the writer.
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
			tokens = min(lineBurst, tokens+now.Sub(last).Seconds()*linesPerSecond)
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

// write counts a line that the output does not take: there is nowhere to report it.
func (a *AsyncWriter) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		a.dropped.Add(1)
	}
}

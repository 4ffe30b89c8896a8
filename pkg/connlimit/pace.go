package connlimit

import (
	"encoding/binary"
	"sync"
	"time"
)

const (
	// burstDivisor is the part of a second's streams that may be opened at once.
	burstDivisor = 8
	// resetsPerSecond and resetBurst bound the streams that the other side of a connection may
	// reset. A node cancels a call when its caller leaves. Beyond the rate, only an idle connection
	// is closed, which the other node opens again.
	resetsPerSecond = 2
	resetBurst      = 30
	// maxResetExcess is the excess up to which unread bytes keep the connection open, since they may
	// be a call. A node can cancel all calls of a connection at once, which are 100.
	maxResetExcess = 90
	// maxPause bounds one pause.
	maxPause = time.Second

	// Frames of HTTP/2 (RFC 9113, section 4.1): three bytes for the length, one for the type, one
	// for the flags and four for the stream.
	frameHeadBytes, frameLengthBytes = 9, 3
	frameHeaders, frameReset         = 1, 3
)

// streamCounter counts the frames in a sequence of bytes that open or reset a stream.
type streamCounter struct {
	// head is the part of the next frame's head that has been received, skip what is left of
	// the payload before it.
	head []byte
	skip int
}

// atStart reports whether the next byte is the first one of a frame.
func (s *streamCounter) atStart() bool { return len(s.head) == 0 && s.skip == 0 }

// add returns the numbers of such frames whose heads are completed by p.
func (s *streamCounter) add(p []byte) (opened, reset int) {
	for len(p) > 0 {
		if n := min(s.skip, len(p)); n > 0 {
			s.skip, p = s.skip-n, p[n:]
			continue
		}
		n := min(frameHeadBytes-len(s.head), len(p))
		s.head, p = append(s.head, p[:n]...), p[n:]
		if len(s.head) < frameHeadBytes {
			continue
		}
		switch s.head[frameLengthBytes] {
		case frameHeaders:
			opened++
		case frameReset:
			reset++
		}
		s.skip = int(binary.BigEndian.Uint32(s.head) >> 8)
		s.head = s.head[:0]
	}
	return opened, reset
}

// pacer bounds the rate of frames. net/http decodes the headers of streams before a handler counts
// them, and also of those that are reset at once.
type pacer struct {
	// perSecond is the rate, and burst the number of frames that may come at once.
	perSecond, burst float64

	mu sync.Mutex
	// debt is the number of frames that the rate has not made up for yet, at the time last.
	debt float64
	last time.Time
}

// add records n frames and returns by how many the rate and the burst are exceeded.
func (p *pacer) add(n int, now time.Time) (excess float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.IsZero() {
		p.last = now
	}
	p.debt = max(0, p.debt-now.Sub(p.last).Seconds()*p.perSecond) + float64(n)
	p.last = now
	return max(0, p.debt-p.burst)
}

// pause records n frames and returns how long the connection must not be read.
func (p *pacer) pause(n int, now time.Time) time.Duration {
	return min(maxPause, time.Duration(p.add(n, now)/p.perSecond*float64(time.Second)))
}

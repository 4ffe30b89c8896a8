package relay

import (
	"sync/atomic"
	"time"
)

const (
	// requestMemoryBytes is the memory that a request in progress may take besides the bodies
	// that count towards their budget: the head of its response, what HTTP/2 receives ahead
	// of a slow reader (peerWindowBytes), blocks in transfer, goroutines and buffers of its
	// connections.
	requestMemoryBytes = 160 << 10
	// longRequestDivisor is the part of all requests that may have long bodies, so that others
	// are served beside them.
	longRequestDivisor = 2
	// memoryRetry is the Retry-After of a node that has too many requests for its memory. Most
	// requests end within a second.
	memoryRetry = time.Second
	// reasonMemory is for requests that a node rejects because of its memory.
	reasonMemory = "memory"
)

// RequestLimit limits the requests in progress at a node, those of its callers and those of other
// nodes, by its memory. A nil RequestLimit sets no limit. It is safe for concurrent use.
//
// Load pattern: hundreds of slow or long transfers at once. Each takes memory that no body
// budget can bound, since a response has to be delivered once the upstream has run the request.
type RequestLimit struct {
	limit    int64
	requests atomic.Int64
	long     atomic.Int64
}

// NewRequestLimit returns a limit for the given memory.
func NewRequestLimit(memoryBytes int64) *RequestLimit {
	return &RequestLimit{limit: max(longRequestDivisor, memoryBytes/requestMemoryBytes)}
}

// Active returns the number of requests in progress.
func (l *RequestLimit) Active() int64 { return l.requests.Load() }

// begin reports whether another request may be served. If so, end must be called when it ends.
func (l *RequestLimit) begin() bool { return l == nil || tryAdd(&l.requests, l.limit) }

func (l *RequestLimit) end() {
	if l != nil {
		l.requests.Add(-1)
	}
}

// beginLong reports whether the body of a request may be passed on while it is received. If so,
// endLong must be called when the request ends.
func (l *RequestLimit) beginLong() bool {
	return l == nil || tryAdd(&l.long, l.limit/longRequestDivisor)
}

func (l *RequestLimit) endLong() {
	if l != nil {
		l.long.Add(-1)
	}
}

func tryAdd(n *atomic.Int64, limit int64) bool {
	if n.Add(1) > limit {
		n.Add(-1)
		return false
	}
	return true
}

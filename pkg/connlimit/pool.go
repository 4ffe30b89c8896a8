package connlimit

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a connection was closed.
type Reason string

// Reasons for closed connections.
const (
	// HeaderTooLong is for a header beyond the limit.
	HeaderTooLong Reason = "header-too-long"
	// HeaderMemory is for a header without room in the memory for headers.
	HeaderMemory Reason = "header-memory"
	// TooMany is for a connection without a request when another one needs its place, and for
	// a new one if all others have requests.
	TooMany Reason = "too-many"
	// StreamResets is for a connection of HTTP/2 without open streams whose other side has reset
	// too many of them.
	StreamResets Reason = "stream-resets"
)

// Reasons lists all reasons.
var Reasons = []Reason{HeaderTooLong, HeaderMemory, TooMany, StreamResets}

const (
	// lineBytes is what each line of a header counts besides its bytes: a field takes an entry of a map,
	// a slice and two strings once it is decoded, and is copied for the call to another node and for the
	// upstream.
	lineBytes = 512
	// freeHeaderBytes of each header are not counted, so that ordinary requests never depend
	// on the memory for headers.
	freeHeaderBytes = 16 << 10
	// maxClosing is the number of connections that may be closing beyond the limit.
	maxClosing = 16
	// maxCandidates bounds how many connections with unread bytes are passed over in the
	// search for one to close.
	maxCandidates = 8
)

// Limiter counts the headers on all connections of a node, from their first byte until the response is
// written. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// holders are the entries whose headers are being received and count, the one that took some
	// first in front.
	holders list.List
	// reclaim makes a request in progress give way, see SetReclaim.
	reclaim func() bool
	// released is signaled when counted bytes are given back.
	released *sync.Cond
}

// NewLimiter returns a limiter of the bytes of all headers beyond the free ones.
func NewLimiter(headerBytes int64) *Limiter {
	l := &Limiter{limit: headerBytes, reclaim: func() bool { return false }}
	l.released = sync.NewCond(&l.mu)
	return l
}

// SetReclaim sets the function that makes a request in progress give way whose header is not worth what it
// takes, and reports whether there was one. Its end may take some milliseconds. The function must be set
// before the first connection is accepted.
func (l *Limiter) SetReclaim(reclaim func() bool) { l.reclaim = reclaim }

// await waits until the condition holds, which is checked whenever cond is signaled, at most for
// closingWait. The caller holds the lock.
func (l *Limiter) await(cond *sync.Cond, condition func() bool) bool {
	timedOut := false
	timer := time.AfterFunc(closingWait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		timedOut = true
		cond.Broadcast()
	})
	defer timer.Stop()
	for !condition() {
		if timedOut {
			return false
		}
		cond.Wait()
	}
	return true
}

// unlocked calls f without the lock, which the caller holds.
func (l *Limiter) unlocked(f func() bool) bool {
	l.mu.Unlock()
	defer l.mu.Lock()
	return f()
}

// Used returns the number of counted bytes.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// pool decides about the connections of one listener. The limiter's lock guards it.
type pool struct {
	*Limiter
	limit int
	// open is the number of connections, closing that of refused ones among them.
	open, closing int
	// unused are the waiting entries without a request so far, idle those between two requests,
	// the one that has waited longest in front.
	unused, idle list.List
	refused      map[Reason]int64
	// closed is signaled when a connection is no longer closing.
	closed *sync.Cond
}

func newPool(l *Limiter, connections int) *pool {
	return &pool{Limiter: l, limit: connections, refused: map[Reason]int64{}, closed: sync.NewCond(&l.mu)}
}

// entry is one connection.
type entry struct {
	pool *pool
	// wake ends the server's wait for more bytes.
	wake func()
	// unread reports whether bytes have arrived that the server has not read.
	unread func() bool

	// waiting is the element in unused or idle, held that in holders; nil if there is none.
	waiting, held *list.Element
	// used is set after the first request.
	used, http2 bool
	// begun is how often begin was called.
	begun   int
	removed bool
	// received and lines are the length of the header so far and the number of its lines, and counted is
	// what the limiter counts for it.
	received, lines, counted int64
	reason                   Reason
	// scanner is at the place in the header up to which the bytes were counted.
	scanner headerScanner
	// counting and isRefused are read without the lock.
	counting, isRefused atomic.Bool
}

// verdict is the decision about a new connection.
type verdict int

const (
	admitted verdict = iota
	// full is for a connection that must be closed, since all others have requests.
	full
	// retry is for a connection that may be admitted after closed was signaled.
	retry
)

// admit decides about a new connection. At the limit it refuses the one that has waited
// longest instead. The caller holds the lock.
func (p *pool) admit(e *entry) verdict {
	if p.open-p.closing >= p.limit && !p.refuseOldest() {
		return full
	}
	if p.open >= p.limit+maxClosing {
		return retry
	}
	p.open++
	p.startWait(e)
	return admitted
}

// admitBeside decides about a new connection for which a request in progress gives way. Until the server has
// closed the connection of that one, both are open. The caller holds the lock.
func (p *pool) admitBeside(e *entry) verdict {
	if p.open >= p.limit+maxClosing {
		return full
	}
	p.open++
	p.startWait(e)
	return admitted
}

// refuseOldest refuses the entry that has waited longest, one without a request so far if there
// is one, and reports whether it found one.
func (p *pool) refuseOldest() bool {
	for _, l := range []*list.List{&p.unused, &p.idle} {
		for range min(l.Len(), maxCandidates) {
			e := l.Front().Value.(*entry)
			if e.received > 0 || !e.unread() {
				p.refuse(e, TooMany)
				return true
			}
			// The server may not have noticed a request yet.
			l.MoveToBack(e.waiting)
		}
	}
	return false
}

// refuse refuses an entry and gives back what it holds.
func (p *pool) refuse(e *entry, reason Reason) {
	e.pool.endWait(e)
	e.pool.release(e)
	e.reason = reason
	e.isRefused.Store(true)
	e.pool.closing++
	e.pool.refused[reason]++
	e.wake()
}

// refuseIdle refuses an entry unless it has a request, and reports whether it did.
func (p *pool) refuseIdle(e *entry, reason Reason) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.waiting != nil {
		p.refuse(e, reason)
	}
	return e.reason != ""
}

// startWait begins the wait for a request.
func (p *pool) startWait(e *entry) {
	if e.waiting != nil || e.reason != "" || e.removed {
		return
	}
	l := &p.unused
	if e.used {
		l = &p.idle
	}
	e.waiting = l.PushBack(e)
	e.received, e.lines, e.scanner = 0, 0, headerScanner{}
	e.counting.Store(!e.http2)
}

// endWait ends the wait for a request.
func (p *pool) endWait(e *entry) {
	if e.waiting == nil {
		return
	}
	// An element is removed only from the list that it is in.
	p.unused.Remove(e.waiting)
	p.idle.Remove(e.waiting)
	e.waiting = nil
	e.counting.Store(false)
	if e.held != nil {
		p.holders.Remove(e.held)
		e.held = nil
	}
}

// release gives back the counted bytes.
func (p *pool) release(e *entry) {
	if e.counted > 0 {
		p.used -= e.counted
		e.counted = 0
		p.released.Broadcast()
	}
}

// receive counts n more bytes with the number of lines of a header that may have limit bytes. The
// result is not empty if the connection was refused.
func (p *pool) receive(e *entry, n, lines, limit int64) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.waiting == nil {
		return e.reason
	}
	e.received += n
	e.lines += lines
	if e.received > limit {
		p.refuse(e, HeaderTooLong)
		return e.reason
	}
	if e.needs() > 0 && e.held == nil {
		e.held = p.holders.PushBack(e)
	}
	for !p.take(e) {
		if p.unlocked(p.reclaim) {
			p.await(p.released, func() bool { return e.waiting == nil || p.hasRoom(e) })
		} else if e.waiting != nil {
			// One whose header comes more slowly gives way.
			p.refuse(p.holders.Front().Value.(*entry), HeaderMemory)
		}
		if e.waiting == nil {
			return e.reason
		}
	}
	return ""
}

// HeaderCost returns how much of the memory for headers one takes, in bytes.
func HeaderCost(headerBytes, lines int64) int64 {
	return max(0, headerBytes+lines*lineBytes-freeHeaderBytes)
}

// needs returns how many more bytes the header of an entry takes than are counted.
func (e *entry) needs() int64 { return max(0, HeaderCost(e.received, e.lines)-e.counted) }

// hasRoom reports whether the header of an entry may be counted. A single one may have any size that the
// limit of its listener allows.
func (p *pool) hasRoom(e *entry) bool {
	return e.needs() == 0 || p.used+e.needs() <= p.Limiter.limit || p.used == e.counted
}

// take counts the header of an entry, and reports whether there was room.
func (p *pool) take(e *entry) bool {
	if !p.hasRoom(e) {
		return false
	}
	more := e.needs()
	p.used += more
	e.counted += more
	return true
}

// charge counts a decoded header with the number of bytes and fields as far as it was not counted while it
// was received. It returns the counted bytes and whether there was room.
func (p *pool) charge(e *entry, n, fields int64) (counted int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.waiting != nil || e.removed || e.http2 {
		return 0, true
	}
	e.received, e.lines = max(e.received, n), max(e.lines, fields)
	ok = p.take(e) || p.unlocked(p.reclaim) && p.await(p.released, func() bool { return p.take(e) })
	return e.counted, ok
}

// setHTTP2 ends the counting of headers, which the server limits for HTTP/2.
func (p *pool) setHTTP2(e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.held != nil {
		p.holders.Remove(e.held)
		e.held = nil
	}
	p.release(e)
	e.http2 = true
	e.counting.Store(false)
}

// begin ends the wait because a request has been read. It reports whether the connection was
// refused in the meantime, which is undone.
func (p *pool) begin(e *entry) (restored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWait(e)
	e.begun++
	if e.reason == "" || e.removed {
		return false
	}
	e.reason = ""
	e.isRefused.Store(false)
	p.closing--
	p.closed.Broadcast()
	return true
}

// end begins the wait for the next request.
func (p *pool) end(e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(e)
	// The server reports a request when a connection of HTTP/2 begins.
	e.used = !e.http2 || e.begun > 1
	p.startWait(e)
}

// remove removes a closed connection. It may be called more than once.
func (p *pool) remove(e *entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.removed {
		return
	}
	e.removed = true
	p.endWait(e)
	p.release(e)
	if p.open--; e.reason != "" {
		p.closing--
	}
	p.closed.Broadcast()
}

package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// waiter is one request in the queue, or one that holds a slot.
type waiter struct {
	request Request
	rank    *rankState
	caller  *callerQueue
	seq     uint64
	// heapIndex is the index in the caller's heap; -1 when not queued.
	heapIndex int
	// grantedAt is when the slot was granted; zero when the request holds none.
	grantedAt time.Time
	// result receives nil or a rejection exactly once; its capacity is 1. The channel
	// is nil if a slot was granted immediately.
	result chan *Rejection
}

// callerQueue is a heap of the waiting requests of one caller in one rank, the
// earliest deadline first.
type callerQueue struct {
	name    string
	waiting []*waiter
	// rotationEntry is the caller's place in the round robin of its rank.
	rotationEntry *list.Element
	// heapIndex is the index in the rank's heap by length.
	heapIndex int
}

func (q *callerQueue) Len() int { return len(q.waiting) }

func (q *callerQueue) Less(i, j int) bool {
	a, b := q.waiting[i], q.waiting[j]
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.seq < b.seq
}

func (q *callerQueue) Swap(i, j int) {
	q.waiting[i], q.waiting[j] = q.waiting[j], q.waiting[i]
	q.waiting[i].heapIndex, q.waiting[j].heapIndex = i, j
}

func (q *callerQueue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(q.waiting)
	q.waiting = append(q.waiting, w)
}

func (q *callerQueue) Pop() any {
	last := len(q.waiting) - 1
	w := q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	w.heapIndex = -1
	return w
}

// byLength is a heap of caller queues, the longest first.
type byLength []*callerQueue

func (h byLength) Len() int { return len(h) }

func (h byLength) Less(i, j int) bool { return len(h[i].waiting) > len(h[j].waiting) }

func (h byLength) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *byLength) Push(x any) {
	q := x.(*callerQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

func (h *byLength) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}

// rankQueue holds the waiting requests of one rank. Callers are served round robin.
type rankQueue struct {
	callers  map[string]*callerQueue
	rotation *list.List
	lengths  byLength
	count    int
}

func newRankQueue() rankQueue {
	return rankQueue{callers: map[string]*callerQueue{}, rotation: list.New()}
}

// callerLen returns the number of waiting requests of a caller.
func (q *rankQueue) callerLen(name string) int {
	if c := q.callers[name]; c != nil {
		return len(c.waiting)
	}
	return 0
}

func (q *rankQueue) push(w *waiter) {
	c := q.callers[w.request.Caller]
	if c == nil {
		c = &callerQueue{name: w.request.Caller}
		c.rotationEntry = q.rotation.PushBack(c)
		q.callers[c.name] = c
		heap.Push(&q.lengths, c)
	}
	w.caller = c
	heap.Push(c, w)
	heap.Fix(&q.lengths, c.heapIndex)
	q.count++
}

// pop removes the next request: the one with the earliest deadline of the caller
// that is next in the round robin.
func (q *rankQueue) pop() *waiter {
	c := q.rotation.Front().Value.(*callerQueue)
	q.rotation.MoveToBack(c.rotationEntry)
	w := c.waiting[0]
	q.remove(w)
	return w
}

// longest returns the queue of the caller with the most waiting requests, or nil.
func (q *rankQueue) longest() *callerQueue {
	if len(q.lengths) == 0 {
		return nil
	}
	return q.lengths[0]
}

// remove removes a waiting request, and its caller if no other request waits.
func (q *rankQueue) remove(w *waiter) {
	c := w.caller
	heap.Remove(c, w.heapIndex)
	q.count--
	if len(c.waiting) > 0 {
		heap.Fix(&q.lengths, c.heapIndex)
		return
	}
	heap.Remove(&q.lengths, c.heapIndex)
	q.rotation.Remove(c.rotationEntry)
	delete(q.callers, c.name)
}

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
	// index in the caller's heap; -1 when not queued.
	index int
	// granted is when the slot was taken.
	granted time.Time
	// result receives nil or a refusal exactly once; its capacity is 1. It is nil
	// when a slot was granted at once.
	result chan *Refusal
}

// callerQueue holds the waiting requests of one caller in one rank, the
// earliest deadline first.
type callerQueue struct {
	name    string
	waiting []*waiter
	// turn is the caller's place in the round robin of its rank.
	turn *list.Element
	// index in the rank's heap by length.
	index int
}

// Len implements heap.Interface.
func (q *callerQueue) Len() int { return len(q.waiting) }

// Less implements heap.Interface.
func (q *callerQueue) Less(i, j int) bool {
	a, b := q.waiting[i], q.waiting[j]
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (q *callerQueue) Swap(i, j int) {
	q.waiting[i], q.waiting[j] = q.waiting[j], q.waiting[i]
	q.waiting[i].index, q.waiting[j].index = i, j
}

// Push implements heap.Interface.
func (q *callerQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(q.waiting)
	q.waiting = append(q.waiting, w)
}

// Pop implements heap.Interface.
func (q *callerQueue) Pop() any {
	last := len(q.waiting) - 1
	w := q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	w.index = -1
	return w
}

// byLength is a heap of callers, the one with the most waiting requests first.
type byLength []*callerQueue

// Len implements heap.Interface.
func (h byLength) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byLength) Less(i, j int) bool { return len(h[i].waiting) > len(h[j].waiting) }

// Swap implements heap.Interface.
func (h byLength) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byLength) Push(x any) {
	q := x.(*callerQueue)
	q.index = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *byLength) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}

// rankQueue holds the waiting requests of one rank. Callers take turns.
type rankQueue struct {
	callers map[string]*callerQueue
	turns   *list.List
	lengths byLength
	count   int
}

func newRankQueue() rankQueue {
	return rankQueue{callers: map[string]*callerQueue{}, turns: list.New()}
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
		c.turn = q.turns.PushBack(c)
		q.callers[c.name] = c
		heap.Push(&q.lengths, c)
	}
	w.caller = c
	heap.Push(c, w)
	heap.Fix(&q.lengths, c.index)
	q.count++
}

// pop removes the next request: the earliest deadline of the caller whose turn it is.
func (q *rankQueue) pop() *waiter {
	c := q.turns.Front().Value.(*callerQueue)
	q.turns.MoveToBack(c.turn)
	w := c.waiting[0]
	q.remove(w)
	return w
}

// longest returns the caller with the most waiting requests, or nil.
func (q *rankQueue) longest() *callerQueue {
	if len(q.lengths) == 0 {
		return nil
	}
	return q.lengths[0]
}

// remove takes a waiting request out of the queue.
func (q *rankQueue) remove(w *waiter) {
	c := w.caller
	heap.Remove(c, w.index)
	q.count--
	if len(c.waiting) > 0 {
		heap.Fix(&q.lengths, c.index)
		return
	}
	heap.Remove(&q.lengths, c.index)
	q.turns.Remove(c.turn)
	delete(q.callers, c.name)
}

package membership

import (
	"container/list"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// queue holds the updates that are still being gossiped, newest first. It is not
// safe for concurrent use.
type queue struct {
	order list.List
	byID  map[string]*list.Element
}

// queued is an update and the number of times it was sent.
type queued struct {
	member *pb.Member
	sent   int
}

func newQueue() *queue { return &queue{byID: map[string]*list.Element{}} }

// push inserts the update at the front and removes an older one of the same node.
func (q *queue) push(m *pb.Member) {
	q.remove(m.NodeId)
	q.byID[m.NodeId] = q.order.PushFront(&queued{member: m})
}

func (q *queue) remove(id string) {
	if e := q.byID[id]; e != nil {
		q.order.Remove(e)
		delete(q.byID, id)
	}
}

// take returns up to limit updates and removes those that it has
// returned transmits times.
func (q *queue) take(limit, transmits int) []*pb.Member {
	var out []*pb.Member
	for e := q.order.Front(); e != nil && len(out) < limit; {
		next := e.Next()
		item := e.Value.(*queued)
		out = append(out, item.member)
		item.sent++
		if item.sent >= transmits {
			q.remove(item.member.NodeId)
		}
		e = next
	}
	return out
}

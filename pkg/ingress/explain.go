package ingress

import (
	"sync"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// journalRequests is the number of recent requests whose decisions are kept.
	journalRequests = 4096
	// journalSteps bounds the decisions kept of one request.
	journalSteps = 12
	// journalDetailBytes bounds the text of one decision.
	journalDetailBytes = 160
)

type step struct {
	at                     time.Time
	name, upstream, detail string
}

type journalEntry struct {
	id    string
	steps []step
}

// journal is a ring of the decisions on recent requests. It is safe for
// concurrent use. Its memory is bounded by the constants above.
type journal struct {
	mu      sync.Mutex
	entries [journalRequests]journalEntry
	index   map[string]int
	next    int
}

func newJournal() *journal { return &journal{index: make(map[string]int, journalRequests)} }

func (j *journal) add(id string, s step) {
	if len(s.detail) > journalDetailBytes {
		s.detail = s.detail[:journalDetailBytes]
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	i, ok := j.index[id]
	if !ok {
		i = j.next
		j.next = (j.next + 1) % journalRequests
		delete(j.index, j.entries[i].id)
		j.entries[i] = journalEntry{id: id, steps: j.entries[i].steps[:0]}
		j.index[id] = i
	}
	e := &j.entries[i]
	if len(e.steps) < journalSteps {
		e.steps = append(e.steps, s)
		return
	}
	// The last decision says how the request ended.
	e.steps[journalSteps-1] = s
}

func (j *journal) get(id string) []step {
	j.mu.Lock()
	defer j.mu.Unlock()
	i, ok := j.index[id]
	if !ok {
		return nil
	}
	return append([]step(nil), j.entries[i].steps...)
}

func (g *Ingress) note(x *exchange, name, upstream, detail string) {
	g.journal.add(x.id, step{at: time.Now(), name: name, upstream: upstream, detail: detail})
}

// Request returns the decisions on a recent request, oldest first, or none if it
// is not among the last 4096.
func (g *Ingress) Request(id string) []*pb.Decision {
	var out []*pb.Decision
	for _, s := range g.journal.get(id) {
		out = append(out, &pb.Decision{
			TimeUnixUs: s.at.UnixMicro(), NodeId: g.cfg.NodeID, Step: s.name, Upstream: s.upstream, Detail: s.detail,
		})
	}
	return out
}

// Upstream returns why the upstream beside a node gets little or no work from
// here, and its last reported load, which may be nil.
func (g *Ingress) Upstream(nodeID string) ([]string, *pb.Load) {
	service := g.picker.Service(nodeID)
	if m, ok := g.member(nodeID); ok {
		if m.UpstreamState != pb.UpstreamState_UPSTREAM_STATE_READY && m.UpstreamState != pb.UpstreamState_UPSTREAM_STATE_WARMING {
			return []string{"not usable: " + m.UpstreamState.String()}, g.picker.Report(nodeID)
		}
		service = m.Service
	} else if g.cfg.Members != nil {
		return []string{"the node is not a live member"}, g.picker.Report(nodeID)
	}
	return g.picker.Explain(service, nodeID, g.directory.Candidates(service))
}

package ingress

import (
	"sync"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// maxLoggedRequests is the number of recent requests whose decisions are retained.
	maxLoggedRequests = 4096
	// maxDecisionsPerRequest bounds the decisions retained for one request.
	maxDecisionsPerRequest = 12
	// maxDetailBytes bounds the text of one decision.
	maxDetailBytes = 160
)

// decision is one step in the handling of a request.
type decision struct {
	at                     time.Time
	step, upstream, detail string
}

type requestDecisions struct {
	id        string
	decisions []decision
}

// decisionLog is a ring buffer of the decisions on recent requests. It is safe for
// concurrent use. The constants above bound its memory.
type decisionLog struct {
	mu      sync.Mutex
	entries [maxLoggedRequests]requestDecisions
	index   map[string]int
	next    int
}

func newDecisionLog() *decisionLog {
	return &decisionLog{index: make(map[string]int, maxLoggedRequests)}
}

func (l *decisionLog) add(id string, d decision) {
	if len(d.detail) > maxDetailBytes {
		d.detail = d.detail[:maxDetailBytes]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[id]
	if !ok {
		i = l.next
		l.next = (l.next + 1) % maxLoggedRequests
		delete(l.index, l.entries[i].id)
		l.entries[i] = requestDecisions{id: id, decisions: l.entries[i].decisions[:0]}
		l.index[id] = i
	}
	e := &l.entries[i]
	if len(e.decisions) < maxDecisionsPerRequest {
		e.decisions = append(e.decisions, d)
		return
	}
	// Replace the last decision, so that the log shows how the request ended.
	e.decisions[maxDecisionsPerRequest-1] = d
}

func (l *decisionLog) get(id string) []decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[id]
	if !ok {
		return nil
	}
	return append([]decision(nil), l.entries[i].decisions...)
}

func (g *Ingress) record(x *exchange, step, upstream, detail string) {
	g.decisions.add(x.id, decision{at: time.Now(), step: step, upstream: upstream, detail: detail})
}

// Request returns the decisions on a recent request, oldest first. It returns none if
// the request is not among the last 4096.
func (g *Ingress) Request(id string) []*pb.Decision {
	var out []*pb.Decision
	for _, d := range g.decisions.get(id) {
		out = append(out, &pb.Decision{
			TimeUnixUs: d.at.UnixMicro(), NodeId: g.cfg.NodeID, Step: d.step, Upstream: d.upstream, Detail: d.detail,
		})
	}
	return out
}

// Upstream returns the reasons for and against selecting the upstream beside the given
// node, and the last load that the upstream reported, which may be nil.
func (g *Ingress) Upstream(nodeID string) ([]string, *pb.Load) {
	service := g.picker.Service(nodeID)
	if m, ok := g.member(nodeID); ok {
		if m.UpstreamState != pb.UpstreamState_UPSTREAM_STATE_READY && m.UpstreamState != pb.UpstreamState_UPSTREAM_STATE_WARMING {
			return []string{"not usable: " + m.UpstreamState.String()}, g.picker.LastReport(nodeID)
		}
		service = m.Service
	} else if g.cfg.Members != nil {
		return []string{"the node is not a live member"}, g.picker.LastReport(nodeID)
	}
	return g.picker.Explain(service, nodeID, g.directory.Candidates(service))
}

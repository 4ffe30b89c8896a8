package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/idempotency"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/quarantine"
	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// newSidecar returns the sidecar of this node. n.replica must be set before.
func (n *Node) newSidecar() *sidecar.Sidecar {
	return sidecar.New(sidecar.Config{
		Incarnation: n.incarnation, LeaseTTL: leaseTTL, Registry: n.registry,
		Intent:        n.Intent,
		ConfigVersion: func() uint64 { return n.replica.Current().Version },
		Execute:       n.withQuarantine,
	}, n.events)
}

// withQuarantine wraps the execution of requests at the upstream with the quarantine
// guard. The sidecar's failure response is written inside the guard, because the guard
// delays it until the peers have been notified of a crash.
func (n *Node) withQuarantine(next http.Handler) http.Handler {
	n.guard = quarantine.NewGuard(quarantine.Config{
		Service:    func() string { return n.sidecar.Service() },
		Designated: n.designated,
		Crashed:    sidecar.Crashed,
		Pinned: func(r *http.Request) bool {
			_, _, ok := idempotency.Parse(r.Header.Get(outcome.HeaderIdempotencyKey))
			return ok
		},
	}, n.quarantine, n, n.events)
	return n.guard.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if p := sidecar.Failure(r.Context()); p != nil {
			p.RequestID = r.Header.Get(outcome.HeaderRequestID)
			p.Write(w)
		}
	}))
}

// designated returns the node that may run a request suspected of crashing upstreams.
// It is chosen among the nodes with a usable upstream of the local service.
func (n *Node) designated(fingerprint uint64) (nodeID string, self bool) {
	var ids []string
	for _, c := range n.Candidates(n.sidecar.Service()) {
		ids = append(ids, c.NodeID)
	}
	id := quarantine.Designate(fingerprint, ids)
	return id, id == n.settings.NodeID
}

// Report sends the entries to the other sidecars of the service. It implements
// quarantine.Broadcaster.
func (n *Node) Report(ctx context.Context, service string, entries []*pb.QuarantineEntry) error {
	var wg sync.WaitGroup
	for _, m := range n.sidecarsOf(service) {
		wg.Go(func() { n.reportTo(ctx, m, service, entries) })
	}
	wg.Wait()
	return ctx.Err()
}

func (n *Node) reportTo(ctx context.Context, m *pb.Member, service string, entries []*pb.QuarantineEntry) {
	_, _ = n.peers.ReportQuarantine(ctx, m.PeerAddress, &pb.ReportQuarantineRequest{
		Service: service, ReporterNodeId: n.settings.NodeID, Entries: entries,
	})
}

// sidecarsOf returns the other nodes beside upstreams of a service that are neither dead
// nor have left, whether or not their upstream is ready.
func (n *Node) sidecarsOf(service string) []*pb.Member {
	var out []*pb.Member
	for _, m := range n.agent.Members() {
		if m.Service == service && m.NodeId != n.settings.NodeID && m.Status <= pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			out = append(out, m)
		}
	}
	return out
}

// quarantineGossipInterval is the time between two sends of the table by each sidecar.
// On average, a sidecar that missed a report receives it within this time.
const quarantineGossipInterval = 500 * time.Millisecond

// gossipQuarantine sends the table to a random sidecar of the service at intervals. This
// reaches sidecars that missed a report or started after it.
func (n *Node) gossipQuarantine(ctx context.Context) {
	ticker := time.NewTicker(quarantineGossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		entries := n.quarantine.Entries()
		service := n.sidecar.Service()
		peers := n.sidecarsOf(service)
		if len(entries) == 0 || len(peers) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, quarantine.ReportTimeout)
		n.reportTo(callCtx, peers[rand.IntN(len(peers))], service, entries)
		cancel()
	}
}

// handleQuarantine applies a peer's report. The response acknowledges it.
func (n *Node) handleQuarantine(_ context.Context, r *pb.ReportQuarantineRequest) (*pb.ReportQuarantineResponse, error) {
	if r.Service == n.sidecar.Service() {
		n.quarantine.Apply(r.Entries)
	}
	return &pb.ReportQuarantineResponse{}, nil
}

// handleIssueToken issues an idempotency token bound to this incarnation of the node.
func (n *Node) handleIssueToken(_ context.Context, r *pb.IssueTokenRequest) (*pb.IssueTokenResponse, error) {
	if r.Service == "" || r.Service != n.sidecar.Service() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errServiceMismatch)
	}
	token, ttl, err := n.tokens.Issue(r.Service)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return &pb.IssueTokenResponse{Token: token, TtlMs: uint32(ttl.Milliseconds())}, nil
}

// handleProbe returns the load of the local upstream.
func (n *Node) handleProbe(_ context.Context, r *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	if r.TargetIncarnation != n.incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errIncarnationMismatch)
	}
	return n.sidecar.Probe(), nil
}

// Package operator serves the operator's command on a node's admin listener.
package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

// Fleet is what the service asks of the node it runs in.
type Fleet interface {
	Members() []*pb.Member
	Status() *pb.NodeStatusResponse
}

// Service implements the operator's interface. It is safe for concurrent use.
type Service struct {
	pbconnect.UnimplementedOperatorServiceHandler
	keeper *configlog.Keeper
	fleet  Fleet
}

// New returns the service of one node.
func New(k *configlog.Keeper, f Fleet) *Service {
	return &Service{keeper: k, fleet: f}
}

// Mount registers the service on the mux.
func (s *Service) Mount(mux *http.ServeMux) {
	mux.Handle(pbconnect.NewOperatorServiceHandler(s))
}

// Propose makes a plan from an intent and puts both on the log.
func (s *Service) Propose(ctx context.Context, req *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	in, err := intent.Parse([]byte(req.Msg.IntentYaml))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.keeper.Poll(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	cur := s.keeper.Current()
	planJSON, err := plan.Make(cur.Version, cur.Intent, in).Encode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	digest := plan.Digest(cur.Version, req.Msg.IntentYaml, planJSON)
	id := uuid.NewString()
	err = s.keeper.Append(ctx, &pb.Record{Id: id, Body: &pb.Record_Proposal{Proposal: &pb.Proposal{
		BaseVersion: cur.Version, IntentYaml: req.Msg.IntentYaml, PlanDigest: digest,
		Operator: req.Msg.Operator, TimeUnixMs: time.Now().UnixMilli(), PlanJson: planJSON,
	}}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&pb.ProposeResponse{
		ProposalId: id, PlanDigest: digest, BaseVersion: cur.Version, PlanJson: planJSON,
	}), nil
}

// Confirm appends a confirmation and reports how the log's order decided it.
func (s *Service) Confirm(ctx context.Context, req *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	id := uuid.NewString()
	err := s.keeper.Append(ctx, &pb.Record{Id: id, Body: &pb.Record_Confirmation{Confirmation: &pb.Confirmation{
		ProposalId: req.Msg.ProposalId, PlanDigest: req.Msg.PlanDigest,
		Operator: req.Msg.Operator, TimeUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	for _, e := range s.keeper.Current().State.Audit {
		if e.RecordId == id {
			return connect.NewResponse(&pb.ConfirmResponse{
				Accepted: e.Outcome == "accepted", Version: e.Version, Reason: e.Detail,
			}), nil
		}
	}
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("the confirmation was appended but is not yet readable"))
}

// ListVersions returns the history of accepted versions.
func (s *Service) ListVersions(context.Context, *connect.Request[pb.ListVersionsRequest]) (*connect.Response[pb.ListVersionsResponse], error) {
	return connect.NewResponse(&pb.ListVersionsResponse{Versions: s.keeper.Current().State.History}), nil
}

// Audit returns the latest entries of the audit trail.
func (s *Service) Audit(_ context.Context, req *connect.Request[pb.AuditRequest]) (*connect.Response[pb.AuditResponse], error) {
	entries := s.keeper.Current().State.Audit
	if n := int(req.Msg.Limit); n > 0 && len(entries) > n {
		entries = entries[len(entries)-n:]
	}
	return connect.NewResponse(&pb.AuditResponse{Entries: entries}), nil
}

// NodeStatus returns the state of this node.
func (s *Service) NodeStatus(context.Context, *connect.Request[pb.NodeStatusRequest]) (*connect.Response[pb.NodeStatusResponse], error) {
	return connect.NewResponse(s.fleet.Status()), nil
}

// FleetStatus returns the members that this node knows.
func (s *Service) FleetStatus(context.Context, *connect.Request[pb.FleetStatusRequest]) (*connect.Response[pb.FleetStatusResponse], error) {
	return connect.NewResponse(&pb.FleetStatusResponse{
		Members: s.fleet.Members(), ConfigVersion: s.keeper.Current().Version,
	}), nil
}

// Package operator implements the operator API on a node's admin listener, which
// mtctl uses.
package operator

import (
	"context"
	"errors"
	"fmt"
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

// Fleet provides the state of this node and its list of members.
type Fleet interface {
	Members() []*pb.Member
	Status() *pb.NodeStatusResponse
}

// Service implements the operator API. It is safe for concurrent use.
type Service struct {
	replica      *configlog.Replica
	fleet        Fleet
	explainer    Explainer
	capacity     func(context.Context) plan.Fleet
	deliverDrain DrainDelivery
}

var _ pbconnect.OperatorServiceHandler = (*Service)(nil)

// Option configures a Service.
type Option func(*Service)

// WithExplainer sets the source of the decisions that explanations report.
func WithExplainer(e Explainer) Option {
	return func(s *Service) { s.explainer = e }
}

// WithCapacity sets the function that measures the fleet's capacity and demand for
// each proposal. Without it, plans list changes but no gains or losses.
func WithCapacity(f func(context.Context) plan.Fleet) Option {
	return func(s *Service) { s.capacity = f }
}

// DrainDelivery makes a node read the log up to the offset, so that the node applies its
// drain order. It returns within 3 s and is safe for concurrent use.
type DrainDelivery func(ctx context.Context, nodeID string, nextOffset uint64) error

// WithDrainDelivery sets how a node is made to apply a drain order immediately. Without
// it, the node applies the order when it next reads the log.
func WithDrainDelivery(d DrainDelivery) Option {
	return func(s *Service) { s.deliverDrain = d }
}

var errNoDelivery = errors.New("the node applies it when it next reads the log")

// New returns the Service of one node.
func New(r *configlog.Replica, f Fleet, options ...Option) *Service {
	s := &Service{replica: r, fleet: f, capacity: func(context.Context) plan.Fleet { return plan.Fleet{} }}
	s.deliverDrain = func(context.Context, string, uint64) error { return errNoDelivery }
	for _, o := range options {
		o(s)
	}
	return s
}

const (
	// callTimeout limits each phase of one operator request on the log: the read,
	// then the append.
	callTimeout = 4 * time.Second
	// maxRequestBytes limits the size of a request; the largest one holds an intent.
	maxRequestBytes = intent.MaxBytes + 4<<10
	// maxAuditLimit limits the audit entries per response.
	maxAuditLimit = 1024
)

// Mount registers the service on the mux.
func (s *Service) Mount(mux *http.ServeMux) {
	mux.Handle(pbconnect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes)))
}

// Propose makes a plan from an intent and appends both to the log.
func (s *Service) Propose(ctx context.Context, req *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	if err := checkNames(nameField{"operator", req.Msg.Operator}); err != nil {
		return nil, err
	}
	in, err := intent.Parse([]byte(req.Msg.IntentYaml))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.poll(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("the proposal was not appended: %w", err))
	}
	proposal, err := s.proposal(ctx, req.Msg, in)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	id := uuid.NewString()
	if err := s.append(ctx, &pb.Record{Id: id, Body: &pb.Record_Proposal{Proposal: proposal}}); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ProposeResponse{
		ProposalId: id, PlanDigest: proposal.PlanDigest, BaseVersion: proposal.BaseVersion, PlanJson: proposal.PlanJson,
	}), nil
}

// poll reads the log up to its end within callTimeout.
func (s *Service) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.replica.Poll(ctx)
}

// proposal makes the plan of an intent against the latest version.
func (s *Service) proposal(ctx context.Context, req *pb.ProposeRequest, in *intent.Intent) (*pb.Proposal, error) {
	fleet := s.capacity(ctx)
	// Read the version after the measurement, which takes up to 2 s. An earlier base
	// version could already be replaced.
	cur := s.replica.Current()
	// State.Version is ahead of the active version if this node cannot parse the latest
	// intent.
	base := cur.State.Version
	planJSON, err := plan.Make(base, cur.Intent, in, fleet).Encode()
	if err != nil {
		return nil, err
	}
	return &pb.Proposal{
		BaseVersion: base, IntentYaml: req.IntentYaml, PlanDigest: plan.Digest(base, req.IntentYaml, planJSON),
		Operator: req.Operator, TimeUnixMs: time.Now().UnixMilli(), PlanJson: planJSON,
	}, nil
}

// append appends a record within callTimeout. Its error states whether the record
// may be on the log.
func (s *Service) append(ctx context.Context, rec *pb.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.replica.Append(ctx, rec)
	var invalid *configlog.RecordError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

// GetPlan returns a proposal that can still be confirmed.
func (s *Service) GetPlan(_ context.Context, req *connect.Request[pb.GetPlanRequest]) (*connect.Response[pb.GetPlanResponse], error) {
	state := s.replica.Current().State
	for _, p := range state.Pending {
		if p.Id == req.Msg.ProposalId {
			return connect.NewResponse(&pb.GetPlanResponse{Proposal: p.Proposal, CurrentVersion: state.Version}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no pending proposal %q; the current version is %d", req.Msg.ProposalId, state.Version))
}

// Confirm appends a confirmation and reports whether it was accepted. Of competing
// confirmations, the first on the log is accepted.
func (s *Service) Confirm(ctx context.Context, req *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	if err := checkNames(nameField{"operator", req.Msg.Operator}, nameField{"proposal_id", req.Msg.ProposalId}, nameField{"plan_digest", req.Msg.PlanDigest}); err != nil {
		return nil, err
	}
	id := uuid.NewString()
	err := s.append(ctx, &pb.Record{Id: id, Body: &pb.Record_Confirmation{Confirmation: &pb.Confirmation{
		ProposalId: req.Msg.ProposalId, PlanDigest: req.Msg.PlanDigest,
		Operator: req.Msg.Operator, TimeUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, err
	}
	for _, e := range s.replica.Current().State.Audit {
		if e.RecordId == id {
			return connect.NewResponse(&pb.ConfirmResponse{
				Accepted: e.Outcome == configlog.OutcomeAccepted, Version: e.Version, Reason: e.Detail,
			}), nil
		}
	}
	return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("record %s was appended, but its audit entry is gone; see the audit trail", id))
}

// SetDrain appends a drain order and delivers it to its node. The response states
// whether the node has applied it. A failed delivery is not an error, because the
// node applies the order when it next reads the log.
func (s *Service) SetDrain(ctx context.Context, req *connect.Request[pb.SetDrainRequest]) (*connect.Response[pb.SetDrainResponse], error) {
	if err := checkNames(nameField{"operator", req.Msg.Operator}, nameField{"node_id", req.Msg.NodeId}); err != nil {
		return nil, err
	}
	err := s.append(ctx, &pb.Record{Id: uuid.NewString(), Body: &pb.Record_DrainOrder{DrainOrder: &pb.DrainOrder{
		NodeId: req.Msg.NodeId, Drain: req.Msg.Drain, Operator: req.Msg.Operator, TimeUnixMs: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, err
	}
	if err := s.deliverDrain(ctx, req.Msg.NodeId, s.replica.Current().State.NextOffset); err != nil {
		return connect.NewResponse(&pb.SetDrainResponse{Detail: err.Error()}), nil
	}
	return connect.NewResponse(&pb.SetDrainResponse{Applied: true}), nil
}

// ListVersions returns the history of accepted versions.
func (s *Service) ListVersions(context.Context, *connect.Request[pb.ListVersionsRequest]) (*connect.Response[pb.ListVersionsResponse], error) {
	return connect.NewResponse(&pb.ListVersionsResponse{Versions: s.replica.Current().State.History}), nil
}

// Audit returns the most recent entries of the audit trail.
func (s *Service) Audit(_ context.Context, req *connect.Request[pb.AuditRequest]) (*connect.Response[pb.AuditResponse], error) {
	entries := s.replica.Current().State.Audit
	if n := int(min(req.Msg.Limit, maxAuditLimit)); n > 0 && len(entries) > n {
		entries = entries[len(entries)-n:]
	}
	return connect.NewResponse(&pb.AuditResponse{Entries: entries}), nil
}

// NodeStatus returns the state of this node.
func (s *Service) NodeStatus(context.Context, *connect.Request[pb.NodeStatusRequest]) (*connect.Response[pb.NodeStatusResponse], error) {
	return connect.NewResponse(s.fleet.Status()), nil
}

// FleetStatus returns the members in this node's member list.
func (s *Service) FleetStatus(context.Context, *connect.Request[pb.FleetStatusRequest]) (*connect.Response[pb.FleetStatusResponse], error) {
	return connect.NewResponse(&pb.FleetStatusResponse{
		Members: s.fleet.Members(), ConfigVersion: s.replica.Current().Version,
	}), nil
}

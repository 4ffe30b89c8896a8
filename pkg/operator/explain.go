package operator

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// Explainer reports the decisions of a node and their reasons. Implementations are
// safe for concurrent use.
type Explainer interface {
	// Request returns the recent decisions about a request, or nil.
	Request(id string) []*pb.Decision
	// Upstream returns the reasons for or against using a node's upstream, and its last
	// known load.
	Upstream(nodeID string) ([]string, *pb.Load)
}

// maxRequestIDBytes limits the length of a request id.
const maxRequestIDBytes = 128

var errNoExplainer = connect.NewError(connect.CodeUnimplemented, errors.New("this node records no decisions"))

// ExplainRequest returns the recent decisions of this node about a request.
func (s *Service) ExplainRequest(_ context.Context, req *connect.Request[pb.ExplainRequestRequest]) (*connect.Response[pb.ExplainRequestResponse], error) {
	if err := checkLength("request_id", req.Msg.RequestId, maxRequestIDBytes); err != nil {
		return nil, err
	}
	if s.explainer == nil {
		return nil, errNoExplainer
	}
	d := s.explainer.Request(req.Msg.RequestId)
	return connect.NewResponse(&pb.ExplainRequestResponse{Found: len(d) > 0, Decisions: d}), nil
}

// ExplainUpstream returns this node's reasons for or against using the upstream of
// the given node.
func (s *Service) ExplainUpstream(_ context.Context, req *connect.Request[pb.ExplainUpstreamRequest]) (*connect.Response[pb.ExplainUpstreamResponse], error) {
	if err := checkNames(nameField{"node_id", req.Msg.NodeId}); err != nil {
		return nil, err
	}
	if s.explainer == nil {
		return nil, errNoExplainer
	}
	reasons, load := s.explainer.Upstream(req.Msg.NodeId)
	return connect.NewResponse(&pb.ExplainUpstreamResponse{Reasons: reasons, Load: load}), nil
}

// nameField is a field of an operator's request that holds a name.
type nameField struct{ field, value string }

// checkNames rejects names that are empty or too long for a record.
func checkNames(names ...nameField) error {
	for _, n := range names {
		if err := checkLength(n.field, n.value, configlog.MaxNameBytes); err != nil {
			return err
		}
	}
	return nil
}

func checkLength(field, value string, limit int) error {
	if value == "" || len(value) > limit {
		return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%s has %d bytes, allowed are 1 to %d", field, len(value), limit))
	}
	return nil
}

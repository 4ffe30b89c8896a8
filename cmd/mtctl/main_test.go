package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
)

// fakeNode responds as a node of a fleet with one alive and one dead member.
type fakeNode struct {
	pbconnect.UnimplementedOperatorServiceHandler
	address string
}

func (n *fakeNode) Confirm(context.Context, *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	return connect.NewResponse(&pb.ConfirmResponse{Reason: "version 1 was replaced by version 2, confirmed by bela"}), nil
}

func (n *fakeNode) FleetStatus(context.Context, *connect.Request[pb.FleetStatusRequest]) (*connect.Response[pb.FleetStatusResponse], error) {
	alive := pb.MemberStatus_MEMBER_STATUS_ALIVE
	return connect.NewResponse(&pb.FleetStatusResponse{Members: []*pb.Member{
		{NodeId: "n1", Status: alive, AdminAddress: n.address, ConfigVersion: 3},
		{NodeId: "n2", Status: pb.MemberStatus_MEMBER_STATUS_DEAD, AdminAddress: "127.0.11.9:1"},
	}}), nil
}

func (n *fakeNode) NodeStatus(context.Context, *connect.Request[pb.NodeStatusRequest]) (*connect.Response[pb.NodeStatusResponse], error) {
	return connect.NewResponse(&pb.NodeStatusResponse{ConfigVersion: 3, LogError: "down"}), nil
}

// Guards against exit codes that let scripts take a rejection or an invalid command line
// for success.
func TestExitCodes(t *testing.T) {
	fake := &fakeNode{}
	mux := http.NewServeMux()
	mux.Handle(pbconnect.NewOperatorServiceHandler(fake))
	srv := httptest.NewServer(mux)
	defer srv.Close()
	fake.address = strings.TrimPrefix(srv.URL, "http://")
	for _, tc := range []struct {
		desc, args string
		code       int
		want       string
	}{
		{"in effect at all alive members", "watch 3", 0, "all 1 alive"},
		{"newest version in effect", "watch", 0, "version 3 is in effect"},
		{"too many arguments", "watch 3 4", exitUsage, "takes 1 arguments"},
		{"members as JSON", "-o json fleet", 0, `"node_id": "n1"`},
		{"not in effect", "watch --timeout 0s 4", exitFailure, "has version 3; log unreachable: down"},
		{"refused confirmation", "confirm p d", exitRefused, "confirmed by bela"},
		{"missing argument", "confirm p", exitUsage, "takes 2 arguments"},
		{"unknown command", "frobnicate", exitUsage, "unknown command"},
		{"unknown flag", "fleet --frobnicate", exitUsage, "frobnicate"},
		{"unknown output", "-o xml fleet", exitUsage, "not table or json"},
		{"version is no number", "watch x", exitUsage, "not a number"},
		{"call not served", "versions", exitFailure, "unimplemented"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var out bytes.Buffer
			c := command()
			c.Writer, c.ErrWriter = &out, &out
			err := c.Run(t.Context(), append([]string{"mtctl", "--node", fake.address}, strings.Fields(tc.args)...))
			code, text := 0, out.String()
			if err != nil {
				code, text = exitCode(err), text+err.Error()
			}
			if code != tc.code || !strings.Contains(text, tc.want) {
				t.Errorf("exit code %d, want %d, output %s", code, tc.code, text)
			}
		})
	}
}

package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sebdah/goldie/v2"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
)

const (
	proposalID      = "6f1c2a9e-0d7b-4c55-9f0e-2f6d1b1c9a77"
	timestampUnixMs = 1_800_000_000_000
	planJSON        = `{"base_version":7,"changes":["rank report: reserve 20%, was 5%"],"unknown_capacity":["kasse"],
"not_included":["katalog-3 (katalog): no answer in time"],"scenarios":[
{"demand_factor":1,"worth_now":46150,"worth_proposed":46150,"gains":[],"losses":[],"unchanged":[
 {"rank":"browse","demand":400,"now":400,"proposed":400,"now_percent":100,"proposed_percent":100}]},
{"demand_factor":2,"worth_now":87650,"worth_proposed":86300.5,"gains":[
 {"rank":"report","demand":300,"now":150,"proposed":300,"now_percent":50,"proposed_percent":100}],"losses":[
 {"rank":"browse","demand":800,"now":350,"proposed":200,"now_percent":43.8,"proposed_percent":25}],"unchanged":[]},
{"demand_factor":10,"worth_now":0,"worth_proposed":0,"gains":[],"losses":[],"unchanged":[]}]}`
)

// fleetNode responds to the calls below with constant values.
type fleetNode struct{ fakeNode }

func (n *fleetNode) Propose(_ context.Context, r *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	if strings.TrimSpace(r.Msg.IntentYaml) == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("line 1: no services"))
	}
	return connect.NewResponse(&pb.ProposeResponse{ProposalId: proposalID, PlanDigest: "d1", BaseVersion: 7, PlanJson: planJSON}), nil
}

func (n *fleetNode) GetPlan(_ context.Context, r *connect.Request[pb.GetPlanRequest]) (*connect.Response[pb.GetPlanResponse], error) {
	if r.Msg.ProposalId != proposalID {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no pending proposal"))
	}
	return connect.NewResponse(&pb.GetPlanResponse{CurrentVersion: 7, Proposal: &pb.Proposal{
		BaseVersion: 7, PlanDigest: "d1", Operator: "anna", TimeUnixMs: timestampUnixMs, PlanJson: planJSON,
	}}), nil
}

func (n *fleetNode) Confirm(_ context.Context, r *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	if r.Msg.PlanDigest != "d1" {
		return connect.NewResponse(&pb.ConfirmResponse{Reason: "the digest is not that of the proposal's plan"}), nil
	}
	return connect.NewResponse(&pb.ConfirmResponse{Accepted: true, Version: 8}), nil
}

func (n *fleetNode) ListVersions(context.Context, *connect.Request[pb.ListVersionsRequest]) (*connect.Response[pb.ListVersionsResponse], error) {
	return connect.NewResponse(&pb.ListVersionsResponse{Versions: []*pb.Version{
		{Version: 7, Operator: "anna", ProposalId: proposalID, TimeUnixMs: timestampUnixMs},
	}}), nil
}

func (n *fleetNode) Audit(context.Context, *connect.Request[pb.AuditRequest]) (*connect.Response[pb.AuditResponse], error) {
	return connect.NewResponse(&pb.AuditResponse{Entries: []*pb.AuditEntry{
		{Offset: 41, Action: "confirm", Operator: "bela", TimeUnixMs: timestampUnixMs, Outcome: "refused", Version: 7, Detail: "version 6 was replaced by version 7, confirmed by anna"},
	}}), nil
}

func (n *fleetNode) SetDrain(_ context.Context, r *connect.Request[pb.SetDrainRequest]) (*connect.Response[pb.SetDrainResponse], error) {
	if r.Msg.NodeId != "n1" {
		return connect.NewResponse(&pb.SetDrainResponse{Detail: "no such member is alive"}), nil
	}
	return connect.NewResponse(&pb.SetDrainResponse{Applied: true}), nil
}

func (n *fleetNode) ExplainRequest(context.Context, *connect.Request[pb.ExplainRequestRequest]) (*connect.Response[pb.ExplainRequestResponse], error) {
	return connect.NewResponse(&pb.ExplainRequestResponse{Found: true, Decisions: []*pb.Decision{
		{TimeUnixUs: timestampUnixMs * 1000, NodeId: "n1", Step: "route", Upstream: "n2", Detail: "least cost"},
	}}), nil
}

func (n *fleetNode) ExplainUpstream(context.Context, *connect.Request[pb.ExplainUpstreamRequest]) (*connect.Response[pb.ExplainUpstreamResponse], error) {
	return connect.NewResponse(&pb.ExplainUpstreamResponse{
		Reasons: []string{"in another failure domain"}, Load: &pb.Load{State: pb.UpstreamState_UPSTREAM_STATE_READY},
	}), nil
}

// startFleetNode starts a fleetNode and returns its address.
func startFleetNode(t *testing.T) string {
	t.Helper()
	n := &fleetNode{}
	mux := http.NewServeMux()
	mux.Handle(pbconnect.NewOperatorServiceHandler(n))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	n.address = strings.TrimPrefix(srv.URL, "http://")
	return n.address
}

// mtctl runs a command line and returns its output and exit code.
func mtctl(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.Writer, c.ErrWriter = &out, &out
	err := c.Run(t.Context(), append([]string{"mtctl"}, args...))
	if err == nil {
		return out.String(), 0
	}
	return out.String() + "mtctl: " + err.Error() + "\n", exitCode(err)
}

// Guards against unintended changes of the output, on which people and scripts rely, and
// against exit codes that hide a rejection or a command that was not applied.
func TestOutput(t *testing.T) {
	address := startFleetNode(t)
	intentFile := filepath.Join(t.TempDir(), "intent.yaml")
	emptyFile := filepath.Join(t.TempDir(), "empty.yaml")
	for file, content := range map[string]string{intentFile: "services: []\n", emptyFile: ""} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range []struct {
		desc, golden string
		args         []string
		code         int
	}{
		{"proposal with its plan", "propose", []string{"propose", intentFile}, 0},
		{"refused intent", "propose-refused", []string{"propose", emptyFile}, 3},
		{"pending plan", "plan", []string{"plan", proposalID}, 0},
		{"plan as JSON", "plan-json", []string{"-o", "json", "plan", proposalID}, 0},
		{"no such plan", "plan-unknown", []string{"plan", "p"}, 1},
		{"confirmation", "confirm", []string{"confirm", proposalID, "d1"}, 0},
		{"refused confirmation", "confirm-refused", []string{"confirm", proposalID, "d2"}, 3},
		{"versions", "versions", []string{"versions"}, 0},
		{"audit trail", "audit", []string{"audit"}, 0},
		{"fleet", "fleet", []string{"fleet"}, 0},
		{"node", "node", []string{"node"}, 0},
		{"drain", "drain", []string{"drain", "n1"}, 0},
		{"drain not applied", "drain-not-applied", []string{"drain", "n2"}, 1},
		{"drain of an unknown node", "drain-unknown", []string{"drain", "n9"}, 1},
		{"end of a drain", "undrain", []string{"undrain", "n1"}, 0},
		{"decisions", "explain-request", []string{"explain", "request", "r1"}, 0},
		{"upstream", "explain-upstream", []string{"explain", "upstream", "n2"}, 0},
		{"request in logs", "explain-log", []string{"explain", "log", "afa3c1b4", "testdata/nodes.log"}, 0},
		{"request in logs as JSON", "explain-log-json", []string{"-o", "json", "explain", "log", "afa3c1b4", "testdata/nodes.log"}, 0},
		{"request not in logs", "explain-log-unknown", []string{"explain", "log", "afa3", "testdata/nodes.log"}, 1},
		{"logs missing", "explain-log-missing", []string{"explain", "log", "afa3", "testdata/none.log"}, 1},
		{"report", "report", []string{"report", "testdata/nodes.log"}, 0},
		{"report without a file", "report-usage", []string{"report"}, 2},
		{"report with a bad window", "report-window", []string{"report", "--window", "1ms", "testdata/nodes.log"}, 2},
		{"version in effect", "watch", []string{"watch", "3"}, 0},
		{"version not in effect", "watch-missing", []string{"watch", "--timeout", "0s", "4"}, 1},
		{"argument missing", "usage", []string{"confirm", "p"}, 2},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			out, code := mtctl(t, append([]string{"--node", address, "--operator", "anna"}, tc.args...)...)
			if code != tc.code {
				t.Errorf("exit code %d, want %d", code, tc.code)
			}
			out = strings.ReplaceAll(out, address, "ADDRESS")
			goldie.New(t).Assert(t, tc.golden, []byte(out))
		})
	}
}

func TestReportWritesChart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.svg")
	if out, code := mtctl(t, "report", "--chart", file, "testdata/nodes.log"); code != 0 {
		t.Fatal(out)
	}
	svg, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(svg), ">failed<") {
		t.Errorf("chart of %d bytes without the label \"failed\", or read error: %v", len(svg), err)
	}
}

// Guards against subcommands without an example in their help.
func TestHelp(t *testing.T) {
	var all strings.Builder
	var visit func(c *cli.Command, path ...string)
	visit = func(c *cli.Command, path ...string) {
		out, _ := mtctl(t, append(path, "--help")...)
		if !strings.Contains(out, "Example") {
			t.Errorf("the help of %v has no example", path)
		}
		all.WriteString(out + "\n")
		for _, sub := range c.Commands {
			visit(sub, append(path, sub.Name)...)
		}
	}
	visit(command())
	goldie.New(t).Assert(t, "help", []byte(all.String()))
}

// Guards against a wait message without the nodes and reasons, and against one that floods
// the terminal in a large fleet.
func TestWaitMessage(t *testing.T) {
	r := watchResult{Alive: 9}
	for _, node := range strings.Fields("n1 n2 n3 n4 n5 n6 n7") {
		r.Missing = append(r.Missing, laggingNode{node, "has version 2"})
	}
	want := "waiting for 7 of 9: n1 (has version 2), n2 (has version 2), n3 (has version 2), n4 (has version 2), n5 (has version 2), 2 more"
	if got := waitMessage(r); got != want {
		t.Errorf("got %q", got)
	}
}

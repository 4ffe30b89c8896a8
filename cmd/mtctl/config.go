package main

import (
	"context"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

func propose(ctx context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return err
	}
	resp, err := client(c).Propose(ctx, connect.NewRequest(&pb.ProposeRequest{IntentYaml: string(data), Operator: c.String("operator")}))
	if connect.CodeOf(err) == connect.CodeInvalidArgument && err != nil {
		return &refusedError{err.Error()}
	}
	if err != nil {
		return err
	}
	m := resp.Msg
	return showWithPlan(c, m, [][]string{
		{"proposal", m.ProposalId}, {"base version", fmt.Sprint(m.BaseVersion)}, {"digest", m.PlanDigest},
		{"to confirm", fmt.Sprintf("mtctl confirm %s %s", m.ProposalId, m.PlanDigest)},
	}, m.PlanJson)
}

func showPlan(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).GetPlan(ctx, connect.NewRequest(&pb.GetPlanRequest{ProposalId: c.Args().First()}))
	if err != nil {
		return err
	}
	p := resp.Msg.Proposal
	return showWithPlan(c, resp.Msg, [][]string{
		{"operator", p.Operator}, {"time", formatTime(p.TimeUnixMs)},
		{"base version", fmt.Sprint(p.BaseVersion)}, {"current version", fmt.Sprint(resp.Msg.CurrentVersion)},
		{"digest", p.PlanDigest},
	}, p.PlanJson)
}

func confirm(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{
		ProposalId: c.Args().Get(0), PlanDigest: c.Args().Get(1), Operator: c.String("operator"),
	}))
	if err != nil {
		return err
	}
	if !resp.Msg.Accepted {
		return &refusedError{resp.Msg.Reason}
	}
	return show(c, resp.Msg, [][]string{{"accepted as version", fmt.Sprint(resp.Msg.Version)}})
}

func versions(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).ListVersions(ctx, connect.NewRequest(&pb.ListVersionsRequest{}))
	if err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "TIME", "OPERATOR", "PROPOSAL"}}
	for _, v := range resp.Msg.Versions {
		rows = append(rows, []string{fmt.Sprint(v.Version), formatTime(v.TimeUnixMs), v.Operator, v.ProposalId})
	}
	return show(c, resp.Msg, rows)
}

func audit(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).Audit(ctx, connect.NewRequest(&pb.AuditRequest{Limit: c.Uint32("limit")}))
	if err != nil {
		return err
	}
	rows := [][]string{{"OFFSET", "TIME", "OPERATOR", "ACTION", "OUTCOME", "VERSION", "DETAIL"}}
	for _, e := range resp.Msg.Entries {
		rows = append(rows, []string{
			fmt.Sprint(e.Offset), formatTime(e.TimeUnixMs), e.Operator, e.Action, e.Outcome, fmt.Sprint(e.Version), e.Detail,
		})
	}
	return show(c, resp.Msg, rows)
}

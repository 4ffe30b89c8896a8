package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// fleetStatus returns the status of the fleet as the node sees it.
func fleetStatus(ctx context.Context, c *cli.Command) (*pb.FleetStatusResponse, error) {
	resp, err := client(c).FleetStatus(ctx, connect.NewRequest(&pb.FleetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func fleet(ctx context.Context, c *cli.Command) error {
	status, err := fleetStatus(ctx, c)
	if err != nil {
		return err
	}
	rows := [][]string{{"NODE", "STATUS", "DOMAIN", "SERVICE", "UPSTREAM", "SLOTS", "VERSION", "ADMIN"}}
	for _, m := range status.Members {
		rows = append(rows, []string{
			m.NodeId, enumName(m.Status, "MEMBER_STATUS_"), m.FailureDomain, m.Service,
			enumName(m.UpstreamState, "UPSTREAM_STATE_"), fmt.Sprint(m.Slots), fmt.Sprint(m.ConfigVersion), m.AdminAddress,
		})
	}
	return show(c, status, rows)
}

func node(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).NodeStatus(ctx, connect.NewRequest(&pb.NodeStatusRequest{}))
	if err != nil {
		return err
	}
	m := resp.Msg
	return show(c, m, [][]string{
		{"node", m.Member.GetNodeId()}, {"life cycle", m.Lifecycle}, {"service", m.Member.GetService()},
		{"upstream", enumName(m.Load.GetState(), "UPSTREAM_STATE_")},
		{"in flight", fmt.Sprintf("%d of %d slots, %d queued", m.Load.GetInFlight(), m.Load.GetSlots(), m.Load.GetQueued())},
		{"version", fmt.Sprint(m.ConfigVersion)}, {"log", logState(m)}, {"next offset", fmt.Sprint(m.LogNextOffset)},
	})
}

func logState(m *pb.NodeStatusResponse) string {
	if m.LogReachable {
		return "reachable"
	}
	return "unreachable: " + m.LogError
}

// setDrain orders a drain or cancels it. An order that the node has not applied yet is
// reported as a failure. Otherwise scripts would continue while the upstream may still
// receive new requests.
func setDrain(drain bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		id := c.Args().First()
		if err := checkMember(ctx, c, id); err != nil && drain {
			return err
		}
		req := &pb.SetDrainRequest{NodeId: id, Drain: drain, Operator: c.String("operator")}
		resp, err := client(c).SetDrain(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		if !resp.Msg.Applied {
			return fmt.Errorf("the order for %s is on the log, but not applied yet: %s", id, resp.Msg.Detail)
		}
		return show(c, req, [][]string{{"ordered and applied at", id}})
	}
}

// checkMember returns an error if the fleet has no member with the ID, which is probably
// mistyped.
func checkMember(ctx context.Context, c *cli.Command, id string) error {
	status, err := fleetStatus(ctx, c)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.NodeId == id {
			return nil
		}
	}
	return fmt.Errorf("no member %q", id)
}

func explainRequest(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).ExplainRequest(ctx, connect.NewRequest(&pb.ExplainRequestRequest{RequestId: c.Args().First()}))
	if err != nil {
		return err
	}
	if !resp.Msg.Found {
		return fmt.Errorf("the node knows no request %q", c.Args().First())
	}
	rows := [][]string{{"TIME", "NODE", "STEP", "UPSTREAM", "DETAIL"}}
	for _, d := range resp.Msg.Decisions {
		rows = append(rows, []string{formatTime(d.TimeUnixUs / 1000), d.NodeId, d.Step, d.Upstream, d.Detail})
	}
	return show(c, resp.Msg, rows)
}

func explainUpstream(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).ExplainUpstream(ctx, connect.NewRequest(&pb.ExplainUpstreamRequest{NodeId: c.Args().First()}))
	if err != nil {
		return err
	}
	rows := [][]string{{"state", enumName(resp.Msg.Load.GetState(), "UPSTREAM_STATE_")}}
	for _, reason := range resp.Msg.Reasons {
		rows = append(rows, []string{"reason", reason})
	}
	return show(c, resp.Msg, rows)
}

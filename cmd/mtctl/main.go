// Command mtctl is the operator's command of mulberrytray.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtctl:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "mtctl",
		Usage: "operate a fleet of mulberrytray",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Value: "127.0.0.1:8083", Usage: "IP:port of a node's admin listener", Sources: cli.EnvVars("MTCTL_NODE")},
			&cli.StringFlag{Name: "operator", Value: os.Getenv("USER"), Usage: "name for the audit trail", Sources: cli.EnvVars("MTCTL_OPERATOR")},
		},
		Commands: []*cli.Command{
			{Name: "propose", Usage: "propose an intent and show its plan", ArgsUsage: "FILE", Action: propose},
			{Name: "confirm", Usage: "put a proposal in force", ArgsUsage: "PROPOSAL DIGEST", Action: confirm},
			{Name: "fleet", Usage: "show the members", Action: fleet},
		},
	}
}

func client(c *cli.Command) pbconnect.OperatorServiceClient {
	return pbconnect.NewOperatorServiceClient(&http.Client{Timeout: 30 * time.Second}, "http://"+c.String("node"))
}

func propose(ctx context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return err
	}
	resp, err := client(c).Propose(ctx, connect.NewRequest(&pb.ProposeRequest{IntentYaml: string(data), Operator: c.String("operator")}))
	if err != nil {
		return err
	}
	return printJSON(resp.Msg)
}

func confirm(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{
		ProposalId: c.Args().Get(0), PlanDigest: c.Args().Get(1), Operator: c.String("operator"),
	}))
	if err != nil {
		return err
	}
	if !resp.Msg.Accepted {
		return errors.New("refused: " + resp.Msg.Reason)
	}
	return printJSON(resp.Msg)
}

func fleet(ctx context.Context, c *cli.Command) error {
	resp, err := client(c).FleetStatus(ctx, connect.NewRequest(&pb.FleetStatusRequest{}))
	if err != nil {
		return err
	}
	return printJSON(resp.Msg)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

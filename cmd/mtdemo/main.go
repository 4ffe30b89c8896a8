// Command mtdemo starts a small fleet as separate processes, puts an intent in
// force, and serves one call of each rank.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

func main() {
	cmd := &cli.Command{
		Name:  "mtdemo",
		Usage: "start a small fleet, put an intent in force, and serve one call of each rank",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin-dir", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "intent", Value: "deploy/liegewerk/intent.yaml", Usage: "intent file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("bin-dir"), c.String("intent"))
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtdemo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, binDir, intentFile string) error {
	data, err := os.ReadFile(intentFile)
	if err != nil {
		return err
	}
	in, err := intent.Parse(data)
	if err != nil {
		return err
	}
	logs, err := os.MkdirTemp("", "mtdemo")
	if err != nil {
		return err
	}
	l := &fleet.Launcher{BinDir: binDir, LogDir: logs}
	defer l.Stop()
	if err := startFleet(l, in); err != nil {
		return err
	}
	op := pbconnect.NewOperatorServiceClient(http.DefaultClient, "http://127.0.1.1:8083")
	if err := putInForce(ctx, op, string(data)); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, logs)
	}
	return callEachRank(ctx, in)
}

func startFleet(l *fleet.Launcher, in *intent.Intent) error {
	if _, err := l.Start("log", "mtlog", "--address", "127.0.0.1:8090"); err != nil {
		return err
	}
	for i, s := range in.Services {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		name := fmt.Sprintf("%s-1", s.Name)
		if _, err := l.Start(name, "mtnode", "--node-id", name, "--failure-domain", "local",
			"--caller-address", ip+":8080", "--peer-address", ip+":8081", "--local-address", ip+":8082",
			"--admin-address", ip+":8083", "--log-url", "http://127.0.0.1:8090"); err != nil {
			return err
		}
		if _, err := l.Start(name+"-upstream", "mtupstream", "--service", s.Name, "--address", ip+":8091",
			"--announce-url", "http://"+ip+":8082/v1/announce"); err != nil {
			return err
		}
	}
	return nil
}

func putInForce(ctx context.Context, op pbconnect.OperatorServiceClient, text string) error {
	var proposal *connect.Response[pb.ProposeResponse]
	var err error
	for range 50 {
		proposal, err = op.Propose(ctx, connect.NewRequest(&pb.ProposeRequest{IntentYaml: text, Operator: "demo"}))
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	fmt.Println("plan:", proposal.Msg.PlanJson)
	confirmed, err := op.Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{
		ProposalId: proposal.Msg.ProposalId, PlanDigest: proposal.Msg.PlanDigest, Operator: "demo",
	}))
	if err != nil {
		return err
	}
	fmt.Printf("confirmed: accepted=%v version=%d\n", confirmed.Msg.Accepted, confirmed.Msg.Version)
	return nil
}

func callEachRank(ctx context.Context, in *intent.Intent) error {
	service := in.Services[0].Name
	for _, r := range in.Ranks {
		var resp *http.Response
		for range 50 {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://127.0.1.2:8080/hello", nil)
			if err != nil {
				return err
			}
			req.Header.Set("Mulberrytray-Service", service)
			req.Header.Set("Mulberrytray-Rank", r.Name)
			resp, err = http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Printf("call %s %s: %s outcome=%s served-by=%s\n", service, r.Name, resp.Status,
			resp.Header.Get("Mulberrytray-Outcome"), resp.Header.Get("Mulberrytray-Served-By"))
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("rank %s: %s", r.Name, resp.Status)
		}
	}
	return nil
}

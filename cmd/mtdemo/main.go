// Command mtdemo starts a small fleet as separate processes, activates an intent,
// sends one request of each rank and explains the last one.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// demoTimeout is the time limit for the whole demonstration.
const demoTimeout = 60 * time.Second

func main() {
	cmd := &cli.Command{
		Name:  "mtdemo",
		Usage: "start a small fleet, put an intent in force, serve one call of each rank, and explain one",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin-dir", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "deployment", Value: "deploy/liegewerk", Usage: "directory with fleet.yaml and intent.yaml"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return run(ctx, c.String("bin-dir"), c.String("deployment"))
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtdemo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, binDir, dir string) error {
	intentYAML, err := os.ReadFile(dir + "/intent.yaml")
	if err != nil {
		return err
	}
	in, err := intent.Parse(intentYAML)
	if err != nil {
		return err
	}
	d, err := fleet.LoadDeployment(dir + "/fleet.yaml")
	if err != nil {
		return err
	}
	logDir, err := os.MkdirTemp("", "mtdemo")
	if err != nil {
		return err
	}
	f, err := fleet.Start(d, fleet.Options{BinDir: binDir, LogDir: logDir})
	defer f.Stop()
	if err != nil {
		return err
	}
	fmt.Printf("started %d nodes and %d upstreams as separate processes\n", len(f.Instances), len(f.Instances))
	if err := runDemo(ctx, f, in, string(intentYAML)); err != nil {
		return fmt.Errorf("%w (process logs in %s)", err, logDir)
	}
	return os.RemoveAll(logDir)
}

func runDemo(ctx context.Context, f *fleet.Fleet, in *intent.Intent, intentYAML string) error {
	confirmed, err := f.PutIntent(ctx, intentYAML, "demo")
	if err != nil {
		return err
	}
	fmt.Println("plan:", confirmed.PlanJSON)
	fmt.Printf("intent confirmed: version %d, in effect at all %d nodes after %v\n",
		confirmed.Version, len(f.Instances), confirmed.RolloutTime.Round(time.Millisecond))
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	entry := f.Instances[len(f.Instances)-1]
	var id string
	for _, r := range in.Ranks {
		if id, err = sendRequest(ctx, entry, in.Services[0].Name, r.Name); err != nil {
			return err
		}
	}
	return explain(ctx, entry, id)
}

// sendRequest sends one request and returns its id.
func sendRequest(ctx context.Context, entry *fleet.Instance, service, rank string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry.CallerURL()+"/hello", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set(outcome.HeaderService, service)
	req.Header.Set(outcome.HeaderRank, rank)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", err
	}
	id := resp.Header.Get(outcome.HeaderRequestID)
	fmt.Printf("call to %s, rank %s, through node %s: %s, outcome %s, served by %s\n", service, rank, entry.Name,
		resp.Status, resp.Header.Get(outcome.HeaderOutcome), resp.Header.Get(outcome.HeaderServedBy))
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("rank %s: %s", rank, resp.Status)
	}
	return id, nil
}

func explain(ctx context.Context, entry *fleet.Instance, id string) error {
	resp, err := entry.Operator().ExplainRequest(ctx, connect.NewRequest(&pb.ExplainRequestRequest{RequestId: id}))
	if err != nil {
		return err
	}
	fmt.Printf("explain %s:\n", id)
	for _, d := range resp.Msg.Decisions {
		fmt.Printf("  %s %s %s\n", d.Step, d.Upstream, d.Detail)
	}
	return nil
}

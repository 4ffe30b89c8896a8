// Command mtload measures the system under load and compares it with baselines of the
// same run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/scenario"
)

func main() {
	cmd := &cli.Command{
		Name:  "mtload",
		Usage: "measure the system under load, against baselines in the same run",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin-dir", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "deployment", Value: "deploy/liegewerk", Usage: "directory with fleet.yaml and intent.yaml"},
			&cli.StringFlag{Name: "out", Value: "out/load", Usage: "directory for reports"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.DurationFlag{Name: "duration", Value: 8 * time.Second, Usage: "length of the load for each target"},
			&cli.IntFlag{Name: "slots", Usage: "slots of each upstream instead of the deployment's; fewer make floods lighter on this machine"},
			&cli.DurationFlag{Name: "service-time", Value: 20 * time.Millisecond, Usage: "mean service time of the upstreams"},
		},
		Commands: []*cli.Command{
			{
				Name: "scenarios", Usage: "run the table of scenarios",
				Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "only", Usage: "names of scenarios (default: all)"}},
				Action: runScenarios,
			},
			{
				Name: "added", Usage: "measure the latency that the system adds to a call, and idle use",
				Flags:  []cli.Flag{&cli.Float64SliceFlag{Name: "rate", Value: []float64{250}, Usage: "calls per second through one node"}},
				Action: measureAddedLatency,
			},
			{
				Name: "scale", Usage: "measure idle use, control traffic and configuration spread at several fleet sizes",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "nodes", Value: []int{10, 20, 40, 80}, Usage: "fleet sizes"},
					&cli.IntFlag{Name: "services", Value: 5, Usage: "number of services"},
				},
				Action: measureScale,
			},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtload:", err)
		os.Exit(1)
	}
}

func startRunner(ctx context.Context, c *cli.Command) (*scenario.Runner, scenario.Config, error) {
	dir := c.String("deployment")
	intentYAML, err := os.ReadFile(filepath.Join(dir, "intent.yaml"))
	if err != nil {
		return nil, scenario.Config{}, err
	}
	d, err := fleet.LoadDeployment(filepath.Join(dir, "fleet.yaml"))
	if err != nil {
		return nil, scenario.Config{}, err
	}
	if n := c.Int("slots"); n > 0 {
		d.Slots = n
	}
	logs := filepath.Join(c.String("out"), "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, scenario.Config{}, err
	}
	cfg := scenario.Config{
		BinDir: c.String("bin-dir"), LogDir: logs, Deployment: d, IntentYAML: string(intentYAML),
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), ServiceTime: c.Duration("service-time"),
	}
	r, err := scenario.Start(ctx, cfg)
	return r, cfg, err
}

func runScenarios(ctx context.Context, c *cli.Command) error {
	r, cfg, err := startRunner(ctx, c)
	if r != nil {
		defer r.Stop()
	}
	if err != nil {
		return err
	}
	only := map[string]bool{}
	for _, name := range c.StringSlice("only") {
		only[name] = true
	}
	var all []scenario.Outcome
	for _, s := range scenario.Scenarios() {
		if len(only) > 0 && !only[s.Name] {
			continue
		}
		outcomes, err := r.Run(ctx, s)
		if err != nil {
			return err
		}
		if err := scenario.WriteText(os.Stdout, outcomes, cfg.Duration); err != nil {
			return err
		}
		if err := scenario.WriteChart(c.String("out"), s.Name, outcomes); err != nil {
			return err
		}
		all = append(all, outcomes...)
	}
	f, err := os.Create(filepath.Join(c.String("out"), "scenarios.csv"))
	if err != nil {
		return err
	}
	defer f.Close()
	return scenario.WriteCSV(f, all, cfg.Duration)
}

func measureAddedLatency(ctx context.Context, c *cli.Command) error {
	r, _, err := startRunner(ctx, c)
	if r != nil {
		defer r.Stop()
	}
	if err != nil {
		return err
	}
	idle, err := r.MeasureIdle(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("idle: %d nodes, %.2f %% of a core and %.1f MB each\n", idle.Nodes, idle.CPUPercent, float64(idle.RSSBytes)/1e6)
	for _, rate := range c.Float64Slice("rate") {
		added, err := r.MeasureAddedLatency(ctx, rate)
		if err != nil {
			return err
		}
		fmt.Printf("%.0f calls/s through one node: direct p50 %.3f p99 %.3f ms, through p50 %.3f p99 %.3f ms, added p50 %.3f p99 %.3f ms; entry node %.1f %% of a core, %.1f MB\n",
			added.Rate, added.DirectP50, added.DirectP99, added.ForwardedP50, added.ForwardedP99, added.P50(), added.P99(), added.CPUPercent, float64(added.RSSBytes)/1e6)
	}
	return nil
}

// scaleTimeout is the time limit for the measurement of one fleet size.
const scaleTimeout = 3 * time.Minute

func measureScale(ctx context.Context, c *cli.Command) error {
	logs := filepath.Join(c.String("out"), "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	for _, n := range c.IntSlice("nodes") {
		ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
		s, err := scenario.MeasureScale(ctx, c.String("bin-dir"), logs, n, c.Int("services"), c.Duration("duration"))
		cancel()
		if err != nil {
			return err
		}
		fmt.Printf("%d nodes, %d services: %.2f %% of a core, %.1f MB, %.0f control bytes/s each; joined after %.1f s; in effect everywhere after %.0f ms\n",
			s.Nodes, s.Services, s.CPUPercent, float64(s.RSSBytes)/1e6, s.ControlBytesPerSecond, s.JoinTime.Seconds(), float64(s.RolloutTime.Milliseconds()))
	}
	return nil
}

// Command mtprove runs fleets of real processes under injected faults and checks the
// outcomes that callers received against the executions that upstreams recorded.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
	"github.com/mulberrytray/mulberrytray/internal/prove"
)

func main() {
	cmd := &cli.Command{
		Name:  "mtprove",
		Usage: "run fleets of real processes under injected failures and judge the histories",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin-dir", Value: "bin", Usage: "directory of the binaries"},
			&cli.StringFlag{Name: "deployment", Value: "deploy/liegewerk", Usage: "directory with fleet.yaml and intent.yaml"},
			&cli.StringFlag{Name: "out", Value: "out/prove", Usage: "directory for journals and process logs; emptied first"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of faults and operations"},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "length of scenarios that have no natural end"},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "callers that send at the same time"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenarios to run (default: all)"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtprove:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	dir := c.String("deployment")
	intentYAML, err := os.ReadFile(dir + "/intent.yaml")
	if err != nil {
		return err
	}
	d, err := fleet.LoadDeployment(dir + "/fleet.yaml")
	if err != nil {
		return err
	}
	if err := os.RemoveAll(c.String("out")); err != nil {
		return err
	}
	cfg := prove.Config{
		BinDir: c.String("bin-dir"), OutDir: c.String("out"), Deployment: d, IntentYAML: string(intentYAML),
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Callers: c.Int("callers"),
	}
	selected := map[string]bool{}
	for _, s := range c.StringSlice("scenario") {
		selected[s] = true
	}
	violations := 0
	for _, s := range prove.Scenarios() {
		if len(selected) > 0 && !selected[s.Name] {
			continue
		}
		rep, err := prove.Execute(ctx, cfg, s)
		if err != nil {
			return fmt.Errorf("scenario %s: %w", s.Name, err)
		}
		printReport(rep)
		violations += len(rep.Violations)
	}
	if violations > 0 {
		return errors.New("violations found")
	}
	return nil
}

// maxPrintedViolations is the maximum number of violations printed for one scenario.
const maxPrintedViolations = 10

func printReport(rep *prove.Report) {
	var kinds []string
	for kind, n := range rep.Faults {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, n))
	}
	sort.Strings(kinds)
	fmt.Printf("%s: %d sends, %d successful, %d executions; faults: %s; violations: %d\n",
		rep.Scenario, rep.Attempts, rep.Successful, rep.Executions, strings.Join(kinds, ", "), len(rep.Violations))
	for _, n := range rep.Notes {
		fmt.Println("  " + n)
	}
	for i, v := range rep.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(rep.Violations)-maxPrintedViolations)
			break
		}
		fmt.Println("  VIOLATION " + v.String())
	}
}

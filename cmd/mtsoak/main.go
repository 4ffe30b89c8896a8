// Command mtsoak runs seeds of the fault soak with real processes.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/soak"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtsoak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var o soak.Options
	var firstSeed, seeds uint64
	return &cli.Command{
		Name:  "mtsoak",
		Usage: "play seeds of the fault soak on real processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "path of mtmesh", Value: "bin/mtmesh", Destination: &o.Binary},
			&cli.StringFlag{Name: "dir", Usage: "folder for settings and logs of the processes", Value: "out/soak", Destination: &o.Dir},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1, Destination: &firstSeed},
			&cli.Uint64Flag{Name: "seeds", Usage: "number of seeds", Value: 1, Destination: &seeds},
			&cli.IntFlag{Name: "vms", Usage: "number of VMs (2 to 100)", Value: 6, Destination: &o.VMs},
			&cli.DurationFlag{Name: "faults", Usage: "how long faults are injected", Value: 15 * time.Second, Destination: &o.InjectFor},
		},
		Action: func(context.Context, *cli.Command) error {
			if o.VMs < 2 || o.VMs > 100 {
				return fmt.Errorf("%d VMs: not between 2 and 100", o.VMs)
			}
			return runSeeds(o, firstSeed, seeds)
		},
	}
}

func runSeeds(o soak.Options, firstSeed, seeds uint64) error {
	failedSeeds := 0
	dir := o.Dir
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		o.Seed, o.Dir = seed, filepath.Join(dir, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return err
		}
		r, err := soak.Run(o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d faults, %d violations, most runs in 5 s %v, most at a cold upstream in 1 s %d, most memory beside a crowd %.0f MB\n", seed, r.Requests, r.Served, r.Rejected, len(r.Faults), len(r.Violations), r.MaxRuns, r.MaxColdArrivals, r.MaxMemoryMegabytes)
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		if len(r.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds failed", failedSeeds, seeds)
	}
	return nil
}

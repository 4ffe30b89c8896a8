// Command mtreplay compares rules for queueing and placement on a virtual clock.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/replay"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtreplay:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var seeds uint64
	var only, plot string
	return &cli.Command{
		Name:  "mtreplay",
		Usage: "compare rules for queueing and placement on a virtual clock",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seeds", Usage: "number of seeds of each scenario", Value: 20, Sources: cli.EnvVars("MTREPLAY_SEEDS"), Destination: &seeds},
			&cli.StringFlag{Name: "only", Usage: "play the scenarios whose names begin so", Sources: cli.EnvVars("MTREPLAY_ONLY"), Destination: &only},
			&cli.StringFlag{Name: "plot", Usage: "also draw the worth to this file, as SVG", Sources: cli.EnvVars("MTREPLAY_PLOT"), Destination: &plot},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var rows []replay.Row
			for _, s := range replay.Scenarios() {
				if strings.HasPrefix(s.Name, only) {
					rows = append(rows, replay.Compare(s, replay.Rules(), seeds)...)
				}
			}
			if err := replay.Print(c.Root().Writer, rows); err != nil || plot == "" {
				return err
			}
			return replay.Plot(plot, rows)
		},
	}
}

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/go-analyze/charts"
	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/logview"
)

const (
	// Sizes in pixels. chartWindowWidth is the width of one window, minChartWidth and
	// chartHeight are those of the whole chart.
	chartWindowWidth = 24
	minChartWidth    = 900
	chartHeight      = 420
	chartFileMode    = 0o644
)

func reportCommand() *cli.Command {
	var window time.Duration
	var chart string
	return &cli.Command{
		Name: "report", Usage: "show from logs how requests ended over time", ArgsUsage: "FILE...",
		Description: example("mtctl report --chart run.svg out/soak/1/*.log"),
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: 2 * time.Second, Usage: "length of one row, 100 ms to 1 h", Destination: &window},
			&cli.StringFlag{Name: "chart", Usage: "also draw the rows to this file, as SVG", Destination: &chart},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return &usageError{"report takes one or more files: FILE..."}
			}
			if window < 100*time.Millisecond || window > time.Hour {
				return &usageError{fmt.Sprintf("window %v is not between 100 ms and 1 h", window)}
			}
			t := logview.NewTimeline(window)
			for _, name := range c.Args().Slice() {
				if err := readLog(t, name); err != nil {
					return err
				}
			}
			return report(c, t.Windows(), chart)
		},
	}
}

// report writes one row for each window, and the chart if a file is given.
func report(c *cli.Command, windows []logview.Window, chart string) error {
	rows := [][]string{{"FROM", "ANSWERED", "ERRORS", "REFUSED", "FAILED", "REJECTED", "NOTED"}}
	for _, w := range windows {
		t := w.Total()
		rows = append(rows, []string{
			w.Start.UTC().Format(logTimeLayout), strconv.Itoa(t.Answered), strconv.Itoa(t.Errors), strconv.Itoa(t.Refused),
			strconv.Itoa(t.Failed), strconv.Itoa(t.Rejected), w.Describe(),
		})
	}
	if err := show(c, windows, rows); err != nil || chart == "" {
		return err
	}
	return writeChart(chart, windows)
}

// writeChart draws the outcomes of requests and the injected faults over time, as SVG.
func writeChart(file string, windows []logview.Window) error {
	names := []string{"answered", "errors", "refused", "failed", "rejected", "faults"}
	values := make([][]float64, len(names))
	var labels []string
	for _, w := range windows {
		t := w.Total()
		for i, n := range []int{t.Answered, t.Errors, t.Refused, t.Failed, t.Rejected, w.Faults} {
			values[i] = append(values[i], float64(n))
		}
		labels = append(labels, w.Start.UTC().Format("15:04:05"))
	}
	painter, err := charts.LineRender(values,
		charts.SVGOutputOptionFunc(),
		charts.TitleTextOptionFunc("Requests by outcome"),
		charts.XAxisLabelsOptionFunc(labels),
		charts.LegendLabelsOptionFunc(names),
		charts.DimensionsOptionFunc(max(minChartWidth, chartWindowWidth*len(windows)), chartHeight),
	)
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	svg, err := painter.Bytes()
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return os.WriteFile(file, svg, chartFileMode)
}

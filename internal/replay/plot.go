package replay

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-analyze/charts"
)

const (
	// scenarioWidth is the width of one scenario, plotHeight the height of the plot, both in
	// pixels.
	scenarioWidth = 320
	plotHeight    = 420
	plotFileMode  = 0o644
)

// Plot writes an SVG bar chart of the earned fraction of the worth, by scenario and rule.
func Plot(file string, rows []Row) error {
	scenarios, rules := names(rows)
	values := make([][]float64, len(rules))
	for i := range values {
		values[i] = make([]float64, len(scenarios))
	}
	for _, r := range rows {
		values[slices.Index(rules, r.Rule)][slices.Index(scenarios, r.Scenario)] = r.Worth
	}
	painter, err := charts.BarRender(values,
		charts.SVGOutputOptionFunc(),
		charts.TitleTextOptionFunc("Share of the worth that is served"),
		charts.XAxisLabelsOptionFunc(scenarios),
		charts.LegendLabelsOptionFunc(rules),
		charts.DimensionsOptionFunc(scenarioWidth*max(3, len(scenarios)), plotHeight),
	)
	if err != nil {
		return fmt.Errorf("render the plot: %w", err)
	}
	svg, err := painter.Bytes()
	if err != nil {
		return fmt.Errorf("encode the plot as SVG: %w", err)
	}
	return os.WriteFile(file, svg, plotFileMode)
}

// names returns the names of scenarios and rules in the order of their first rows.
func names(rows []Row) (scenarios, rules []string) {
	for _, r := range rows {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
		if !slices.Contains(rules, r.Rule) {
			rules = append(rules, r.Rule)
		}
	}
	return scenarios, rules
}

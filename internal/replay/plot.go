package replay

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-analyze/charts"
)

const (
	// plotWidth is that of one scenario, plotHeight that of the plot, in pixels.
	plotWidth  = 320
	plotHeight = 420
	plotMode   = 0o644
)

// Plot writes an SVG of the worth of each rule in each scenario.
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
		charts.DimensionsOptionFunc(plotWidth*max(3, len(scenarios)), plotHeight),
	)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	svg, err := painter.Bytes()
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return os.WriteFile(file, svg, plotMode)
}

// names returns the scenarios and the rules of the rows, each in their order.
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

package scenario

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-analyze/charts"

	"github.com/mulberrytray/mulberrytray/internal/loadgen"
)

// header holds the column names of the text and CSV reports.
var header = []string{
	"scenario", "target", "rank", "sent", "ok", "good", "refused", "unknown", "dropped",
	"p50_ms", "p90_ms", "p99_ms", "p999_ms", "good_per_s", "good_percent", "first_upstream_percent", "reasons",
}

// row returns the columns of one rank's result, in the order of header.
func row(o Outcome, r *loadgen.Result, run time.Duration) []string {
	ms := func(p float64) string { return strconv.FormatFloat(r.PercentileMs(p), 'f', 2, 64) }
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	good := 0.0
	if r.Sent > 0 {
		good = 100 * float64(r.Good) / float64(r.Sent)
	}
	return []string{
		o.Scenario, o.Target, r.Class.Name, n(r.Sent), n(r.OK), n(r.Good), n(r.Rejected), n(r.Unknown), n(r.Dropped),
		ms(50), ms(90), ms(99), ms(99.9), strconv.FormatFloat(r.GoodRate(run), 'f', 1, 64),
		strconv.FormatFloat(good, 'f', 2, 64), strconv.FormatFloat(100*o.FirstUpstreamRatio, 'f', 2, 64), reasons(r),
	}
}

// reasons formats the counts by reason as sorted "reason=count" pairs.
func reasons(r *loadgen.Result) string {
	var parts []string
	for reason, n := range r.Reasons {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// WriteText writes the results as an aligned text table.
func WriteText(w io.Writer, outcomes []Outcome, run time.Duration) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, o := range outcomes {
		for _, r := range o.Results {
			fmt.Fprintln(tw, strings.Join(row(o, r, run), "\t"))
		}
	}
	return tw.Flush()
}

// WriteCSV writes the table of WriteText as CSV.
func WriteCSV(w io.Writer, outcomes []Outcome, run time.Duration) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(header); err != nil {
		return err
	}
	for _, o := range outcomes {
		for _, r := range o.Results {
			if err := cw.Write(row(o, r, run)); err != nil {
				return err
			}
		}
	}
	cw.Flush()
	return cw.Error()
}

const fileMode = 0o644

// WriteChart writes an SVG chart of the latency percentiles of the scenario's first
// rank to the directory, with one series per target.
func WriteChart(dir, name string, outcomes []Outcome) error {
	percentiles := []float64{50, 90, 99, 99.9}
	var values [][]float64
	var targets []string
	for _, o := range outcomes {
		if o.Scenario != name || len(o.Results) == 0 {
			continue
		}
		var v []float64
		for _, p := range percentiles {
			v = append(v, o.Results[0].PercentileMs(p))
		}
		values = append(values, v)
		targets = append(targets, o.Target)
	}
	if len(values) == 0 {
		return nil
	}
	painter, err := charts.BarRender(values,
		charts.SVGOutputOptionFunc(),
		charts.TitleTextOptionFunc(name+": latency of the first rank (ms)"),
		charts.XAxisLabelsOptionFunc([]string{"p50", "p90", "p99", "p99.9"}),
		charts.LegendLabelsOptionFunc(targets),
		charts.DimensionsOptionFunc(900, 420),
	)
	if err != nil {
		return fmt.Errorf("chart %s: %w", name, err)
	}
	svg, err := painter.Bytes()
	if err != nil {
		return fmt.Errorf("chart %s: %w", name, err)
	}
	return os.WriteFile(filepath.Join(dir, name+".svg"), svg, fileMode)
}

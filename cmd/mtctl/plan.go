package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

// writePlan writes a plan as text.
func writePlan(w io.Writer, planJSON string) error {
	var p plan.Plan
	if err := json.Unmarshal([]byte(planJSON), &p); err != nil {
		return fmt.Errorf("the plan cannot be read: %w", err)
	}
	writeList(w, "Changes", p.Changes)
	writeList(w, "Services of unknown capacity, not in the scenarios", p.UnknownCapacity)
	writeList(w, "Upstreams not included in the scenarios", p.NotIncluded)
	if len(p.Changes) == 0 {
		fmt.Fprintln(w, "\nThe intent changes nothing.")
	}
	if !slices.ContainsFunc(p.Scenarios, func(s plan.Scenario) bool { return len(rankChanges(s)) > 0 }) {
		fmt.Fprintln(w, "\nNo demand is known, so the plan cannot tell what each rank would get.")
		return nil
	}
	for _, s := range p.Scenarios {
		if err := writeScenario(w, s); err != nil {
			return err
		}
	}
	return nil
}

// writeList writes a title and its items, or nothing if there are none.
func writeList(w io.Writer, title string, items []string) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	for _, item := range items {
		fmt.Fprintln(w, "  "+item)
	}
}

// rankChanges returns the ranks of a scenario. Losses come first, because the decision to
// confirm depends on them.
func rankChanges(s plan.Scenario) []plan.RankChange {
	return slices.Concat(s.Losses, s.Gains, s.Unchanged)
}

// writeScenario writes how many requests per second of each rank are served now and would
// be served with the proposal.
func writeScenario(w io.Writer, s plan.Scenario) error {
	fmt.Fprintf(w, "\nAt %s times the present demand, worth served per second: %s -> %s (%s)\n",
		formatNumber(s.DemandFactor), formatNumber(s.WorthNow), formatNumber(s.WorthProposed), formatSigned(s.WorthProposed-s.WorthNow))
	ranks := rankChanges(s)
	if len(ranks) == 0 {
		fmt.Fprintln(w, "  no demand is known")
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join([]string{"RANK", "DEMAND/S", "NOW/S", "PROPOSED/S", "CHANGE/S", "NOW", "PROPOSED", ""}, "\t"))
	for _, r := range ranks {
		fmt.Fprintln(t, strings.Join([]string{
			r.Rank, formatNumber(r.Demand), formatNumber(r.Now), formatNumber(r.Proposed), formatSigned(r.Proposed - r.Now),
			formatNumber(r.NowPercent) + "%", formatNumber(r.ProposedPercent) + "%", "",
		}, "\t"))
	}
	return t.Flush()
}

// formatNumber formats a number with at most one decimal, because plans are rounded to one.
func formatNumber(f float64) string {
	return strings.TrimSuffix(strconv.FormatFloat(f, 'f', 1, 64), ".0")
}

// formatSigned formats a difference with its sign.
func formatSigned(f float64) string {
	text := formatNumber(f)
	switch {
	case text == "0" || text == "-0":
		return "0"
	case f > 0:
		return "+" + text
	}
	return text
}

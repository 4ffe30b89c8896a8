package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// windowLength is the time over which the worst windows are taken.
	windowLength = 2 * time.Second
	// worstWindows of a run are averaged.
	worstWindows = 2
)

// Result counts what a run served.
type Result struct {
	Asked, InTarget, Late, Refused int
	// Cut requests ran until their deadline without an answer.
	Cut int
	// Owed and Earned are worth, by the class.
	Owed, Earned map[string]float64
	// Busy is the slot time that requests took, Wasted the part of those that ended
	// after their target or not at all.
	Busy, Wasted time.Duration

	windows []struct{ owed, earned float64 }
	classes []Class
}

func newResult(s *Scenario) *Result {
	return &Result{
		Owed: map[string]float64{}, Earned: map[string]float64{}, classes: s.Classes,
		windows: make([]struct{ owed, earned float64 }, s.Length/windowLength),
	}
}

func (r *Result) window(at time.Duration) *struct{ owed, earned float64 } {
	return &r.windows[min(int(at/windowLength), len(r.windows)-1)]
}

func (r *Result) asked(q *request) {
	r.Asked++
	r.Owed[q.class.Name] += q.class.Worth
	r.window(q.at).owed += q.class.Worth
}

func (r *Result) refused(*request) { r.Refused++ }

func (r *Result) ran(d time.Duration) { r.Busy += d }

// ended notes the end of a run. Only whole ones are answers.
func (r *Result) ended(q *request, now time.Duration, whole bool, started time.Duration) {
	worth := 0.0
	switch {
	case whole && now <= q.at+q.class.Target:
		r.InTarget++
		worth = q.class.Worth
	case whole:
		r.Late++
		worth = q.class.Late
		r.Wasted += now - started
	default:
		r.Cut++
		r.Wasted += now - started
	}
	r.Earned[q.class.Name] += worth
	r.window(q.at).earned += worth
}

// Worth returns the share of the worth that was earned.
func (r *Result) Worth() float64 {
	owed, earned := 0.0, 0.0
	for name := range r.Owed {
		owed += r.Owed[name]
		earned += r.Earned[name]
	}
	return earned / owed
}

// Worst returns that share in the worst windows.
func (r *Result) Worst() float64 {
	var shares []float64
	for _, w := range r.windows {
		if w.owed > 0 {
			shares = append(shares, w.earned/w.owed)
		}
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares[:min(worstWindows, len(shares))] {
		sum += s
	}
	return sum / worstWindows
}

// Row is the mean of a scenario's runs under one rule.
type Row struct {
	Scenario, Rule                string
	Worth, Worst, Refused, Wasted float64
	ByClass                       []string
}

// Compare plays the scenario under each rule with seeds from 1 on.
func Compare(s Scenario, rules []Rule, seeds uint64) []Row {
	var rows []Row
	for _, rule := range rules {
		row := Row{Scenario: s.Name, Rule: rule.Name}
		earned := map[string]float64{}
		for seed := uint64(1); seed <= seeds; seed++ {
			r := Run(&s, rule, seed)
			n := float64(seeds)
			row.Worth += r.Worth() / n
			row.Worst += r.Worst() / n
			row.Refused += float64(r.Refused) / float64(r.Asked) / n
			row.Wasted += r.Wasted.Seconds() / max(r.Busy.Seconds(), 1e-9) / n
			for name := range r.Owed {
				earned[name] += r.Earned[name] / r.Owed[name] / n
			}
		}
		for _, c := range s.Classes {
			row.ByClass = append(row.ByClass, fmt.Sprintf("%s %.3f", c.Name, earned[c.Name]))
		}
		rows = append(rows, row)
	}
	return rows
}

// Print writes the rows as a table. All figures but the names are shares.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\trule\tworth\tworst windows\trefused\tslot time wasted\tworth by class")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\n", r.Scenario, r.Rule, r.Worth, r.Worst, r.Refused, r.Wasted, r.ByClass)
	}
	return t.Flush()
}

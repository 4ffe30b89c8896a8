package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// windowLength is the length of the windows by which arrivals are grouped.
	windowLength = 2 * time.Second
	// worstWindows is the number of windows with the lowest earned fraction of the worth that
	// WorstWindows averages.
	worstWindows = 2
)

// Result holds the results of one run.
type Result struct {
	Arrived, InTarget, Late, Rejected int
	// TimedOut requests were still running at their deadline and got no response.
	TimedOut int
	// OfferedWorth is the worth of all requests, EarnedWorth that of the responses, both by
	// class.
	OfferedWorth, EarnedWorth map[string]float64
	// SlotTime is the total slot time of requests. WastedSlotTime is the part taken by
	// requests that ended after their target or timed out.
	SlotTime, WastedSlotTime time.Duration
	// ColdStarts holds the starts at each upstream while it was cold, and RejectedWithRoom counts
	// the rejections while a warm upstream had a free slot. Only scenarios with an outage have them.
	ColdStarts       [][]time.Duration
	RejectedWithRoom int

	// Left counts the requests that were sent to another failure domain, LeftBytes the bytes of
	// their responses.
	Left      int
	LeftBytes int64

	windows []struct{ offered, earned float64 }
	classes []Class
	// leftBy counts the requests that left, by failure domain and second.
	leftBy map[int]map[int]int
}

func newResult(s *Scenario) *Result {
	return &Result{
		OfferedWorth: map[string]float64{}, EarnedWorth: map[string]float64{}, classes: s.Classes, leftBy: map[int]map[int]int{},
		windows: make([]struct{ offered, earned float64 }, s.Duration/windowLength),
	}
}

func (r *Result) window(at time.Duration) *struct{ offered, earned float64 } {
	return &r.windows[min(int(at/windowLength), len(r.windows)-1)]
}

func (r *Result) addArrival(q *request) {
	r.Arrived++
	r.OfferedWorth[q.class.Name] += q.class.Worth
	r.window(q.at).offered += q.class.Worth
}

// addPlacement counts a request of a node in one failure domain that is sent to another.
func (r *Result) addPlacement(now time.Duration, q *request, from, to int) {
	if from == to {
		return
	}
	r.Left++
	r.LeftBytes += q.class.Bytes
	if r.leftBy[from] == nil {
		r.leftBy[from] = map[int]int{}
	}
	r.leftBy[from][int(now/time.Second)]++
}

func (r *Result) addRejection(*request) { r.Rejected++ }

func (r *Result) addSlotTime(d time.Duration) { r.SlotTime += d }

// addEnd records the end of a request. A request that is not complete got no response.
func (r *Result) addEnd(q *request, now time.Duration, complete bool, started time.Duration) {
	worth := 0.0
	switch {
	case complete && now <= q.at+q.class.Target:
		r.InTarget++
		worth = q.class.Worth
	case complete:
		r.Late++
		worth = q.class.LateWorth
		r.WastedSlotTime += now - started
	default:
		r.TimedOut++
		r.WastedSlotTime += now - started
	}
	r.EarnedWorth[q.class.Name] += worth
	r.window(q.at).earned += worth
}

// Worth returns the fraction of the worth that was earned.
func (r *Result) Worth() float64 {
	offered, earned := 0.0, 0.0
	for name := range r.OfferedWorth {
		offered += r.OfferedWorth[name]
		earned += r.EarnedWorth[name]
	}
	return earned / offered
}

// WorstWindows returns the mean fraction of the worth that was earned in the worst windows.
func (r *Result) WorstWindows() float64 {
	var fractions []float64
	for _, w := range r.windows {
		if w.offered > 0 {
			fractions = append(fractions, w.earned/w.offered)
		}
	}
	slices.Sort(fractions)
	sum := 0.0
	for _, f := range fractions[:min(worstWindows, len(fractions))] {
		sum += f
	}
	return sum / worstWindows
}

// Row holds the means of a scenario's runs under one rule, over all seeds.
type Row struct {
	Scenario, Rule                                string
	Worth, WorstWindows, Rejected, WastedSlotTime float64
	ByClass                                       []string
}

// Compare runs the scenario under each rule with the seeds from 1 to seeds.
func Compare(s Scenario, rules []Rule, seeds uint64) []Row {
	var rows []Row
	for _, rule := range rules {
		row := Row{Scenario: s.Name, Rule: rule.Name}
		earned := map[string]float64{}
		for seed := uint64(1); seed <= seeds; seed++ {
			r := Run(&s, rule, seed)
			n := float64(seeds)
			row.Worth += r.Worth() / n
			row.WorstWindows += r.WorstWindows() / n
			row.Rejected += float64(r.Rejected) / float64(r.Arrived) / n
			row.WastedSlotTime += r.WastedSlotTime.Seconds() / max(r.SlotTime.Seconds(), 1e-9) / n
			for name := range r.OfferedWorth {
				earned[name] += r.EarnedWorth[name] / r.OfferedWorth[name] / n
			}
		}
		for _, c := range s.Classes {
			row.ByClass = append(row.ByClass, fmt.Sprintf("%s %.3f", c.Name, earned[c.Name]))
		}
		rows = append(rows, row)
	}
	return rows
}

// Print writes the rows as a table. All figures are fractions.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\trule\tworth\tworst windows\trefused\tslot time wasted\tworth by class")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\n", r.Scenario, r.Rule, r.Worth, r.WorstWindows, r.Rejected, r.WastedSlotTime, r.ByClass)
	}
	return t.Flush()
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

func validOutput(s string) error {
	if s != "table" && s != "json" {
		return &usageError{fmt.Sprintf("output %q is not table or json", s)}
	}
	return nil
}

func countFields(s string) int { return len(strings.Fields(s)) }

// show writes the value as JSON or the rows as a table, depending on --output.
func show(c *cli.Command, value any, rows [][]string) error {
	w := c.Root().Writer
	if c.String("output") == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	return writeTable(w, rows)
}

// showWithPlan is like show, and writes the plan below the table. In JSON output the value
// itself contains the plan.
func showWithPlan(c *cli.Command, value any, rows [][]string, planJSON string) error {
	if err := show(c, value, rows); err != nil || c.String("output") == "json" {
		return err
	}
	return writePlan(c.Root().Writer, planJSON)
}

func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func formatTime(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

// enumName returns the name of an enum value in lower case, without the common prefix.
func enumName(enum fmt.Stringer, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(enum.String(), prefix))
}

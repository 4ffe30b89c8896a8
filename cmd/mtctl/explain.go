package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/logview"
)

// logTimeLayout formats times of log lines. It shows milliseconds, because the lines of one
// request are only milliseconds apart.
const logTimeLayout = "15:04:05.000"

// explainLog shows the lines about one request from logs of nodes.
func explainLog(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 1 {
		return &usageError{"log takes an id and any number of files: ID [FILE...]"}
	}
	r := logview.NewReader(c.Args().First())
	if c.Args().Len() == 1 {
		if err := r.Read(c.Root().Reader, "stdin"); err != nil {
			return err
		}
	}
	for _, name := range c.Args().Tail() {
		if err := readLog(r, name); err != nil {
			return err
		}
	}
	trace, err := r.Trace()
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return show(c, trace, nil)
	}
	return writeTrace(c.Root().Writer, trace)
}

// logReader reads the log of a process.
type logReader interface {
	Read(log io.Reader, process string) error
}

// readLog reads a log file. Lines that do not name their process belong to the process
// after which the file is named.
func readLog(r logReader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	base := filepath.Base(name)
	return r.Read(f, strings.TrimSuffix(base, filepath.Ext(base)))
}

// writeTrace writes the lines of the request, and then other events of the involved nodes
// around it.
func writeTrace(w io.Writer, trace logview.Trace) error {
	fmt.Fprintln(w, "The request and the calls made for it:")
	for _, l := range trace.Request {
		if err := writeLine(w, l); err != nil {
			return err
		}
	}
	if len(trace.NodeEvents) == 0 {
		fmt.Fprintln(w, "\nThe nodes that it met noted no change around it.")
	} else {
		fmt.Fprintln(w, "\nWhat the nodes that it met noted around it:")
	}
	for _, l := range trace.NodeEvents {
		if err := writeLine(w, l); err != nil {
			return err
		}
	}
	if trace.Skipped > 0 {
		fmt.Fprintf(w, "\n%d lines were no structured log lines.\n", trace.Skipped)
	}
	return nil
}

// writeLine writes a log line with its fields sorted by name. The attempts follow, each on
// a separate line.
func writeLine(w io.Writer, l logview.Line) error {
	var fields []string
	for name, value := range l.Fields {
		if name == "event" || name == "path" || value == "" {
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("field %s: %w", name, err)
		}
		fields = append(fields, name+"="+strings.Trim(string(encoded), `"`))
	}
	slices.Sort(fields)
	fmt.Fprintf(w, "%s %s %d %s: %s\n", l.Time.In(time.UTC).Format(logTimeLayout), l.Process, l.Event(), l.Message, strings.Join(fields, " "))
	for _, attempt := range l.Attempts() {
		fmt.Fprintln(w, "    tried", attempt)
	}
	return nil
}

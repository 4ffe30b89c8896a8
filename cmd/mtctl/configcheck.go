package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/configcheck"
	"github.com/mulberrytray/mulberrytray/pkg/route"
	"github.com/mulberrytray/mulberrytray/pkg/standalone"
	"github.com/mulberrytray/mulberrytray/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{Name: "config", Usage: "examine routing configurations", Description: example("mtctl config check new.json"), Action: noCommand, Commands: []*cli.Command{
		leafCommand("check", "report errors, entries that never match, contradictions and differences", "FILE",
			"mtctl config check new.json --against in-force.json", checkConfig,
			&cli.StringFlag{Name: "against", Usage: "file with the configuration in force"}),
	}}
}

// checkConfig checks a configuration in the platform's format (.json) or in that of mtmesh standalone
// (.yaml, .yml). It needs no node.
func checkConfig(_ context.Context, c *cli.Command) error {
	table, findings, err := readConfig(c.Args().First())
	if err != nil {
		return err
	}
	if table != nil {
		findings = configcheck.Check(table)
		if path := c.String("against"); path != "" {
			inForce, invalid, err := readConfig(path)
			if err != nil {
				return err
			}
			if inForce == nil {
				return fmt.Errorf("%s: %s", path, invalid[0].Message)
			}
			findings = append(findings, configcheck.Diff(inForce, table)...)
		}
	}
	if findings == nil {
		findings = []configcheck.Finding{}
	}
	if err := show(c, map[string]any{"findings": findings}, findingRows(findings)); err != nil {
		return err
	}
	for _, f := range findings {
		if f.Kind == configcheck.Error {
			return &refusedError{fmt.Sprintf("nodes would not put %s in force", c.Args().First())}
		}
	}
	return nil
}

// readConfig returns the table in the file, or a finding if it is invalid. The error is for files
// that can't be read.
func readConfig(path string) (*route.Table, []configcheck.Finding, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	decode := platform.DecodeConfig
	switch filepath.Ext(path) {
	case ".json":
	case ".yaml", ".yml":
		decode = standalone.RoutesFile{}.Decode
	default:
		return nil, nil, &usageError{fmt.Sprintf("%s is neither .json nor .yaml", path)}
	}
	table, err := decode(encoded)
	if err != nil {
		return nil, []configcheck.Finding{{Kind: configcheck.Error, Line: errorLine(encoded, err), Entry: "configuration", Message: err.Error()}}, nil
	}
	return table, nil, nil
}

// errorLine returns the line of an error in JSON, or 0. Errors in YAML name their line.
func errorLine(encoded []byte, err error) int {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	var entry *route.EntryError
	switch {
	case errors.As(err, &syntax):
		return configcheck.LineAt(encoded, syntax.Offset)
	case errors.As(err, &mismatch):
		return configcheck.LineAt(encoded, mismatch.Offset)
	case errors.As(err, &entry):
		return configcheck.LineOf(encoded, entry.Name)
	}
	return 0
}

func findingRows(findings []configcheck.Finding) [][]string {
	rows := [][]string{{"KIND", "LINE", "ENTRY", "FIELD", "FINDING"}}
	for _, f := range findings {
		line := ""
		if f.Line > 0 {
			line = fmt.Sprint(f.Line)
		}
		rows = append(rows, []string{string(f.Kind), line, f.Entry, f.Field, f.Message})
	}
	return rows
}

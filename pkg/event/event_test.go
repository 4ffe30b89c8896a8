package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// catalogueRow matches a row of a table in docs/events.md.
var catalogueRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)

// Guards against a log event without a row in docs/events.md, and against a row without
// an event.
func TestCatalogueMatchesDocs(t *testing.T) {
	inCode := eventsInCode(t)
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	inDocs := map[string]string{}
	for _, row := range catalogueRow.FindAllStringSubmatch(string(page), -1) {
		if _, dup := inDocs[row[1]]; dup {
			t.Errorf("event %s is listed twice", row[1])
		}
		inDocs[row[1]] = row[2] + " " + strings.TrimSpace(row[3])
	}
	for id, want := range inCode {
		if inDocs[id] != want {
			t.Errorf("event %s: docs have %q, code has %q", id, inDocs[id], want)
		}
	}
	for id := range inDocs {
		if _, ok := inCode[id]; !ok {
			t.Errorf("event %s is in the docs only", id)
		}
	}
}

// eventsInCode maps event numbers to "Name message".
func eventsInCode(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	events := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		lit, ok := spec.Values[0].(*ast.CompositeLit)
		if !ok || len(lit.Elts) != 3 {
			return true
		}
		id := lit.Elts[0].(*ast.BasicLit).Value
		message, err := strconv.Unquote(lit.Elts[2].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		if _, dup := events[id]; dup {
			t.Errorf("event number %s is used twice", id)
		}
		events[id] = spec.Names[0].Name + " " + message
		return true
	})
	return events
}

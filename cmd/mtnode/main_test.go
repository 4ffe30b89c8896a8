package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// runCommand returns the output and the error of a command line.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.Writer, c.ErrWriter = &out, &out
	err := c.Run(t.Context(), append([]string{"mtnode"}, args...))
	return out.String(), err
}

// required are the flags without a default, and --check.
var required = []string{"--check", "--node-id", "katalog-1", "--failure-domain", "vie-hall1", "--log-url", "http://127.0.21.9:8090"}

// Guards against flags whose help text lacks the unit, default or allowed range.
func TestHelp(t *testing.T) {
	out, err := runCommand(t, "--help")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "help", []byte(out))
}

// Guards against a check that prints nothing, so that users cannot see that it ran.
func TestCheck(t *testing.T) {
	out, err := runCommand(t, required...)
	if err != nil || out != "all settings are valid\n" {
		t.Errorf("got %q, %v", out, err)
	}
}

// Guards against invalid settings that are detected only when the node runs, and
// against errors that do not state the allowed values.
func TestWrongSettings(t *testing.T) {
	var report strings.Builder
	for _, tc := range []struct{ desc, args string }{
		{"capital letter in the node id", "--node-id Katalog"},
		{"node id too long", "--node-id " + strings.Repeat("a", 65)},
		{"region with a slash", "--region east/1"},
		{"empty failure domain", "--failure-domain="},
		{"host name as listener", "--caller-address localhost:80"},
		{"port 0", "--admin-address 127.0.21.1:0"},
		{"two equal listeners", "--caller-address 127.0.21.1:80 --local-address 127.0.21.1:80"},
		{"a listener on all addresses with the port of another", "--caller-address 127.0.21.1:80 --admin-address 0.0.0.0:80"},
		{"peer without a port", "--peers 127.0.21.2"},
		{"log URL without a scheme", "--log-url 127.0.21.9:80"},
		{"log URL with another scheme", "--log-url ftp://127.0.21.9"},
		{"unknown log format", "--log-format xml"},
		{"unknown log level", "--log-level loud"},
		{"log retention too short", "--log-retention 59s"},
		{"log retention too long", "--log-retention 721h"},
		{"log retention without a unit", "--log-retention 60"},
		{"log timeout too short", "--log-timeout 99ms"},
		{"default timeout too long", "--default-timeout 301s"},
		{"probe period too long", "--probe-period 11s"},
		{"unknown setting", "--unknown 1"},
	} {
		_, err := runCommand(t, append(required, strings.Fields(tc.args)...)...)
		if err == nil {
			t.Errorf("%s: no error", tc.desc)
		}
		fmt.Fprintf(&report, "%s\n  %v\n", tc.desc, err)
	}
	goldie.New(t).Assert(t, "wrong-settings", []byte(report.String()))
}

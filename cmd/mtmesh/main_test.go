package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/platform"
)

const validRoutes = `version: 1
limits: {max_body_bytes: 1048576}
services: [{name: a}]
routes: [{name: r, host: h, prefix: /r/, target: 200ms, timeout: 2s, shares: [{service: a, weight: 1}]}]
`

// Checks that each invalid setting stops the command before a node starts, with a
// message that names the setting.
func TestSettingsAreCheckedBeforeTheStart(t *testing.T) {
	routes := filepath.Join(t.TempDir(), "routes.yaml")
	if err := os.WriteFile(routes, []byte(validRoutes), 0o600); err != nil {
		t.Fatal(err)
	}
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("version: 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, "")
	for _, tc := range []struct {
		desc, args, want string
	}{
		{"no settings file", "", "--settings"},
		{"settings file missing", "--settings /nonexistent", "no such file"},
		{"valid", "standalone --check --service a --failure-domain d --routes " + routes, "all settings are valid"},
		{"no service", "standalone --check --failure-domain d", "no service"},
		{"address without port", "standalone --check --service a --failure-domain d --peer-address 127.0.0.1", "peer address"},
		{"broken routes", "standalone --check --service a --failure-domain d --routes " + broken, "invalid routes"},
		{"negative memory for headers", "standalone --check --service a --failure-domain d --header-memory-bytes -1", "for headers is negative"},
		{"too much memory for headers", "standalone --check --service a --failure-domain d --memory-bytes 100000000 --header-memory-bytes 30000000", "more than a quarter"},
		{"no body rate", "standalone --check --service a --failure-domain d --min-body-rate 0", "must be positive"},
		{"unknown log level", "standalone --service a --failure-domain d --log-level loud", "log level"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var out bytes.Buffer
			c := command()
			c.Writer, c.ErrWriter = &out, &out
			err := c.Run(t.Context(), append([]string{"mtmesh"}, strings.Fields(tc.args)...))
			text := out.String()
			if err != nil {
				text += err.Error()
			}
			if !strings.Contains(text, tc.want) {
				t.Errorf("output %q, want %q in it", text, tc.want)
			}
		})
	}
}

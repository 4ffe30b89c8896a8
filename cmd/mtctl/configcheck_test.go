package main

import (
	"bytes"
	_ "embed"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validConfig is a configuration with a version %V and a key %K.
//
//go:embed testdata/config.json.template
var validConfig string

// checkFiles runs the command on files with these contents and returns its output.
func checkFiles(t *testing.T, name, content, against string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	path, inForce := filepath.Join(dir, name), filepath.Join(dir, "in-force.json")
	for file, text := range map[string]string{path: content, inForce: against} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	args := []string{"mtctl", "-o", "json", "config", "check"}
	if against != "" {
		args = append(args, "--against", inForce)
	}
	c := command()
	var out bytes.Buffer
	c.Writer = &out
	err := c.Run(t.Context(), append(args, path))
	return out.String(), err
}

// Guards against a check that passes what nodes reject, or that doesn't say where the error is.
func TestConfigCheck(t *testing.T) {
	config := func(version, key string) string {
		return strings.NewReplacer("%V", version, "%K", key).Replace(validConfig)
	}
	yaml := "version: 1\nlimits: {max_body_bytes: 1}\nservices: [{name: s}]\nroutes:\n  - {name: r, host: h, prefix: /x, target: 1s, timeout: 1s, shares: [{service: s, weight: 1}]}\n"
	for _, tt := range []struct {
		desc, file, content, against string
		refused                      bool
		want                         string
	}{
		{"valid", "new.json", config("2", "k2"), "", false, `"findings": []`},
		{"cut off", "new.json", config("2", "k2")[:200], "", true, `"line": 5`},
		{"wrong type", "new.json", strings.Replace(config("2", "k2"), "16384", `"x"`, 1), "", false, `"kind": "restricted",
      "line": 2,
      "entry": "configuration \"limits\"",
      "message": "max_header_bytes: not a number`},
		{"shared key", "new.json", config("2", "k"), "", false, `"kind": "restricted",
      "line": 4,
      "entry": "organisation \"b\"",
      "message": "two organisations share a key"`},
		{"without version", "new.json", config("null", "k2"), "", true, "version"},
		{"not newer", "new.json", config("2", "k2"), config("2", "k2"), true, "version 2 is not above 2"},
		{"other key", "new.json", config("3", "k3"), config("2", "k2"), false, `"difference"`},
		{"invalid YAML route", "new.yaml", yaml, "", true, "needs a slash"},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			out, err := checkFiles(t, tt.file, tt.content, tt.against)
			var refused *refusedError
			if errors.As(err, &refused) != tt.refused || (err != nil && !tt.refused) {
				t.Errorf("error %v, refused %t", err, tt.refused)
			}
			if !strings.Contains(out, tt.want) {
				t.Errorf("output %s, want %s", out, tt.want)
			}
		})
	}
}

package main

import "strings"

// envName returns the environment variable of a flag.
func envName(flag string) string {
	return "MTNODE_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

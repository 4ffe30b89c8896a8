// Package ident checks the names of nodes, services, ranks and callers. All
// packages use the same rule, so that a name that one accepts is not refused by
// the next.
package ident

// MaxBytes is the length of the longest name.
const MaxBytes = 64

// Rule describes valid names, for error messages.
const Rule = "1 to 64 bytes of [a-z0-9._-]"

// Valid reports whether s is a name.
func Valid(s string) bool {
	if s == "" || len(s) > MaxBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

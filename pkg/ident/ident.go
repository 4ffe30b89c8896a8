// Package ident validates the names of nodes, services, ranks and callers. All
// packages use the same rule, so that a name accepted by one is not rejected by
// another.
package ident

// MaxBytes is the maximum length of a name.
const MaxBytes = 64

// Rule describes valid names, for error messages.
const Rule = "1 to 64 bytes of [a-z0-9._-]"

// Valid reports whether s is a valid name.
func Valid(s string) bool {
	if s == "" || len(s) > MaxBytes {
		return false
	}
	for _, c := range []byte(s) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

package ident

import (
	"strings"
	"testing"
)

// Guards against names that break headers, tokens or metric names.
func TestValid(t *testing.T) {
	for _, tt := range []struct {
		desc, name string
		want       bool
	}{
		{"plain", "vie-hall1", true},
		{"dots and underscores", "a.b_c", true},
		{"longest", strings.Repeat("x", MaxBytes), true},
		{"empty", "", false},
		{"too long", strings.Repeat("x", MaxBytes+1), false},
		{"capital", "Katalog", false},
		{"space", "a b", false},
		{"line break", "a\n", false},
		{"not ASCII", "käse", false},
	} {
		if got := Valid(tt.name); got != tt.want {
			t.Errorf("%s: Valid returned %v", tt.desc, got)
		}
	}
}

package idempotency

import (
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

func testToken(node, service string) token {
	return token{incarnation: 1<<64 - 1, issuedMs: 7, nonce: newNonce(), nodeID: node, service: service}
}

// Guards against tokens that exceed MaxTokenLength, and against an ingress that
// routes a token to the wrong node or treats a plain key as a token.
func TestParse(t *testing.T) {
	longest := strings.Repeat("x", ident.MaxBytes)
	long := testToken(longest, longest)
	short := testToken("n1", "kasse")
	text := short.encode([]byte("secret"))
	for _, c := range []struct {
		desc, key, node string
		ok              bool
	}{
		{"longest names", long.encode(nil), longest, true},
		{"short names", text, "n1", true},
		{"structured-field string", `"` + text + `"`, "n1", true},
		{"plain key", "8e03978e-40d5-43dd-bc93-6894a57f9324", "", false},
		{"empty", "", "", false},
		{"one quote", `"`, "", false},
		{"cut off", text[:len(text)-4], "", false},
		{"extended", text + "AAAA", "", false},
		{"line break inside", text[:8] + "\n" + text[8:], "", false},
		{"padding", text + "=", "", false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			node, incarnation, ok := Parse(c.key)
			if ok != c.ok || node != c.node {
				t.Fatalf("Parse(%q) = %q, %v, want %q, %v", c.key, node, ok, c.node, c.ok)
			}
			if ok && incarnation != 1<<64-1 {
				t.Errorf("incarnation %d", incarnation)
			}
			if ok && len(c.key) > MaxTokenLength {
				t.Errorf("token of %d characters", len(c.key))
			}
		})
	}
}

// Guards against panics on malformed keys, and against two text forms of one token.
func FuzzParse(f *testing.F) {
	tok := testToken("vie-hall1-a", "kasse")
	f.Add(tok.encode([]byte("secret")))
	f.Add(`""`)
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, key string) {
		d, ok := decode(key)
		if !ok {
			return
		}
		text := encoding.EncodeToString(append(append([]byte(nil), d.signed...), d.mac...))
		if bare := strings.TrimSuffix(strings.TrimPrefix(key, `"`), `"`); bare != text {
			t.Fatalf("%q and %q are the same token", key, text)
		}
		if !ident.Valid(d.nodeID) || !ident.Valid(d.service) {
			t.Fatalf("names %q, %q", d.nodeID, d.service)
		}
	})
}

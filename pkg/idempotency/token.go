package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

const (
	tokenVersion = 1
	// nonceBytes is small enough for a token with two names of 64 bytes to fit into MaxTokenLength.
	nonceBytes = 12
	macBytes   = sha256.Size
	// fixedBytes is the size of a token without the two names: version, incarnation,
	// issue time, nonce, two length bytes and MAC.
	fixedBytes = 1 + 8 + 8 + nonceBytes + 1 + 1 + macBytes

	// MaxTokenLength is the upper limit of a token's length, in characters.
	MaxTokenLength = 256
)

// encoding is strict so that each token has exactly one text form.
var encoding = base64.RawURLEncoding.Strict()

type nonce [nonceBytes]byte

// token is a decoded token. The encoded fields are: version, incarnation, issue time
// in ms, nonce, node ID and service (each with a length byte), and the HMAC-SHA256 of
// all preceding bytes.
type token struct {
	incarnation uint64
	issuedMs    uint64
	nonce       nonce
	nodeID      string
	service     string

	signed []byte
	mac    []byte
}

// issued returns the issue time, counted from the start of the issuing registry.
func (t *token) issued() time.Duration { return time.Duration(t.issuedMs) * time.Millisecond }

func (t *token) encode(secret []byte) string {
	b := make([]byte, 0, fixedBytes+len(t.nodeID)+len(t.service))
	b = append(b, tokenVersion)
	b = binary.BigEndian.AppendUint64(b, t.incarnation)
	b = binary.BigEndian.AppendUint64(b, t.issuedMs)
	b = append(b, t.nonce[:]...)
	b = append(b, byte(len(t.nodeID)))
	b = append(b, t.nodeID...)
	b = append(b, byte(len(t.service)))
	b = append(b, t.service...)
	b = append(b, sign(secret, b)...)
	return encoding.EncodeToString(b)
}

// authentic reports whether the token was signed with the secret.
func (t *token) authentic(secret []byte) bool {
	return hmac.Equal(t.mac, sign(secret, t.signed))
}

func sign(secret, message []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(message)
	return h.Sum(nil)
}

// Parse returns the node and its incarnation that a key is bound to. It accepts
// a bare token and a quoted structured-field string. It doesn't authenticate the
// token; ok is false for keys that are not tokens.
func Parse(key string) (nodeID string, incarnation uint64, ok bool) {
	t, ok := decode(key)
	if !ok {
		return "", 0, false
	}
	return t.nodeID, t.incarnation, true
}

func decode(key string) (*token, bool) {
	if n := len(key); n >= 2 && key[0] == '"' && key[n-1] == '"' {
		key = key[1 : n-1]
	}
	if len(key) > MaxTokenLength {
		return nil, false
	}
	b, err := encoding.DecodeString(key)
	if err != nil || len(b) < fixedBytes || b[0] != tokenVersion {
		return nil, false
	}
	// encoding/base64 ignores line breaks when decoding; such keys are rejected here.
	if encoding.EncodedLen(len(b)) != len(key) {
		return nil, false
	}
	signed, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	t := &token{signed: signed, mac: mac}
	t.incarnation = binary.BigEndian.Uint64(b[1:])
	t.issuedMs = binary.BigEndian.Uint64(b[9:])
	rest := signed[17:]
	rest = rest[copy(t.nonce[:], rest):]
	var ok bool
	t.nodeID, rest, ok = cutName(rest)
	if !ok {
		return nil, false
	}
	t.service, rest, ok = cutName(rest)
	return t, ok && len(rest) == 0
}

// cutName splits off a name that is preceded by its length byte.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	n := int(b[0])
	if len(b) < 1+n || !ident.Valid(string(b[1:1+n])) {
		return "", nil, false
	}
	return string(b[1 : 1+n]), b[1+n:], true
}

func newNonce() nonce {
	var n nonce
	_, _ = rand.Read(n[:]) // crypto/rand.Read never returns an error.
	return n
}

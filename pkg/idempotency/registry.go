// Package idempotency issues tokens that are bound to one incarnation of a
// sidecar, and ensures that a request with a token runs at most once.
//
// A key is recorded before its request runs, and the record is retained for
// Retention after the token expires. Until then the absence of a record proves that
// the request was not run; afterwards the outcome is unknown. All times are read
// from the registry's monotonic clock.
package idempotency

import (
	"container/list"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
)

// Defaults of Config.
const (
	DefaultTTL                   = 2 * time.Minute
	DefaultRetention             = time.Minute
	DefaultMaxTokens             = 32768
	DefaultMaxResponseBytes      = 64 << 10
	DefaultMaxTotalResponseBytes = 8 << 20
)

// Config holds the settings of a Registry. Zero values select the defaults.
type Config struct {
	// NodeID of the sidecar, at most 64 bytes of [a-z0-9._-].
	NodeID string
	// Incarnation of the sidecar.
	Incarnation uint64
	// TTL is the time within which a token may be used for a first send. Default 2 min.
	TTL time.Duration
	// Retention is the time for which a key is retained after its token expired, at most TTL. Default 1 min.
	Retention time.Duration
	// MaxTokens bounds the unexpired tokens. Default 32768.
	MaxTokens int
	// MaxResponseBytes bounds the body of one recorded response. Default 64 KiB.
	MaxResponseBytes int
	// MaxTotalResponseBytes bounds the total size of the recorded responses. Default 8 MiB.
	MaxTotalResponseBytes int
	// Now reads a monotonic clock. Default: the time since the call of New.
	Now func() time.Duration
}

// ConfigError reports an invalid setting or argument.
type ConfigError struct {
	Field string
	Rule  string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("idempotency: %s: %s", e.Field, e.Rule) }

// LimitError reports that the number of unexpired tokens has reached the limit.
type LimitError struct {
	Limit int
	// RetryAfter is the time until the oldest token expires.
	RetryAfter time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("idempotency: %d tokens are unexpired, which is the limit", e.Limit)
}

// Stats are the sizes of a registry's state.
type Stats struct {
	// Tokens is the number of unexpired tokens at the last call of Issue or the last
	// request with a valid token.
	Tokens int
	// Keys is the number of recorded keys.
	Keys int
	// ResponseBytes is the total size of the recorded responses.
	ResponseBytes int
}

// issuedToken is a token in the expiry queue.
type issuedToken struct {
	nonce   nonce
	expires time.Duration
}

// Registry issues tokens and records keys. It is safe for concurrent use and
// starts no goroutines.
type Registry struct {
	cfg    Config
	secret []byte

	mu sync.Mutex
	// latest is the highest clock reading. It keeps expired tokens expired when the clock steps back.
	latest time.Duration
	// issued is in order of issue, which is also the order of expiry because all tokens have the same TTL.
	issued []issuedToken
	// expired is the number of tokens at the head of issued that have expired.
	expired int
	keys    map[nonce]*entry
	// responses holds the entries with a recorded response, oldest first.
	responses     *list.List
	responseBytes int
}

// New returns an empty registry with a new random secret.
func New(cfg Config) (*Registry, error) {
	start := time.Now()
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.Retention, min(DefaultRetention, cfg.TTL))
	setDefault(&cfg.MaxTokens, DefaultMaxTokens)
	setDefault(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&cfg.MaxTotalResponseBytes, DefaultMaxTotalResponseBytes)
	if cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	switch {
	case !ident.Valid(cfg.NodeID):
		return nil, &ConfigError{"NodeID", "must be 1 to 64 bytes of [a-z0-9._-]"}
	case cfg.TTL < time.Millisecond:
		return nil, &ConfigError{"TTL", "must be at least 1 ms"}
	case cfg.Retention < 0 || cfg.Retention > cfg.TTL:
		return nil, &ConfigError{"Retention", "must not be longer than TTL"}
	case cfg.MaxTokens < 0 || cfg.MaxResponseBytes < 0 || cfg.MaxTotalResponseBytes < 0:
		return nil, &ConfigError{"limits", "must not be negative"}
	}
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error.
	return &Registry{cfg: cfg, secret: secret, keys: map[nonce]*entry{}, responses: list.New()}, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Issue returns a new token for a service and the time until it expires. It returns
// a *LimitError at the limit of unexpired tokens, and a *ConfigError if the service
// name is invalid.
func (r *Registry) Issue(service string) (string, time.Duration, error) {
	if !ident.Valid(service) {
		return "", 0, &ConfigError{"service", "must be 1 to 64 bytes of [a-z0-9._-]"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	if len(r.issued)-r.expired >= r.cfg.MaxTokens {
		return "", 0, &LimitError{r.cfg.MaxTokens, r.issued[r.expired].expires - now}
	}
	t := token{
		incarnation: r.cfg.Incarnation, issuedMs: uint64(now.Milliseconds()), nonce: newNonce(),
		nodeID: r.cfg.NodeID, service: service,
	}
	r.issued = append(r.issued, issuedToken{t.nonce, t.issued() + r.cfg.TTL})
	return t.encode(r.secret), r.cfg.TTL, nil
}

// Stats returns the sizes of the registry's state.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Tokens: len(r.issued) - r.expired, Keys: len(r.keys), ResponseBytes: r.responseBytes}
}

// maxRemovedPerCall bounds the keys that one call of advance removes, and with it the
// time for which the lock is held.
const maxRemovedPerCall = 256

// advance reads the clock, counts expired tokens and removes keys whose retention
// has ended. The caller holds mu.
func (r *Registry) advance() time.Duration {
	r.latest = max(r.latest, r.cfg.Now())
	for r.expired < len(r.issued) && r.issued[r.expired].expires <= r.latest {
		r.expired++
	}
	n := 0
	for n < min(r.expired, maxRemovedPerCall) && r.issued[n].expires+r.cfg.Retention <= r.latest {
		if e := r.keys[r.issued[n].nonce]; e != nil {
			r.evictResponse(e)
			delete(r.keys, r.issued[n].nonce)
		}
		n++
	}
	// The removed elements are freed when the append in Issue reallocates the slice.
	r.issued = r.issued[n:]
	r.expired -= n
	return r.latest
}

package sidecar

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// State is the state that an upstream announces for itself.
type State string

// States of an upstream.
const (
	StateWarming  State = "warming"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Announcement is what an upstream posts to the node beside it.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP:port where the upstream takes requests.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Incarnation identifies this start of the upstream.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Nonce of the last answer; empty on the first announcement.
	Nonce string `json:"nonce"`
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// Nonce to be echoed in the next announcement.
	Nonce string `json:"nonce"`
	// LeaseMs is how long the lease lasts from when the nonce was issued.
	LeaseMs int64 `json:"lease_ms"`
}

// lease tracks an upstream's announcements. It runs from when the echoed nonce
// was issued, so an announcement that was delayed in a socket does not renew it.
type lease struct {
	ttl time.Duration

	mu      sync.Mutex
	current Announcement
	nonce   string
	issued  time.Time
	expires time.Time
}

// renew takes an announcement and returns the next nonce.
func (l *lease) renew(a Announcement, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Nonce != "" && a.Nonce == l.nonce && a.Incarnation == l.current.Incarnation {
		l.expires = l.issued.Add(l.ttl)
	} else if a.Incarnation != l.current.Incarnation {
		l.expires = time.Time{}
	}
	l.current = a
	l.nonce = uuid.NewString()
	l.issued = now
	return l.nonce
}

// get returns the last announcement and whether the lease is valid.
func (l *lease) get(now time.Time) (Announcement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, now.Before(l.expires)
}

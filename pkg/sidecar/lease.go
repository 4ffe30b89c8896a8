package sidecar

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// maxNonces bounds the nonces stored per incarnation. An upstream that repeats an
// announcement echoes one of the most recent nonces.
const maxNonces = 4

// nonce is a value that the upstream echoes in its next announcement.
type nonce struct {
	value  string
	issued time.Time
}

// holder is an incarnation of the upstream that has announced itself.
type holder struct {
	// last is the last announcement that was applied, or the first one of a candidate.
	last   Announcement
	nonces []nonce
	// echoedIssueTime is the issue time of the newest nonce that was echoed.
	echoedIssueTime time.Time
}

func (h *holder) issueNonce(now time.Time) string {
	n := nonce{value: uuid.NewString(), issued: now}
	h.nonces = append(h.nonces, n)
	if len(h.nonces) > maxNonces {
		h.nonces = h.nonces[1:]
	}
	return n.value
}

func (h *holder) nonceIssueTime(value string) (time.Time, bool) {
	for _, n := range h.nonces {
		if n.value == value {
			return n.issued, true
		}
	}
	return time.Time{}, false
}

// lease tracks an upstream's announcements. Its ttl counts from the issue of the echoed
// nonce, so an announcement that was delayed in a socket does not extend it. A new
// incarnation becomes the holder once it has echoed a nonce. A lease is safe for
// concurrent use.
type lease struct {
	ttl time.Duration

	mu      sync.Mutex
	current holder
	// candidate is a new incarnation that has not yet echoed a nonce.
	candidate holder
	expires   time.Time
	// replaced is closed when another incarnation announces itself.
	replaced chan struct{}
}

// renew processes an announcement and returns the next nonce. It reports whether
// the announcement was applied.
func (l *lease) renew(a Announcement, now time.Time) (nextNonce string, applied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Incarnation == l.current.last.Incarnation {
		applied = l.update(a)
		return l.current.issueNonce(now), applied
	}
	if a.Incarnation != l.candidate.last.Incarnation {
		l.candidate = holder{last: a}
		l.signalReplacement()
	}
	issued, ok := l.candidate.nonceIssueTime(a.Nonce)
	if !ok || !now.Before(issued.Add(l.ttl)) {
		return l.candidate.issueNonce(now), false
	}
	l.current, l.candidate = l.candidate, holder{}
	l.current.last, l.current.echoedIssueTime = a, issued
	l.expires = issued.Add(l.ttl)
	return l.current.issueNonce(now), true
}

// update processes an announcement of the current incarnation. One that echoes an
// old nonce can only start a drain, since its other fields may be out of date.
func (l *lease) update(a Announcement) bool {
	issued, ok := l.current.nonceIssueTime(a.Nonce)
	if ok && issued.After(l.current.echoedIssueTime) {
		l.current.last, l.current.echoedIssueTime = a, issued
		l.expires = issued.Add(l.ttl)
		return true
	}
	if a.State == StateDraining && l.current.last.State != StateDraining {
		l.current.last.State = StateDraining
		return true
	}
	return false
}

// signalReplacement wakes the requests that wait for evidence of a crash.
func (l *lease) signalReplacement() {
	if l.replaced != nil {
		close(l.replaced)
	}
	l.replaced = make(chan struct{})
}

// replacement returns a channel that is closed when another incarnation announces itself.
func (l *lease) replacement() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replaced == nil {
		l.replaced = make(chan struct{})
	}
	return l.replaced
}

// end ends the lease of an incarnation and removes its nonces, so that delayed
// announcements do not renew it. It reports whether a lease ended.
func (l *lease) end(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.last.Incarnation != incarnation || l.expires.IsZero() {
		return false
	}
	l.expires = time.Time{}
	l.current.nonces = nil
	return true
}

// get returns the last announcement and whether the lease is valid.
func (l *lease) get(now time.Time) (Announcement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.last, now.Before(l.expires)
}

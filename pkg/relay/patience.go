package relay

import (
	"slices"
	"time"
)

const (
	// statedKept is the number of stated times that a route's usual one is taken from:
	// some seconds of work at one node.
	statedKept = 64
	// longStated is the quantile of the stated times that counts as the longest. A
	// caller with far more time than all others must not make these look late.
	longStated = 0.95
	// firstStated is the least part of the longest time that callers state when they
	// first send a request: the users' callers draw it from 0.85 to 1.
	firstStated = 0.85
)

// patience estimates how long ago a caller first sent a request from the time that it
// states to wait. Callers count down over their own retries, and differ in their time.
//
// Load pattern: in a burst most requests are new, and others come back after a
// refusal. A new one that is taken for one that comes back looks as if it could not
// meet its target any more, and is refused behind less urgent work.
type patience struct {
	stated []time.Duration
	next   int
	// longest is taken from the stated times when many of them are new.
	longest time.Duration
}

// observe takes the time that a caller states.
func (p *patience) observe(stated time.Duration) {
	if len(p.stated) < statedKept {
		p.stated = append(p.stated, stated)
	} else {
		p.stated[p.next] = stated
	}
	p.next = (p.next + 1) % statedKept
	if len(p.stated) < statedKept || p.next%(statedKept/8) == 0 {
		sorted := slices.Clone(p.stated)
		slices.Sort(sorted)
		p.longest = sorted[int(longStated*float64(len(sorted)-1))]
	}
}

// spent returns the expected time since the request was first sent. It is zero if the
// caller may well be sending it for the first time.
func (p *patience) spent(stated time.Duration) time.Duration {
	first := time.Duration(firstStated * float64(p.longest))
	if stated >= first {
		return 0
	}
	return (first+p.longest)/2 - stated
}

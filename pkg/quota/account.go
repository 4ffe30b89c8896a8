package quota

import (
	"math"
	"time"
)

// Result is the decision on a request.
type Result int

// Results.
const (
	// Admitted requests may run.
	Admitted Result = iota
	// Pending requests wait for the owner's reply.
	Pending
	// Refused requests don't run.
	Refused
)

// account is a node's state of one organisation.
type account struct {
	key   Key
	limit Limit
	// owner is the member to which the node reports, at the generation of the members.
	owner      string
	generation uint64

	spent, held int64
	// heldUntil is when unused tokens are returned.
	heldUntil time.Duration
	// overdraft is the number of requests that may be admitted beyond held, or 0 while the
	// organisation is metered.
	overdraft int64
	// open is set if the owner has last said so.
	open bool
	// waiting is the number of requests that wait for a token.
	waiting int64
	// sequence is that of the message with the last report, or 0. Replies to others are ignored.
	sequence uint64
	// unanswered is the number of reports since the last reply, from unansweredSince on.
	unanswered              int
	sentAt, unansweredSince time.Duration
	// repliedAt is when the last reply arrived.
	repliedAt time.Duration
	interval  time.Duration
	// retryAt is when there is likely to be room.
	retryAt time.Duration
	// changedAt is when the first request after the last report was admitted or refused.
	changedAt time.Duration
	changed   bool

	// arrived is the number of requests, demand their rate.
	arrived  int64
	demand   rate
	refusals uint64
	// usualShare is the node's share of the requests that an owner sent at usualAt.
	usualShare float64
	usualAt    time.Duration
	// share is the bucket of the node while it can't reach an owner, filled at shareAt.
	share   float64
	shareAt time.Duration
	// isolatedAt is when the share was last used.
	isolatedAt time.Duration
}

// longAgo is earlier than all other times.
const longAgo = -time.Hour

func newAccount(key Key, limit Limit) *account {
	return &account{key: key, limit: limit, repliedAt: longAgo, sentAt: longAgo, isolatedAt: longAgo, usualAt: longAgo}
}

// forgetOwner drops what the last owner has said, except for tokens.
func (a *account) forgetOwner() {
	a.open, a.overdraft, a.sequence, a.unanswered, a.repliedAt, a.sentAt = false, 0, 0, 0, longAgo, longAgo
	// The next owner doesn't know of requests that were admitted without tokens.
	a.changed = a.changed || a.spent > a.held
}

// arrive counts a request.
func (a *account) arrive(now time.Duration) {
	a.arrived++
	a.demand.add(now, 1)
}

// touch records that there is something to report.
func (a *account) touch(now time.Duration) {
	if !a.changed {
		a.changed, a.changedAt = true, now
	}
}

// tryAdmit admits a request if the owner's last word allows it.
func (a *account) tryAdmit(now time.Duration) bool {
	room := a.held - a.spent
	if a.open && now-a.repliedAt > openLife {
		room += 1
	} else if a.open {
		room += a.overdraft
	}
	if room <= 0 {
		return false
	}
	a.spent++
	a.touch(now)
	return true
}

// mustAsk reports whether the node should ask the owner for the state of the organisation.
func (a *account) mustAsk(now time.Duration) bool {
	return !a.open && a.idle() && now-max(a.repliedAt, a.sentAt) > askAfter
}

// refund takes back an admitted request.
func (a *account) refund(now time.Duration) {
	if a.spent > 0 && now-a.isolatedAt > refundAfter {
		a.spent--
		a.touch(now)
	}
}

// mayWait reports whether a reply may soon admit another request: there is likely to be room, or the
// node hasn't heard from the owner since its next report was due.
func (a *account) mayWait(now time.Duration) bool {
	overdue := now-a.repliedAt > max(minInterval, a.interval)+resendDelay
	return !a.lost(now) && (a.open || overdue || now >= a.retryAt)
}

// lost reports whether the owner doesn't answer.
func (a *account) lost(now time.Duration) bool {
	return a.owner == "" || a.unanswered >= minUnanswered && now-a.unansweredSince >= suspectAfter
}

// idle reports whether there is nothing to send or to return.
func (a *account) idle() bool {
	return !a.changed && a.waiting == 0 && a.unanswered == 0 && a.held <= a.spent
}

// expire returns unused tokens.
func (a *account) expire(now time.Duration) {
	if a.held > a.spent && now >= a.heldUntil {
		a.held = a.spent
		a.touch(now)
	}
}

// due returns when the next report must be sent, and false if there is nothing to report.
func (a *account) due() (time.Duration, bool) {
	switch {
	case a.unanswered > 0 && a.waiting > 0:
		return a.sentAt + urgentResendDelay, true
	case a.unanswered > 0:
		return a.sentAt + resendDelay*time.Duration(1+a.unanswered)/2, true
	case a.waiting > 0:
		return a.sentAt, true
	case !a.changed:
		return 0, false
	case a.open && 2*(a.spent-a.held) >= a.overdraft:
		return a.sentAt, true
	case a.open:
		return a.changedAt + max(reportDelay, a.interval), true
	default:
		return max(a.changedAt, a.sentAt+max(minInterval, a.interval)), true
	}
}

// report returns the report to send in the message with the sequence.
func (a *account) report(now time.Duration, sequence uint64) Report {
	if a.unanswered == 0 {
		a.unansweredSince = now
	}
	a.unanswered++
	a.sequence, a.sentAt, a.changed = sequence, now, false
	// Nodes with few requests ask for tokens when they need them, so that few lie idle.
	want := a.waiting + int64(math.Round(a.demand.at(now)*max(minInterval, a.interval).Seconds()))
	return Report{Key: a.key, Spent: a.spent, Held: a.held, Want: max(0, want-max(0, a.held-a.spent)), Arrived: a.arrived, SharePermille: int64(permille * a.toldShare(now))}
}

// apply processes the reply to the last report.
func (a *account) apply(now time.Duration, r Reply) {
	a.unanswered, a.sequence, a.repliedAt = 0, 0, now
	if r.Held > a.held {
		a.held, a.heldUntil = r.Held, a.sentAt+tokenLife
	}
	a.open, a.overdraft = r.Overdraft > 0, r.Overdraft
	if r.SharePermille > 0 {
		a.usualShare, a.usualAt = float64(r.SharePermille)/permille, now
	}
	a.interval = time.Duration(r.IntervalMillis) * time.Millisecond
	a.retryAt = now + time.Duration(r.RetryMillis)*time.Millisecond
}

// admitIsolated decides on a request without an owner, by a share of the limit of its own: a part of
// the node's last share of the requests, or half of rate/members, and some requests in each window. alone is set if the node hears of no other;
// otherwise all nodes may be without the owner. The owner leaves out the shares of members that it
// doesn't hear of, so these requests are not reported.
func (a *account) admitIsolated(now time.Duration, members int, alone bool, bound Bound, random float64) bool {
	n, fraction := float64(members), 1.0
	if alone {
		fraction = isolatedFraction
	}
	allowance := min(1, isolatedShare*bound.reserve(a.limit)/(fraction*n))
	part := a.limit.Rate / n / 2
	if share := a.toldShare(now); share > 0 {
		part = isolatedRate * a.limit.Rate * share
		allowance = isolatedShare * bound.reserve(a.limit) * share / fraction
	}
	if now-a.isolatedAt > bound.Window {
		a.shareAt, a.share = now, math.Floor(allowance+random)
	}
	rate := part + allowance/bound.Window.Seconds()
	a.share = min(max(1, allowance), a.share+(now-a.shareAt).Seconds()*rate)
	a.shareAt, a.isolatedAt = now, now
	if a.share < 1 {
		return false
	}
	a.share--
	return true
}

// toldShare returns the node's share of the requests by an owner's last word, or 0 if it is too old.
func (a *account) toldShare(now time.Duration) float64 {
	if now-a.usualAt > shareLife {
		return 0
	}
	return a.usualShare
}

// retryAfter returns when a refused caller should return. Callers that are refused together are
// spread over half to one and a half times of the wait.
func (a *account) retryAfter(now time.Duration) time.Duration {
	wait := max(a.retryAt-now, time.Duration(float64(time.Second)/max(a.limit.Rate, 1)), minInterval)
	a.refusals++
	_, spread := math.Modf(float64(a.refusals) * goldenRatio)
	return time.Duration(float64(wait) * (0.5 + spread))
}

// refundAfter is the time after a request without an owner in which nothing is refunded: requests
// without an owner are not counted.
const refundAfter = 2 * time.Second

// shareLife is the time for which a node without an owner uses its last share of the requests.
const shareLife = 30 * time.Second

// goldenRatio spreads a sequence evenly over an interval.
const goldenRatio = 0.6180339887498949

// Package quota limits the requests of organisations over all nodes of a fleet. It decides without
// clock, socket or log: package mesh passes the time and the messages.
//
// Each organisation has an owner, the live member with the highest rendezvous hash, whose Ledger
// holds the token bucket. Nodes admit requests at once while the bucket is well filled and report
// them afterwards. Below that level they admit requests only with tokens that the owner has lent
// them.
//
// Load pattern: dozens of organisations with uneven rates over 59 nodes, or thousands over 1,600;
// most of them send far below their limit from any node, and one sends several times its limit
// while nodes are killed, stalled or cut off from all others.
package quota

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrInvalid marks a message with values out of range.
var ErrInvalid = errors.New("invalid quota message")

// Key identifies an organisation: a hash of its name.
type Key uint64

// Limit is the limit of an organisation over all nodes.
type Limit struct{ Rate, Burst float64 }

// Bound is what may run beyond the limit in a window: at most
// (rate x Window + burst) x (1 + Overage) + Slack requests.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultBound applies to deployments that set no bound.
var DefaultBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Shares of the reserve, which is what the bound allows beyond the limit in a window. They add up to
// less than one.
const (
	// depthShare is added to the burst as the depth of the bucket, so that tokens which are lent
	// and reports which are on their way leave the burst to the callers.
	depthShare = 0.5
	// takeoverShare is the level with which a new owner starts. A window can span several changes of
	// owner.
	takeoverShare = 0.05
	// overdraftShare bounds what nodes may admit before their reports are answered.
	overdraftShare = 0.25
	// isolatedShare is for the single requests of nodes that can't reach an owner.
	isolatedShare = 0.12
	// isolatedFraction is the fraction of the nodes that may be cut off at the same time.
	isolatedFraction = 0.3
)

// isolatedRate is the part of its share of the limit that a node may run while it can't reach an
// owner. Usual load is 1/1.6 of the limit. The owner lends the rest, which is also what is left if
// the missing nodes were killed and their callers have moved.
const isolatedRate = 0.5

// reserve returns the number of requests that the bound allows beyond the limit in a window.
func (b Bound) reserve(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// Max returns the maximum number of requests in a window.
func (b Bound) Max(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst + b.reserve(l) }

// depth returns the depth of the bucket.
func (b Bound) depth(l Limit) float64 { return max(1, l.Burst+depthShare*b.reserve(l)) }

// Limits of the exchange between nodes and owners.
const (
	// reportDelay is how long a node at least collects requests that it has admitted before it reports
	// them, unless they use half of what it may admit without an answer.
	reportDelay = 50 * time.Millisecond
	// minInterval is the minimum time between two reports of a node on a metered organisation.
	minInterval = 100 * time.Millisecond
	// intervalPerNode limits the replies of an owner to 100 per second, about 7 KB/s.
	intervalPerNode = 10 * time.Millisecond
	// maxInterval keeps the reports of large fleets within the life of lent tokens.
	maxInterval = 800 * time.Millisecond
	// resendDelay is the time after which an unanswered report is sent again. It grows with each
	// repetition, so that the reply of a stalled owner is still accepted.
	resendDelay = 100 * time.Millisecond
	// urgentResendDelay is the same while a request waits for the reply.
	urgentResendDelay = 20 * time.Millisecond
	// tokenLife is the time after which a node returns tokens that it has not used. It starts with
	// the report for which they were lent.
	tokenLife = time.Second
	// MaxWait is the longest time that a request waits for a token.
	MaxWait = 50 * time.Millisecond
	// suspectAfter is the time without an answer after which a node takes an owner for lost. Stalls
	// of nodes are mostly shorter. The next owner waits for as long before it takes over.
	suspectAfter = 350 * time.Millisecond
	// minUnanswered is the number of unanswered messages for that. Single ones are lost.
	minUnanswered = 3
	// isolatedAfter is the time without any message after which a node is cut off. Members send
	// this node at least four statuses per second together.
	isolatedAfter = 600 * time.Millisecond
	// startAlone is the time after the start in which a node that hears of no other is no owner.
	startAlone = 1200 * time.Millisecond
	// stallThreshold is the time between two calls of Outgoing above which the process was stalled.
	// Messages that arrived meanwhile are not processed yet.
	stallThreshold = 200 * time.Millisecond
	// maxRefill is the time for which the bucket is refilled at most at once. An owner that was
	// stalled for longer may have been replaced.
	maxRefill = 500 * time.Millisecond
	// openLife is the time after which a node admits only one request on the owner's last word that
	// an organisation is open.
	openLife = 10 * time.Second
	// askInterval limits how often a node asks for the state of organisations for which it has no
	// requests, so that the next request need not wait. That is at most 20 messages per second.
	askInterval = 50 * time.Millisecond
	// askAfter is the age of the owner's word on a metered organisation after which a node asks.
	askAfter = 2 * time.Second
	// askScan is the number of organisations that are considered for each question.
	askScan = 64
	// openDemand is the part of the limit up to which the demand lets a metered organisation become
	// open again while its tokens are lent.
	openDemand = 0.9
	// minDemand is the rate of requests from which on a node counts as active. It is what one request
	// leaves after two seconds.
	minDemand = 0.13
	// demandTime is the time constant of the moving average of the demand.
	demandTime = time.Second
	// missedRequests is the number of requests of a node that are expected in a silence after which the
	// owner counts it as missing, before the time of its next status.
	missedRequests = 4
	// shareTime is the same for the shares of the nodes.
	shareTime = 8 * time.Second
	// forgetAfter is the time after which an owner forgets a node without reports. Tokens that it
	// held count as used.
	forgetAfter = 10 * time.Second
)

// Report tells the owner of an organisation what a node has admitted. It invalidates all replies to
// earlier reports of the node, so each report carries the whole state and a lost message needs no
// correction.
type Report struct {
	Key Key
	// Spent is the number of requests that the node's process has admitted, without those that have
	// not run.
	Spent int64
	// Held is the number that it may admit with lent tokens.
	Held int64
	// Want is the number of further tokens that it can use.
	Want int64
	// Arrived is the number of requests that the process has received.
	Arrived int64
	// SharePermille is the node's share of the requests by the last word of an owner.
	SharePermille int64
}

// Reply is the owner's reply to a report, or its message that an organisation is metered now.
type Reply struct {
	Key Key
	// NotOwner is set if the sender is not the owner.
	NotOwner bool
	// Held is the number of requests that the node may admit now.
	Held int64
	// Overdraft is the number of further requests that it may admit before the next reply. It is
	// not positive if the organisation is metered.
	Overdraft int64
	// IntervalMillis is the time between two reports.
	IntervalMillis int64
	// SharePermille is the node's share of the requests in the last seconds.
	SharePermille int64
	// RetryMillis is the time until there is likely to be room for another request.
	RetryMillis int64
}

// Message is what nodes send each other. A message without replies and with Echo zero is answered.
type Message struct {
	From        string
	Incarnation int64
	Sequence    uint64
	// Echo and EchoIncarnation are those of the message that this one answers.
	Echo            uint64
	EchoIncarnation int64
	Reports         []Report
	Replies         []Reply
}

// Outbound is a message for a node.
type Outbound struct {
	To string
	Message
}

// Ranges of values in messages.
const (
	maxCount  = math.MaxInt64 / 4
	maxTokens = 1 << 30
	maxMillis = 1 << 32
	// permille is the highest share.
	permille = 1000
	// MaxEntries is the maximum number of reports and of replies in a message. They fit into one
	// datagram.
	MaxEntries = 20
)

// Validate checks the ranges of the values. Errors wrap ErrInvalid.
func (m Message) Validate() error {
	if m.Incarnation < 1 || m.EchoIncarnation < 0 || len(m.Reports) > MaxEntries || len(m.Replies) > MaxEntries {
		return fmt.Errorf("%w: incarnations %d and %d, %d reports, %d replies", ErrInvalid, m.Incarnation, m.EchoIncarnation, len(m.Reports), len(m.Replies))
	}
	for _, r := range m.Reports {
		if outside(r.Spent, maxCount) || outside(r.Held, maxCount) || r.Held-r.Spent > maxTokens || r.Spent-r.Held > maxTokens || outside(r.Want, maxTokens) || outside(r.Arrived, maxCount) || outside(r.SharePermille, permille) {
			return fmt.Errorf("%w: report %+v", ErrInvalid, r)
		}
	}
	for _, r := range m.Replies {
		if outside(r.Held, maxCount) || outside(r.Overdraft, maxTokens) || outside(r.IntervalMillis, maxMillis) || outside(r.RetryMillis, maxMillis) || outside(r.SharePermille, permille) {
			return fmt.Errorf("%w: reply %+v", ErrInvalid, r)
		}
	}
	return nil
}

func outside(n, limit int64) bool { return n < 0 || n > limit }

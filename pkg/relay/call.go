// Package relay carries requests of callers to upstreams: the Ingress takes them
// from callers and sends each to a node beside an upstream of the right service,
// and the Sidecar of that node runs it at the upstream.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// Names are the headers that callers and upstreams understand.
type Names struct {
	// RequestID identifies one request of a caller.
	RequestID string
	// AnswerID repeats the request's id in answers of upstreams; empty if they don't.
	AnswerID string
	// TimeoutMillis tells how long the caller will wait.
	TimeoutMillis string
	// Seal is on every answer that an upstream made; empty if answers have none.
	Seal string
	// ExpectUpstream names the only upstream that may run the request.
	ExpectUpstream string
	// UpstreamID names the upstream in its answers.
	UpstreamID string
	// NotRun is on answers of upstreams that did not run the request.
	NotRun string
	// Load carries the load of the upstream in its answers.
	Load string
	// CallerService tells upstreams the service that the request comes from.
	CallerService string
	// ParseLoad decodes the load header.
	ParseLoad func(string) (UpstreamLoad, bool)
}

// UpstreamLoad is the load that an upstream states.
type UpstreamLoad struct {
	Running, Waiting, Slots int
	// Pace is how long work takes compared to usual, or 0 if it is not stated.
	Pace float64
}

// Call is a request on its way to one upstream.
type Call struct {
	ID                string
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Rest is what follows Body, or nil.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64

	// Service is the service that must run the call.
	Service string
	// Upstream is the id of the upstream that was chosen, or empty for any.
	Upstream string
	// Caller is the service that the request comes from.
	Caller string
	// Class is the name of the route.
	Class string
	// Rank, Target and Timeout are those of the route. TargetLeft may be negative.
	Rank               int
	Target, TargetLeft time.Duration
	// Timeout is the time that is left for the answer.
	Timeout    time.Duration
	Idempotent bool
}

// Kind tells how a call ended.
type Kind string

// Kinds of results.
const (
	// Answered calls have the upstream's own answer.
	Answered Kind = "answered"
	// Refused calls have not run and never will. The upstream did not see them.
	Refused Kind = "refused"
	// Declined calls reached the upstream, which stated that it did not run them.
	Declined Kind = "declined"
	// Failed calls may have run.
	Failed Kind = "failed"
)

// Reasons of calls that failed on the way to another node.
const (
	// ReasonPeerUnreachable is for a node that takes no connections.
	ReasonPeerUnreachable = "peer-unreachable"
	// ReasonPeerFailed is for a node that gave no answer.
	ReasonPeerFailed = "peer-failed"

	// reasonCallerLeft is for a call that nobody waits for any more.
	reasonCallerLeft = "caller-left"
)

// Result is how a call ended at one upstream.
type Result struct {
	Kind   Kind
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body, or nil. It must be closed.
	Rest   io.ReadCloser
	Length int64
	// Reason tells why a call was refused, declined or failed.
	Reason string
	// Detail is for logs only.
	Detail     string
	RetryAfter time.Duration
	// Waited is the time that the call waited for a slot.
	Waited time.Duration
	// Ran is the time from then to the answer.
	Ran time.Duration
	// State is the upstream's state when the call ended; its ID is empty if it is not known.
	State roster.Upstream
	// TimedOut is set for failed calls whose time ran out.
	TimedOut bool
}

func (r *Result) close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

// Errors of the layers below, as relay tells them.
var errPeer = errors.New("peer hop failed")

// Peers sends calls to the sidecar of another node.
type Peers interface {
	// Call never returns nil. The context's end cancels the call at the other node.
	Call(ctx context.Context, address string, c *Call) *Result
}

func failed(reason string, timedOut bool) *Result {
	return &Result{Kind: Failed, Reason: reason, TimedOut: timedOut}
}

func refused(reason string, retryAfter time.Duration) *Result {
	return &Result{Kind: Refused, Reason: reason, RetryAfter: retryAfter}
}

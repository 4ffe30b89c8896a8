// Package relay forwards requests of callers to upstreams. The Ingress receives
// them from callers and sends each to a node beside an upstream of the requested
// service. The Sidecar of that node runs it at the upstream.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// HeaderNames are the names of the headers that callers and upstreams use.
type HeaderNames struct {
	// RequestID identifies one request of a caller.
	RequestID string
	// ResponseID repeats the request's id in responses of upstreams; empty if they
	// don't send it.
	ResponseID string
	// ResponseIDOptional is set if upstreams may omit ResponseID or send another one.
	ResponseIDOptional bool
	// TimeoutMillis is the time limit of the caller.
	TimeoutMillis string
	// Seal is in every response that an upstream generated; empty if there is no
	// such header.
	Seal string
	// ExpectUpstream names the only upstream that may run the request.
	ExpectUpstream string
	// UpstreamID names the upstream in its responses.
	UpstreamID string
	// NotRun is in responses of upstreams that did not run the request.
	NotRun string
	// Load is the load of the upstream in its responses.
	Load string
	// CallerService is the service that the request comes from.
	CallerService string
	// Credentials holds the key of the caller's organisation after KeyScheme.
	Credentials, KeyScheme string
	// Organisation names the organisation of the caller to the upstream.
	Organisation string
	// Cold is how many milliseconds the upstream stays cold, in its health responses; empty
	// if there is no such header.
	Cold string
	// ParseLoad decodes the load header.
	ParseLoad func(string) (UpstreamLoad, bool)
}

// UpstreamLoad is the load that an upstream reports.
type UpstreamLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the factor by which requests take longer than normal (1 is normal
	// speed), or 0 if it is not reported.
	Slowdown float64
}

// Call is a request to one upstream.
type Call struct {
	ID                string
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Rest is the remainder of the body after Body, or nil.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64

	// Service is the service that must run the call.
	Service string
	// Upstream is the id of the chosen upstream, or empty for any.
	Upstream string
	// Caller is the service that the request comes from.
	Caller string
	// Organisation is the name of the caller's organisation, or empty.
	Organisation string
	// Class is the name of the route.
	Class string
	// Rank is that of the organisation, then of the route. Target is that of the route.
	// TargetLeft is the rest of the target and may be negative.
	Rank               int
	Target, TargetLeft time.Duration
	// Timeout is the time left until the response is due.
	Timeout    time.Duration
	Idempotent bool

	// buffer holds Body.
	buffer *bodybuf.Buffer
}

// Kind is the outcome of a call.
type Kind string

// Kinds of results.
const (
	// Completed calls have a response of the upstream.
	Completed Kind = "answered"
	// Rejected calls did not reach the upstream and will not run.
	Rejected Kind = "refused"
	// Declined calls reached the upstream, which reported that it did not run them.
	Declined Kind = "declined"
	// Failed calls may have run.
	Failed Kind = "failed"
)

// Reasons of calls that failed between nodes.
const (
	// ReasonPeerUnreachable is for a node that accepts no connections.
	ReasonPeerUnreachable = "peer-unreachable"
	// ReasonPeerFailed is for a node that sent no response.
	ReasonPeerFailed = "peer-failed"

	// reasonCallerDisconnected is for a call whose caller has disconnected or timed out.
	reasonCallerDisconnected = "caller-left"
)

// Result is the result of a call at one upstream.
type Result struct {
	Kind   Kind
	Status int
	Header http.Header
	Body   []byte
	// Rest is the remainder of the body after Body, or nil. It must be closed.
	Rest   io.ReadCloser
	Length int64
	// Reason is why a call was rejected, declined or failed.
	Reason string
	// Detail is for logs only.
	Detail     string
	RetryAfter time.Duration
	// Waited is the time that the call waited for a slot.
	Waited time.Duration
	// RunTime is the time from the start at the upstream to the response.
	RunTime time.Duration
	// State is the upstream's state when the call ended; State.ID is empty if it is
	// unknown.
	State roster.Upstream
	// TimedOut is set for failed calls that exceeded their time limit.
	TimedOut bool

	// buffer holds Body.
	buffer *bodybuf.Buffer
	// encoded is the header in the form that is sent before Body, or nil.
	encoded io.Reader
}

// close closes the rest of the body and releases its beginning.
func (r *Result) close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
	r.buffer.Release()
}

// errPeer is wrapped by errors of the transfer between nodes.
var errPeer = errors.New("peer hop failed")

// Peers sends calls to the sidecar of another node.
type Peers interface {
	// Call never returns nil. Cancelling the context cancels the call at the other node.
	Call(ctx context.Context, address string, c *Call) *Result
}

func failed(reason string, timedOut bool) *Result {
	return &Result{Kind: Failed, Reason: reason, TimedOut: timedOut}
}

func rejected(reason string, retryAfter time.Duration) *Result {
	return &Result{Kind: Rejected, Reason: reason, RetryAfter: retryAfter}
}

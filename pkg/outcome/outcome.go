// Package outcome defines what the system reports to a caller about the execution of
// its request: the outcome values, the header names and the problem documents of
// failures.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request was executed by an upstream.
type Outcome string

const (
	// Run means that an upstream executed the request and its response is complete.
	Run Outcome = "run"
	// NotRun means that no upstream started to execute the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "unknown"
)

// Headers between callers and nodes.
const (
	HeaderService        = "Mulberrytray-Service"
	HeaderRank           = "Mulberrytray-Rank"
	HeaderTimeout        = "Mulberrytray-Timeout-Ms"
	HeaderCaller         = "Mulberrytray-Caller"
	HeaderDepth          = "Mulberrytray-Depth"
	HeaderOutcome        = "Mulberrytray-Outcome"
	HeaderServedBy       = "Mulberrytray-Served-By"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
)

// Headers between nodes only. They are removed before a message reaches a caller or an
// upstream.
const (
	HeaderTargetIncarnation = "Mulberrytray-Target-Incarnation"
	HeaderQueue             = "Mulberrytray-Queue"
	HeaderFingerprint       = "Mulberrytray-Fingerprint"
	HeaderAttempt           = "Mulberrytray-Attempt"
	HeaderLoad              = "Mulberrytray-Load"
	HeaderReason            = "Mulberrytray-Reason"
	// HeaderIsolate names the only node that may run a quarantined request.
	HeaderIsolate = "Mulberrytray-Isolate"
)

// Values of HeaderQueue.
const (
	// QueueNoWait makes the sidecar reject the request at once if no slot is free.
	QueueNoWait = "no-wait"
	// QueueWait allows the sidecar to queue the request.
	QueueWait = "wait"
)

// Reason is the machine-readable cause of a rejection or failure. It is the last
// path segment of a problem's type URI.
type Reason string

// Reasons of rejections and failures.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownRank      Reason = "unknown-rank"
	ReasonTooLarge         Reason = "too-large"
	ReasonTooDeep          Reason = "too-deep"
	ReasonHTTPVersion      Reason = "http-version"
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonBusy             Reason = "busy"
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonLeaseLapsed      Reason = "lease-lapsed"
	ReasonIncarnation      Reason = "incarnation"
	ReasonTokenRequired    Reason = "token-required"
	ReasonTokenInvalid     Reason = "token-invalid"
	ReasonTokenExpired     Reason = "token-expired"
	ReasonTokenLost        Reason = "token-lost"
	ReasonTokenConflict    Reason = "token-conflict"
	ReasonTokenMismatch    Reason = "token-mismatch"
	ReasonQuarantined      Reason = "quarantined"
	ReasonUpstreamFailed   Reason = "upstream-failed"
	ReasonUpstreamCrashed  Reason = "upstream-crashed"
	ReasonNodeUnreachable  Reason = "node-unreachable"
	ReasonCancelled        Reason = "cancelled"
	ReasonInvalidAnswer    Reason = "invalid-answer"
	ReasonInternal         Reason = "internal"
	ReasonMethodNotAllowed Reason = "method-not-allowed"
)

// ProblemTypeBase prefixes the reason in a problem's type URI.
const ProblemTypeBase = "urn:mulberrytray:problem:"

// Problem is an RFC 9457 problem document with the extensions of this system.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Field     string  `json:"field,omitempty"`
	RequestID string  `json:"request_id,omitempty"`

	// Reason is the last segment of Type.
	Reason Reason `json:"-"`
	// RetryAfter is sent as a Retry-After header, rounded up to seconds, if positive.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose type and title follow from the reason and the status.
func New(status int, reason Reason, o Outcome, detail string) *Problem {
	return &Problem{
		Type:    ProblemTypeBase + string(reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: o,
		Reason:  reason,
	}
}

// WithField names the request field that caused the problem.
func (p *Problem) WithField(field string) *Problem {
	p.Field = field
	return p
}

// WithRetryAfter sets the delay after which the caller may retry.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

func (p *Problem) Error() string {
	return string(p.Reason) + ": " + p.Detail
}

// Write sends the problem as the whole response.
func (p *Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{"title":"internal error"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set(HeaderReason, string(p.Reason))
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

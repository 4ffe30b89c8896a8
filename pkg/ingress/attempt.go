package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/load"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/routing"
	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// exchange is the state of one caller's request while it is handled.
type exchange struct {
	*call
	r           *http.Request
	start       time.Time
	deadline    time.Time
	body        *body
	fingerprint string
	// externalTime is the time spent waiting for the caller or for sidecars.
	externalTime time.Duration
	retries      int
}

// attemptResult is the result of one attempt: a response with a checked header, or a problem.
type attemptResult struct {
	attempt *routing.Attempt
	resp    *http.Response
	cancel  context.CancelFunc
	problem *outcome.Problem
	// isolationNode is the only node that may run a quarantined request.
	isolationNode string
}

func failedResult(p *outcome.Problem) *attemptResult { return &attemptResult{problem: p} }

// discard cancels the attempt and closes its response.
func (a *attemptResult) discard() {
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
		a.attempt.Done(routing.Abandoned, nil)
	}
}

// sendAttempt sends the request to the sidecar of the attempt and checks the header of
// the response. The response body is closed or owned by the returned result.
func (g *Ingress) sendAttempt(ctx context.Context, x *exchange, attempt *routing.Attempt, b io.ReadCloser, queue string, number int) *attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	a := &attemptResult{attempt: attempt, cancel: cancel}
	var tracker writeTracker
	out := x.outgoing(tracker.trace(ctx), attempt.Candidate, b, queue, number)
	resp, err := g.transport.RoundTrip(out)
	if err != nil {
		a.problem = g.roundTripFailure(ctx, x, a, &tracker, err)
		cancel()
		return a
	}
	a.problem = g.checkResponse(x, a, resp, number)
	if a.problem != nil {
		cancel()
		_ = resp.Body.Close()
		return a
	}
	a.resp = resp
	attempt.RecordResponse(resp.StatusCode, reportedLoad(resp))
	return a
}

// outgoing returns the request that is sent to the sidecar.
func (x *exchange) outgoing(ctx context.Context, c routing.Candidate, b io.ReadCloser, queue string, number int) *http.Request {
	out := x.r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", c.PeerAddress
	out.Header = x.outgoingHeader()
	h := out.Header
	h.Set(outcome.HeaderTargetIncarnation, strconv.FormatUint(c.Incarnation, 10))
	h.Set(outcome.HeaderQueue, queue)
	h.Set(outcome.HeaderAttempt, strconv.Itoa(number))
	h.Set(outcome.HeaderTimeout, strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10))
	out.TransferEncoding, out.GetBody = nil, nil
	out.Body, out.ContentLength, out.Trailer = b, x.r.ContentLength, x.r.Trailer
	switch {
	case !x.body.complete:
		h.Set("Expect", "100-continue")
	case len(x.r.Trailer) > 0:
		out.ContentLength = -1
	case len(x.body.prefix) == 0 && !transportResends(x.r.Method):
		out.Body, out.ContentLength = http.NoBody, 0
	default:
		out.ContentLength = int64(len(x.body.prefix))
	}
	return out
}

// transportResends reports whether http.Transport resends requests that have this
// method and no body. To prevent that, such a request gets an empty body that the
// transport can't rewind. The transport finds it empty before it writes the request,
// so it sends no body.
func transportResends(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// outgoingHeader returns the caller's header without internal and hop-by-hop fields,
// with the fields that the sidecar requires.
func (x *exchange) outgoingHeader() http.Header {
	h := http.Header{}
	stream.CopyHeader(h, x.r.Header)
	for _, list := range x.r.Header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range internalHeaders {
		h.Del(name)
	}
	h.Del("Expect")
	h.Del(outcome.HeaderIdempotencyKey)
	if x.key != "" {
		setIdempotencyKey(h, x.r.Header.Values(outcome.HeaderIdempotencyKey))
	}
	if len(h.Values("User-Agent")) == 0 {
		// Without this, http.Transport sets its default User-Agent.
		h.Set("User-Agent", "")
	}
	h.Set(outcome.HeaderService, x.service.Name)
	h.Set(outcome.HeaderRank, x.rank.Name)
	h.Set(outcome.HeaderCaller, x.caller)
	h.Set(outcome.HeaderDepth, strconv.Itoa(x.depth))
	h.Set(outcome.HeaderRequestID, x.id)
	h.Set(outcome.HeaderFingerprint, x.fingerprint)
	return h
}

// roundTripFailure converts the error of a failed round trip to a problem.
func (g *Ingress) roundTripFailure(ctx context.Context, x *exchange, a *attemptResult, tracker *writeTracker, err error) *outcome.Problem {
	o := outcome.Unknown
	if tracker.nothingSent() {
		o = outcome.NotRun
	}
	bodyErr := x.body.callerError()
	switch {
	case errors.Is(bodyErr, errBodyLimit):
		a.attempt.Done(routing.Abandoned, nil)
		return tooLarge(x.service.MaxBodyBytes, o)
	case bodyErr != nil:
		a.attempt.Done(routing.Abandoned, nil)
		return outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, o, "the body broke off").WithField("body")
	case ctx.Err() != nil:
		a.attempt.Done(routing.Abandoned, nil)
		return contextProblem(ctx, o)
	}
	a.attempt.Done(routing.Failed, nil)
	if o == outcome.NotRun {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNodeUnreachable, o, err.Error()).WithRetryAfter(time.Second)
	}
	return outcome.New(http.StatusBadGateway, outcome.ReasonNodeUnreachable, o, err.Error())
}

// statusClientClosed is the non-standard status that proxies use for requests that the
// caller cancelled.
const statusClientClosed = 499

func contextProblem(ctx context.Context, o outcome.Outcome) *outcome.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, o, "the deadline passed")
	}
	p := outcome.New(statusClientClosed, outcome.ReasonCancelled, o, "the caller cancelled the request")
	p.Title = "Client Closed Request"
	return p
}

// checkResponse returns a problem unless an upstream ran the request and the response
// belongs to this attempt.
func (g *Ingress) checkResponse(x *exchange, a *attemptResult, resp *http.Response, number int) *outcome.Problem {
	if !g.echoMatches(x, resp, number) {
		a.attempt.Done(routing.Failed, nil)
		return invalidResponse("the answer belongs to another request")
	}
	switch o := outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)); o {
	case outcome.NotRun:
		a.isolationNode = resp.Header.Get(outcome.HeaderIsolate)
		p := sidecarProblem(resp, o)
		a.attempt.Done(rejectionVerdict(p.Reason), reportedLoad(resp))
		return p
	case outcome.Unknown:
		p := sidecarProblem(resp, o)
		a.attempt.Done(unknownVerdict(p.Reason), reportedLoad(resp))
		return p
	case outcome.Run:
	default:
		a.attempt.Done(routing.Failed, nil)
		return invalidResponse("the answer has no outcome")
	}
	if !stream.ValidStatus(resp.StatusCode) {
		a.attempt.Done(routing.Failed, nil)
		return invalidResponse("the status of the answer is none of HTTP")
	}
	if unframed(x.r.Method, resp) {
		a.attempt.Done(routing.Failed, nil)
		return invalidResponse("the answer has neither a length nor chunks")
	}
	return nil
}

// unframed reports whether only the end of the connection marks the end of the
// response. If such a response is truncated, it looks complete.
func unframed(method string, resp *http.Response) bool {
	return method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func invalidResponse(detail string) *outcome.Problem {
	return outcome.New(http.StatusBadGateway, outcome.ReasonInvalidAnswer, outcome.Unknown, detail)
}

// rejectionVerdict returns Failed for an upstream that can't be reached, although the
// request was not run. Otherwise its low latency would attract more requests.
func rejectionVerdict(r outcome.Reason) routing.Verdict {
	if r == outcome.ReasonUpstreamFailed {
		return routing.Failed
	}
	return routing.Rejected
}

// unknownVerdict returns Failed if the reason is evidence against the upstream.
func unknownVerdict(r outcome.Reason) routing.Verdict {
	switch r {
	case outcome.ReasonUpstreamFailed, outcome.ReasonUpstreamCrashed, outcome.ReasonInvalidAnswer:
		return routing.Failed
	}
	return routing.Abandoned
}

// echoMatches reports whether the response repeats the id and attempt number of this
// request. A response without an attempt number matches unless RequireEcho is set.
func (g *Ingress) echoMatches(x *exchange, resp *http.Response, number int) bool {
	attempt := resp.Header.Get(outcome.HeaderAttempt)
	if attempt == "" {
		return !g.cfg.RequireEcho
	}
	return attempt == strconv.Itoa(number) && resp.Header.Get(outcome.HeaderRequestID) == x.id
}

// reportedLoad returns the load in the response header, or nil if there is no valid one.
func reportedLoad(resp *http.Response) *pb.Load {
	s := resp.Header.Get(outcome.HeaderLoad)
	if s == "" {
		return nil
	}
	l, err := load.Decode(s)
	if err != nil {
		return nil
	}
	return l
}

// maxProblemBytes bounds a problem document read from a sidecar.
const maxProblemBytes = 8 << 10

// sidecarProblem reads the rejection or failure that a sidecar reports.
func sidecarProblem(resp *http.Response, o outcome.Outcome) *outcome.Problem {
	reason := outcome.Reason(resp.Header.Get(outcome.HeaderReason))
	p := outcome.New(resp.StatusCode, reason, o, "")
	var doc outcome.Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&doc); err == nil {
		p.Detail, p.Field = doc.Detail, doc.Field
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.RetryAfter = time.Duration(seconds) * time.Second
	}
	return p
}

// deliver streams the response to the caller. If the response is truncated, the
// caller's connection or stream is aborted, so that it never looks complete.
func (g *Ingress) deliver(w http.ResponseWriter, x *exchange, a *attemptResult) {
	defer a.cancel()
	began := time.Now()
	h := w.Header()
	stream.CopyHeader(h, a.resp.Header)
	for _, name := range internalHeaders {
		h.Del(name)
	}
	h.Set(outcome.HeaderRequestID, x.id)
	h.Set(outcome.HeaderOutcome, string(outcome.Run))
	h.Set(outcome.HeaderServedBy, a.attempt.Candidate.NodeID)
	declared := map[string]bool{}
	for name := range a.resp.Trailer {
		h.Add("Trailer", name)
		declared[name] = true
	}
	w.WriteHeader(a.resp.StatusCode)
	upstreamBody := &errorRecorder{Reader: a.resp.Body}
	err := stream.CopyBody(w, upstreamBody)
	_ = a.resp.Body.Close()
	x.externalTime += time.Since(began)
	if err != nil {
		g.abortTruncated(x, a, upstreamBody.err, err)
	}
	for name, values := range a.resp.Trailer {
		if !declared[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	a.attempt.Done(routing.Completed, nil)
	g.record(x, "answer", a.attempt.Candidate.NodeID, "complete, status "+strconv.Itoa(a.resp.StatusCode))
}

// errorRecorder stores the error of reading the sidecar's response, to distinguish it
// from an error of writing to the caller.
type errorRecorder struct {
	io.Reader
	err error
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// abortTruncated records a truncated response and aborts the caller's connection.
func (g *Ingress) abortTruncated(x *exchange, a *attemptResult, readErr, err error) {
	v := routing.Failed
	if readErr == nil || x.r.Context().Err() != nil || !time.Now().Before(x.deadline) {
		v = routing.Abandoned
	}
	a.attempt.Done(v, nil)
	g.record(x, "answer", a.attempt.Candidate.NodeID, "broken off: "+err.Error())
	g.metrics.countTruncated(x)
	panic(http.ErrAbortHandler)
}

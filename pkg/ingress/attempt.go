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

// exchange is one request of a caller while it is handled.
type exchange struct {
	*call
	r           *http.Request
	start       time.Time
	deadline    time.Time
	body        *body
	fingerprint string
	// outside is time spent waiting for the caller or for sidecars.
	outside time.Duration
	retries int
}

// answer is the result of one attempt: a response whose header was checked, or a problem.
type answer struct {
	send    *routing.Send
	resp    *http.Response
	cancel  context.CancelFunc
	problem *outcome.Problem
	// isolate is the only node that may run the request.
	isolate string
}

func failed(p *outcome.Problem) *answer { return &answer{problem: p} }

// discard gives up an answer that nobody waits for.
func (a *answer) discard() {
	a.cancel()
	if a.resp != nil {
		_ = a.resp.Body.Close()
		a.send.Done(routing.Abandoned, nil)
	}
}

// attempt sends the request to one sidecar and checks the header of the answer.
// The body is closed or owned by the returned answer.
func (g *Ingress) attempt(ctx context.Context, x *exchange, s *routing.Send, b io.ReadCloser, queue string, number int) *answer {
	ctx, cancel := context.WithCancel(ctx)
	a := &answer{send: s, cancel: cancel}
	var sent proof
	out := x.outgoing(sent.trace(ctx), s.Candidate, b, queue, number)
	resp, err := g.peers.RoundTrip(out)
	if err != nil {
		a.problem = g.roundTripFailure(ctx, x, a, &sent, err)
		cancel()
		return a
	}
	a.problem = g.checkAnswer(x, a, resp, number)
	if a.problem != nil {
		cancel()
		_ = resp.Body.Close()
		return a
	}
	a.resp = resp
	s.Answer(resp.StatusCode, reportedLoad(resp))
	return a
}

// outgoing returns the request for the sidecar.
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
	case !x.body.whole:
		h.Set("Expect", "100-continue")
	case len(x.r.Trailer) > 0:
		out.ContentLength = -1
	case len(x.body.prefix) == 0 && !resendable(x.r.Method):
		out.Body, out.ContentLength = http.NoBody, 0
	default:
		out.ContentLength = int64(len(x.body.prefix))
	}
	return out
}

// resendable reports whether http.Transport resends requests of the method that
// have no body. They get an empty body that it can't rewind; it is found empty
// before the request is written, so that nothing of it is sent.
func resendable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

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
		setKey(h, x.r.Header.Values(outcome.HeaderIdempotencyKey))
	}
	if len(h.Values("User-Agent")) == 0 {
		// Without this http.Transport adds its own name.
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

// roundTripFailure converts the error of a request without an answer.
func (g *Ingress) roundTripFailure(ctx context.Context, x *exchange, a *answer, sent *proof, err error) *outcome.Problem {
	o := outcome.Unknown
	if sent.nothingSent() {
		o = outcome.NotRun
	}
	bodyErr := x.body.failure()
	switch {
	case errors.Is(bodyErr, errBodyLimit):
		a.send.Done(routing.Abandoned, nil)
		return tooLarge(x.service.MaxBodyBytes, o)
	case bodyErr != nil:
		a.send.Done(routing.Abandoned, nil)
		return outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, o, "the body broke off").WithField("body")
	case ctx.Err() != nil:
		a.send.Done(routing.Abandoned, nil)
		return contextProblem(ctx, o)
	}
	a.send.Done(routing.Failed, nil)
	if o == outcome.NotRun {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonNodeUnreachable, o, err.Error()).WithRetryAfter(time.Second)
	}
	return outcome.New(http.StatusBadGateway, outcome.ReasonNodeUnreachable, o, err.Error())
}

// statusClientClosed is the customary status of requests that the caller cancelled.
const statusClientClosed = 499

func contextProblem(ctx context.Context, o outcome.Outcome) *outcome.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, o, "the deadline passed")
	}
	p := outcome.New(statusClientClosed, outcome.ReasonCancelled, o, "the caller cancelled the request")
	p.Title = "Client Closed Request"
	return p
}

// checkAnswer returns a problem unless the response is the answer of an upstream
// to this attempt.
func (g *Ingress) checkAnswer(x *exchange, a *answer, resp *http.Response, number int) *outcome.Problem {
	if !g.echoed(x, resp, number) {
		a.send.Done(routing.Failed, nil)
		return invalidAnswer("the answer belongs to another request")
	}
	switch o := outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)); o {
	case outcome.NotRun:
		a.isolate = resp.Header.Get(outcome.HeaderIsolate)
		p := sidecarProblem(resp, o)
		a.send.Done(refusalVerdict(p.Reason), reportedLoad(resp))
		return p
	case outcome.Unknown:
		p := sidecarProblem(resp, o)
		a.send.Done(unknownVerdict(p.Reason), reportedLoad(resp))
		return p
	case outcome.Run:
	default:
		a.send.Done(routing.Failed, nil)
		return invalidAnswer("the answer has no outcome")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols || unframed(x.r.Method, resp) {
		a.send.Done(routing.Failed, nil)
		return invalidAnswer("the answer has neither a length nor chunks")
	}
	return nil
}

// unframed reports whether only the end of the connection ends the answer, so
// that a truncated one looks complete.
func unframed(method string, resp *http.Response) bool {
	return method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func invalidAnswer(detail string) *outcome.Problem {
	return outcome.New(http.StatusBadGateway, outcome.ReasonInvalidAnswer, outcome.Unknown, detail)
}

// refusalVerdict counts an upstream that can't be reached as failed, although the
// request was not run: its quick refusals would attract work.
func refusalVerdict(r outcome.Reason) routing.Verdict {
	if r == outcome.ReasonUpstreamFailed {
		return routing.Failed
	}
	return routing.Refused
}

func unknownVerdict(r outcome.Reason) routing.Verdict {
	switch r {
	case outcome.ReasonUpstreamFailed, outcome.ReasonUpstreamCrashed, outcome.ReasonInvalidAnswer:
		return routing.Failed
	}
	return routing.Abandoned
}

// echoed reports whether the answer names this request and attempt.
func (g *Ingress) echoed(x *exchange, resp *http.Response, number int) bool {
	attempt := resp.Header.Get(outcome.HeaderAttempt)
	if attempt == "" {
		return !g.cfg.RequireEcho
	}
	return attempt == strconv.Itoa(number) && resp.Header.Get(outcome.HeaderRequestID) == x.id
}

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

// maxProblemBytes bounds the problem documents read from sidecars.
const maxProblemBytes = 8 << 10

// sidecarProblem reads the refusal or failure that a sidecar reports.
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

// deliver streams the answer to the caller. An answer that breaks off ends in an
// aborted connection or stream, never in one that looks complete.
func (g *Ingress) deliver(w http.ResponseWriter, x *exchange, a *answer) {
	defer a.cancel()
	began := time.Now()
	h := w.Header()
	stream.CopyHeader(h, a.resp.Header)
	for _, name := range internalHeaders {
		h.Del(name)
	}
	h.Set(outcome.HeaderRequestID, x.id)
	h.Set(outcome.HeaderOutcome, string(outcome.Run))
	h.Set(outcome.HeaderServedBy, a.send.Candidate.NodeID)
	announced := map[string]bool{}
	for name := range a.resp.Trailer {
		h.Add("Trailer", name)
		announced[name] = true
	}
	w.WriteHeader(a.resp.StatusCode)
	from := &watchedReader{Reader: a.resp.Body}
	err := stream.CopyBody(w, from)
	_ = a.resp.Body.Close()
	x.outside += time.Since(began)
	if err != nil {
		g.broken(x, a, from.err, err)
	}
	for name, values := range a.resp.Trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
	a.send.Done(routing.Completed, nil)
	g.note(x, "answer", a.send.Candidate.NodeID, "complete, status "+strconv.Itoa(a.resp.StatusCode))
}

// watchedReader remembers the error of the reader, to tell a sidecar that broke
// off from a caller that went away.
type watchedReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// broken records an answer that broke off and aborts the caller's connection.
func (g *Ingress) broken(x *exchange, a *answer, readErr, err error) {
	v := routing.Failed
	if readErr == nil || x.r.Context().Err() != nil || !time.Now().Before(x.deadline) {
		v = routing.Abandoned
	}
	a.send.Done(v, nil)
	g.note(x, "answer", a.send.Candidate.NodeID, "broken off: "+err.Error())
	g.metrics.truncated(x)
	panic(http.ErrAbortHandler)
}

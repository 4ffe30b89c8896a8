package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// Limits of upstream connections.
const (
	maxConnections         = 200
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 64 << 10
	continueTimeout        = time.Second
	idleConnLifetime       = 4 * time.Second // below the 5 s after which common servers close idle connections
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: dialGated, MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections,
		IdleConnTimeout: idleConnLifetime, ExpectContinueTimeout: continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableCompression: true,
	}
}

// dispatch runs a request that holds a slot. A failure before the start of the
// response is stored in the call, so that Config.Execute can handle it before the
// caller receives it.
func (s *Sidecar) dispatch(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(callKey{}).(*call)
	a, _ := s.lease.get(time.Now())
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.gate = &writeGate{
		requestID: c.forwarded.requestID, cancel: cancel, check: func() *outcome.Problem { return s.blocked(r.Context(), a.Incarnation) },
		ended: func() bool { return r.Context().Err() != nil },
	}
	if r.ContentLength != 0 {
		c.gate.interruptBody = func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
	}
	if c.problem = c.gate.check(); c.problem != nil {
		return
	}
	c.replaced = s.lease.replacement()
	prepareConnection(w, r)
	resp, err := s.transport.RoundTrip(upstreamRequest(c.gate.trace(ctx), r, a.Address, c.forwarded))
	c.gate.finish()
	if err != nil {
		c.problem = s.roundTripFailure(r.Context(), c, a, err)
		return
	}
	defer resp.Body.Close()
	if c.gate.closeIfRepeated(resp.Header.Get(outcome.HeaderRequestID)) {
		result := outcome.NotRun
		if c.gate.seal() {
			result = outcome.Unknown
		}
		c.problem = outcome.New(http.StatusBadGateway, outcome.ReasonInvalidAnswer, result, "the upstream answered an earlier request again")
		return
	}
	if c.problem = invalidResponse(r.Method, resp); c.problem != nil {
		return
	}
	if refused(resp) {
		defer s.closeIfExhausted(c.gate)
		if !c.gate.recordRefusal(c.forwarded.requestID, resp.Header.Get(outcome.HeaderRequestID)) {
			c.problem = outcome.New(http.StatusBadGateway, outcome.ReasonInvalidAnswer, outcome.Unknown, "the refusal may belong to another request")
			return
		}
	}
	if c.gate.continued.Load() {
		// If the caller received the final header before the 100 Continue, it
		// would not send its body. A second 100 Continue is harmless.
		w.WriteHeader(http.StatusContinue)
	}
	if err := copyResponse(w, r, resp); err != nil {
		c.crashed = r.Context().Err() == nil && s.refusesConnections(a)
		panic(http.ErrAbortHandler)
	}
}

// closeIfExhausted closes the connection after maxRefusedIDs refusals. It closes all idle
// connections, because the transport may already have reused this one for another request.
func (s *Sidecar) closeIfExhausted(g *writeGate) {
	if g.exhausted() {
		s.transport.CloseIdleConnections()
	}
}

// bodyGrace is the time from the request's deadline to the read deadline of its
// body. A caller that stops sending its body receives the deadline response before
// its connection fails.
const bodyGrace = time.Second

// prepareConnection enables full duplex on the caller's connection and sets the read
// deadline of the request body.
func prepareConnection(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	// Without full duplex the server would read the whole request body before
	// it sends the first byte of the response.
	_ = control.EnableFullDuplex()
	if r.ContentLength == 0 {
		return
	}
	// The server reads the rest of the body after the handler has returned. Without
	// a deadline a caller that stops sending would delay a graceful stop.
	deadline, _ := r.Context().Deadline()
	_ = control.SetReadDeadline(deadline.Add(bodyGrace))
}

// blocked returns the problem that prevents sending the request now, or nil.
func (s *Sidecar) blocked(ctx context.Context, incarnation string) *outcome.Problem {
	if p := s.unavailable(); p != nil {
		return p
	}
	if a, _ := s.lease.get(time.Now()); a.Incarnation != incarnation {
		return outcome.New(http.StatusServiceUnavailable, outcome.ReasonLeaseLapsed, outcome.NotRun, "the upstream was replaced")
	}
	deadline, _ := ctx.Deadline()
	if !time.Now().Before(deadline) {
		return contextProblem(context.DeadlineExceeded, outcome.NotRun)
	}
	if err := ctx.Err(); err != nil {
		return contextProblem(err, outcome.NotRun)
	}
	return nil
}

// contextProblem describes a request whose context ended.
func contextProblem(err error, o outcome.Outcome) *outcome.Problem {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.New(http.StatusGatewayTimeout, outcome.ReasonDeadline, o, "the deadline passed")
	}
	return outcome.New(statusClientClosed, outcome.ReasonCancelled, o, "the caller left")
}

// upstreamRequest builds the request that is sent to the upstream.
func upstreamRequest(ctx context.Context, r *http.Request, address string, f forwarded) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", address
	out.Header = http.Header{}
	stream.CopyHeader(out.Header, r.Header)
	stream.StripInternal(out.Header)
	out.Trailer = r.Trailer // filled while the body is read, so it must be the same map
	out.GetBody, out.Close = nil, false
	// Closing the server's body would read the rest of it, which the caller may never send.
	out.Body = io.NopCloser(r.Body)
	if r.ContentLength == 0 {
		out.Body = nil
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // prevents the transport's own value
	}
	deadline, _ := ctx.Deadline()
	out.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(remainingMs(deadline), 10))
	out.Header.Set(outcome.HeaderRank, f.rank)
	out.Header.Set(outcome.HeaderDepth, strconv.Itoa(f.depth))
	out.Header.Set(outcome.HeaderRequestID, f.requestID)
	out.Header.Set(outcome.HeaderCaller, f.caller)
	return out
}

// roundTripFailure returns the problem of a round trip without a response.
func (s *Sidecar) roundTripFailure(ctx context.Context, c *call, a Announcement, err error) *outcome.Problem {
	ctx, cancel := c.gate.failureContext(ctx)
	defer cancel()
	result := outcome.NotRun
	if c.gate.seal() {
		result = outcome.Unknown
	}
	switch {
	case c.gate.rejection != nil:
		return c.gate.rejection
	case ctx.Err() != nil:
		return contextProblem(ctx.Err(), result)
	case result == outcome.Unknown && s.hasCrashed(ctx, c, a):
		c.crashed = true
		return outcome.New(http.StatusBadGateway, outcome.ReasonUpstreamCrashed, outcome.Unknown, "the upstream crashed while it ran the request")
	}
	return outcome.New(http.StatusBadGateway, outcome.ReasonUpstreamFailed, result, err.Error())
}

// invalidResponse returns a problem for protocol upgrades and for responses whose
// truncation could not be detected, or nil.
func invalidResponse(method string, resp *http.Response) *outcome.Problem {
	detail := ""
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		detail = "the upstream switched protocols"
	case !stream.ValidStatus(resp.StatusCode):
		detail = "the status of the upstream's answer is none of HTTP"
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		detail = "the upstream's answer has neither a length nor chunks"
	}
	if detail == "" {
		return nil
	}
	return outcome.New(http.StatusBadGateway, outcome.ReasonInvalidAnswer, outcome.Run, detail)
}

// refused reports whether the response states that the upstream did not run the request.
func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun)
}

// copyResponse forwards the upstream's response. An error means that it was
// truncated.
func copyResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) error {
	h := w.Header()
	stream.CopyHeader(h, resp.Header)
	stream.StripInternal(h)
	h.Del(outcome.HeaderServedBy)
	h.Set(outcome.HeaderOutcome, string(outcome.Run))
	if refused(resp) {
		h.Set(outcome.HeaderOutcome, string(outcome.NotRun))
		h.Set(outcome.HeaderReason, string(outcome.ReasonOverload))
	}
	stream.AnnounceTrailer(h, resp.Trailer)
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	// Without a write deadline, a caller that does not read would occupy the slot
	// past the request's deadline.
	deadline, _ := r.Context().Deadline()
	_ = control.SetWriteDeadline(deadline)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if resp.ContentLength < 0 {
		_ = control.Flush()
	}
	if err := stream.CopyBody(w, resp.Body); err != nil {
		return err
	}
	stream.CopyTrailer(h, resp.Trailer)
	return nil
}

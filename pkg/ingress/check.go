package ingress

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Limits of what callers may send.
const (
	maxHeaderBytes    = 16 << 10
	maxRequestIDBytes = 128
	maxKeyBytes       = 256
	maxTimeoutMs      = 300_000
	maxDepth          = 26
)

// singleHeaders may occur once in a request.
var singleHeaders = []string{
	outcome.HeaderService, outcome.HeaderRank, outcome.HeaderTimeout, outcome.HeaderCaller,
	outcome.HeaderDepth, outcome.HeaderRequestID, outcome.HeaderIdempotencyKey, outcome.HeaderAttempt,
}

// internalHeaders are set by nodes only.
var internalHeaders = []string{
	outcome.HeaderTargetIncarnation, outcome.HeaderQueue, outcome.HeaderFingerprint,
	outcome.HeaderAttempt, outcome.HeaderLoad, outcome.HeaderReason, outcome.HeaderIsolate,
}

// call is a checked request.
type call struct {
	id      string
	service intent.Service
	rank    intent.Rank
	caller  string
	timeout time.Duration
	// depth is that of the call at the upstream.
	depth int
	// attempt is the number of system retries at earlier hops.
	attempt int
	key     string
}

func refuse(status int, reason outcome.Reason, field, detail string) *outcome.Problem {
	return outcome.New(status, reason, outcome.NotRun, detail).WithField(field)
}

func badRequest(field, detail string) *outcome.Problem {
	return refuse(http.StatusBadRequest, outcome.ReasonBadRequest, field, detail)
}

// checkProtocol refuses what can't be forwarded at all.
func checkProtocol(r *http.Request) *outcome.Problem {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return refuse(http.StatusHTTPVersionNotSupported, outcome.ReasonHTTPVersion, "", "HTTP/1.0 can't tell a truncated answer from a whole one")
	case r.Method == http.MethodConnect:
		return refuse(http.StatusNotImplemented, outcome.ReasonMethodNotAllowed, "", "CONNECT is not supported")
	case r.Method == http.MethodTrace:
		return refuse(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, "", "TRACE is not allowed")
	case len(r.Header.Values("Upgrade")) > 0:
		return refuse(http.StatusNotImplemented, outcome.ReasonBadRequest, "Upgrade", "protocol upgrades are not supported")
	case headerBytes(r) > maxHeaderBytes:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, "", "the header is larger than 16 KiB")
	}
	if e := r.Header.Get("Expect"); e != "" && !strings.EqualFold(e, "100-continue") {
		return refuse(http.StatusExpectationFailed, outcome.ReasonBadRequest, "Expect", "only 100-continue can be expected")
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest(name, "the header occurs more than once")
		}
	}
	return nil
}

// headerBytes returns the size of the request line and header as in HTTP/1.1.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.URL.RequestURI()) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) (string, *outcome.Problem) {
	id := r.Header.Get(outcome.HeaderRequestID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > maxRequestIDBytes || !visible(id) {
		return uuid.NewString(), badRequest(outcome.HeaderRequestID, "must be at most 128 bytes of visible ASCII")
	}
	return id, nil
}

// checkCall reads the headers of the call.
func checkCall(r *http.Request, id string, in *intent.Intent, defaultTimeout time.Duration) (*call, *outcome.Problem) {
	c := &call{id: id}
	for _, check := range []func() *outcome.Problem{
		func() *outcome.Problem { return c.readService(r, in) },
		func() *outcome.Problem { return c.readRank(r, in) },
		func() *outcome.Problem { return c.readTimeout(r, defaultTimeout) },
		func() *outcome.Problem { return c.readDepth(r) },
		func() *outcome.Problem { return c.readAttempt(r) },
		func() *outcome.Problem { return c.readCaller(r) },
		func() *outcome.Problem { return c.readKey(r) },
	} {
		if p := check(); p != nil {
			return nil, p
		}
	}
	if r.ContentLength > c.service.MaxBodyBytes {
		return nil, tooLarge(c.service.MaxBodyBytes, outcome.NotRun)
	}
	return c, nil
}

func tooLarge(limit int64, o outcome.Outcome) *outcome.Problem {
	return outcome.New(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, o,
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes").WithField("body")
}

func (c *call) readService(r *http.Request, in *intent.Intent) *outcome.Problem {
	name := r.Header.Get(outcome.HeaderService)
	if name == "" {
		name, _, _ = strings.Cut(r.Host, ".")
	}
	var ok bool
	if !ident.Valid(name) {
		return badRequest(outcome.HeaderService, "must be at most 64 bytes of [a-z0-9._-]")
	}
	if c.service, ok = in.Service(name); !ok {
		return refuse(http.StatusNotFound, outcome.ReasonUnknownService, outcome.HeaderService, "unknown service "+strconv.Quote(name))
	}
	return nil
}

func (c *call) readRank(r *http.Request, in *intent.Intent) *outcome.Problem {
	name := r.Header.Get(outcome.HeaderRank)
	if name == "" && len(in.Ranks) == 1 {
		c.rank = in.Ranks[0]
		return nil
	}
	if name == "" {
		return badRequest(outcome.HeaderRank, "the header is required")
	}
	var ok bool
	if c.rank, ok = in.Rank(name); !ok {
		return refuse(http.StatusBadRequest, outcome.ReasonUnknownRank, outcome.HeaderRank, "unknown rank "+strconv.Quote(name))
	}
	return nil
}

func (c *call) readTimeout(r *http.Request, byDefault time.Duration) *outcome.Problem {
	ms, p := number(r, outcome.HeaderTimeout, 1, maxTimeoutMs, int(byDefault.Milliseconds()))
	c.timeout = time.Duration(ms) * time.Millisecond
	return p
}

func (c *call) readDepth(r *http.Request) *outcome.Problem {
	const anyDepth = 1 << 20
	depth, p := number(r, outcome.HeaderDepth, 0, anyDepth, 0)
	if p == nil && depth > maxDepth {
		p = refuse(http.StatusLoopDetected, outcome.ReasonTooDeep, outcome.HeaderDepth, "the call chain is deeper than 26")
	}
	c.depth = depth + 1
	return p
}

// readAttempt accepts the attempt number from callers, because upstreams pass it
// on with their own calls. A caller can only give up retries with it.
func (c *call) readAttempt(r *http.Request) *outcome.Problem {
	const anyAttempt = 1 << 20
	var p *outcome.Problem
	c.attempt, p = number(r, outcome.HeaderAttempt, 0, anyAttempt, 0)
	return p
}

func (c *call) readCaller(r *http.Request) *outcome.Problem {
	c.caller = r.Header.Get(outcome.HeaderCaller)
	if c.caller == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		c.caller = host
		return nil
	}
	if !ident.Valid(c.caller) {
		return badRequest(outcome.HeaderCaller, "must be at most 64 bytes of [a-z0-9._-]")
	}
	return nil
}

func (c *call) readKey(r *http.Request) *outcome.Problem {
	values := r.Header.Values(outcome.HeaderIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	key, ok := parseKey(values[0])
	if !ok {
		return badRequest(outcome.HeaderIdempotencyKey, "must be a string of 1 to 256 bytes, quoted or bare")
	}
	c.key = key
	return nil
}

// parseKey decodes a quoted structured-field string (RFC 9651) or a bare key of
// visible ASCII.
func parseKey(s string) (string, bool) {
	if !strings.HasPrefix(s, `"`) {
		return s, len(s) > 0 && len(s) <= maxKeyBytes && visible(s) && !strings.ContainsAny(s, `"\,;`)
	}
	var key strings.Builder
	for i := 1; i < len(s); i++ {
		switch ch := s[i]; {
		case ch == '"':
			return key.String(), i == len(s)-1 && key.Len() > 0 && key.Len() <= maxKeyBytes
		case ch == '\\':
			i++
			if i == len(s) || (s[i] != '"' && s[i] != '\\') {
				return "", false
			}
			key.WriteByte(s[i])
		case ch < ' ' || ch > '~':
			return "", false
		default:
			key.WriteByte(ch)
		}
	}
	return "", false
}

func number(r *http.Request, field string, least, most, byDefault int) (int, *outcome.Problem) {
	s := r.Header.Get(field)
	if s == "" && len(r.Header.Values(field)) == 0 {
		return byDefault, nil
	}
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil || int(n) < least || int(n) > most {
		return 0, badRequest(field, "must be a whole number from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
	}
	return int(n), nil
}

func visible(s string) bool {
	for _, ch := range []byte(s) {
		if ch <= ' ' || ch > '~' {
			return false
		}
	}
	return true
}

// idempotent reports whether RFC 9110 allows a request to be sent again.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

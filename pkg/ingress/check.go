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

// Limits on requests of callers.
const (
	maxHeaderBytes    = 16 << 10
	maxRequestIDBytes = 128
	maxKeyBytes       = 256
	maxTimeoutMs      = 300_000
	maxDepth          = 26
)

// singleHeaders may occur at most once in a request.
var singleHeaders = []string{
	outcome.HeaderService, outcome.HeaderRank, outcome.HeaderTimeout, outcome.HeaderCaller,
	outcome.HeaderDepth, outcome.HeaderRequestID, outcome.HeaderIdempotencyKey, outcome.HeaderAttempt,
}

// internalHeaders may be set only by nodes.
var internalHeaders = []string{
	outcome.HeaderTargetIncarnation, outcome.HeaderQueue, outcome.HeaderFingerprint,
	outcome.HeaderAttempt, outcome.HeaderLoad, outcome.HeaderReason, outcome.HeaderIsolate,
}

// call holds the validated headers of a request.
type call struct {
	id      string
	service intent.Service
	rank    intent.Rank
	caller  string
	timeout time.Duration
	// depth is the call depth that the upstream receives.
	depth int
	// earlierRetries is the number of retries by nodes at earlier hops.
	earlierRetries int
	// key is the idempotency key, or empty.
	key string
}

func reject(status int, reason outcome.Reason, field, detail string) *outcome.Problem {
	return outcome.New(status, reason, outcome.NotRun, detail).WithField(field)
}

func badRequest(field, detail string) *outcome.Problem {
	return reject(http.StatusBadRequest, outcome.ReasonBadRequest, field, detail)
}

// checkProtocol rejects requests that can't be forwarded at all.
func checkProtocol(r *http.Request) *outcome.Problem {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return reject(http.StatusHTTPVersionNotSupported, outcome.ReasonHTTPVersion, "", "HTTP/1.0 can't tell a truncated answer from a whole one")
	case r.Method == http.MethodConnect:
		return reject(http.StatusNotImplemented, outcome.ReasonMethodNotAllowed, "", "CONNECT is not supported")
	case r.Method == http.MethodTrace:
		return reject(http.StatusMethodNotAllowed, outcome.ReasonMethodNotAllowed, "", "TRACE is not allowed")
	case len(r.Header.Values("Upgrade")) > 0:
		return reject(http.StatusNotImplemented, outcome.ReasonBadRequest, "Upgrade", "protocol upgrades are not supported")
	case headerBytes(r) > maxHeaderBytes:
		return reject(http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonTooLarge, "", "the header is larger than 16 KiB")
	}
	if e := r.Header.Get("Expect"); e != "" && !strings.EqualFold(e, "100-continue") {
		return reject(http.StatusExpectationFailed, outcome.ReasonBadRequest, "Expect", "only 100-continue can be expected")
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest(name, "the header occurs more than once")
		}
	}
	return nil
}

// headerBytes returns the size that the request line and header have in HTTP/1.1.
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
	if len(id) > maxRequestIDBytes || !visibleASCII(id) {
		return uuid.NewString(), badRequest(outcome.HeaderRequestID, "must be at most 128 bytes of visible ASCII")
	}
	return id, nil
}

// checkCall reads and validates the headers of the call.
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
		return reject(http.StatusNotFound, outcome.ReasonUnknownService, outcome.HeaderService, "unknown service "+strconv.Quote(name))
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
		return reject(http.StatusBadRequest, outcome.ReasonUnknownRank, outcome.HeaderRank, "unknown rank "+strconv.Quote(name))
	}
	return nil
}

func (c *call) readTimeout(r *http.Request, defaultTimeout time.Duration) *outcome.Problem {
	ms, p := intHeader(r, outcome.HeaderTimeout, 1, maxTimeoutMs, int(defaultTimeout.Milliseconds()))
	c.timeout = time.Duration(ms) * time.Millisecond
	return p
}

func (c *call) readDepth(r *http.Request) *outcome.Problem {
	// A larger depth is a bad request instead of a call chain that is too deep.
	const maxParsedDepth = 1 << 20
	depth, p := intHeader(r, outcome.HeaderDepth, 0, maxParsedDepth, 0)
	if p == nil && depth > maxDepth {
		p = reject(http.StatusLoopDetected, outcome.ReasonTooDeep, outcome.HeaderDepth, "the call chain is deeper than 26")
	}
	c.depth = depth + 1
	return p
}

// readAttempt reads the attempt number. Callers may send it because upstreams pass it
// on with their own calls. A caller can use it only to disable retries.
func (c *call) readAttempt(r *http.Request) *outcome.Problem {
	const maxParsedAttempt = 1 << 20
	var p *outcome.Problem
	c.earlierRetries, p = intHeader(r, outcome.HeaderAttempt, 0, maxParsedAttempt, 0)
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

// parseKey decodes a quoted structured-field string (RFC 9651) or an unquoted key of
// visible ASCII.
func parseKey(s string) (string, bool) {
	if !strings.HasPrefix(s, `"`) {
		return s, len(s) > 0 && len(s) <= maxKeyBytes && visibleASCII(s) && !strings.ContainsAny(s, `"\,;`)
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

// intHeader returns the value of a decimal header field, or the default if it is absent.
func intHeader(r *http.Request, field string, minValue, maxValue, defaultValue int) (int, *outcome.Problem) {
	s := r.Header.Get(field)
	if s == "" && len(r.Header.Values(field)) == 0 {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil || int(n) < minValue || int(n) > maxValue {
		return 0, badRequest(field, "must be a whole number from "+strconv.Itoa(minValue)+" to "+strconv.Itoa(maxValue))
	}
	return int(n), nil
}

func visibleASCII(s string) bool {
	for _, ch := range []byte(s) {
		if ch <= ' ' || ch > '~' {
			return false
		}
	}
	return true
}

// idempotent reports whether RFC 9110 allows a request with this method to be repeated.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

package sidecar

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/ident"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Limits of the headers of a forwarded request.
const (
	maxRequestIDBytes   = 128
	maxFingerprintBytes = 128
	maxDepth            = 26
	maxAttempt          = 100
	maxTimeout          = 300 * time.Second
	defaultTimeout      = 10 * time.Second
)

// forwarded holds the parsed headers of a request from another node.
type forwarded struct {
	rank      string
	caller    string
	requestID string
	timeout   time.Duration
	depth     int
	noWait    bool
	// repeat is true if an earlier attempt of this call went to another sidecar.
	repeat bool
}

// parseForwarded checks the method and headers of a forwarded request.
func parseForwarded(r *http.Request) (forwarded, *outcome.Problem) {
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		return forwarded{}, outcome.New(http.StatusHTTPVersionNotSupported, outcome.ReasonHTTPVersion, outcome.NotRun, "HTTP/1.0 is not supported")
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return forwarded{}, outcome.New(http.StatusNotImplemented, outcome.ReasonBadRequest, outcome.NotRun, "upgrades are not supported").WithField("Upgrade")
	}
	f, err := parseHeader(r.Header, r.RemoteAddr)
	if err != nil {
		return f, fieldProblem(err)
	}
	if f.depth > maxDepth {
		return f, outcome.New(http.StatusLoopDetected, outcome.ReasonTooDeep, outcome.NotRun, "the call chain is too deep").WithField(outcome.HeaderDepth)
	}
	return f, nil
}

// parseHeader returns a *FieldError for the first invalid header.
func parseHeader(h http.Header, remote string) (f forwarded, err error) {
	for _, name := range []string{
		outcome.HeaderRank, outcome.HeaderCaller, outcome.HeaderRequestID, outcome.HeaderTimeout, outcome.HeaderDepth,
		outcome.HeaderQueue, outcome.HeaderTargetIncarnation, outcome.HeaderFingerprint, outcome.HeaderAttempt,
	} {
		if len(h.Values(name)) > 1 {
			return f, &FieldError{name, "given once"}
		}
	}
	f.rank, f.caller, f.requestID = h.Get(outcome.HeaderRank), h.Get(outcome.HeaderCaller), h.Get(outcome.HeaderRequestID)
	if f.caller == "" {
		f.caller, _, _ = net.SplitHostPort(remote)
	}
	if f.requestID == "" {
		f.requestID = uuid.NewString()
	}
	switch {
	case !ident.Valid(f.rank):
		return f, &FieldError{outcome.HeaderRank, ident.Rule}
	case f.caller != "" && !ident.Valid(f.caller) && !validIP(f.caller):
		return f, &FieldError{outcome.HeaderCaller, ident.Rule + " or an IP address"}
	case len(f.requestID) > maxRequestIDBytes:
		return f, &FieldError{outcome.HeaderRequestID, "at most 128 bytes"}
	case len(h.Get(outcome.HeaderFingerprint)) > maxFingerprintBytes:
		return f, &FieldError{outcome.HeaderFingerprint, "at most 128 bytes"}
	}
	return f, f.parseNumbers(h)
}

func (f *forwarded) parseNumbers(h http.Header) error {
	timeout, err := headerNumber(h, outcome.HeaderTimeout, defaultTimeout.Milliseconds())
	if err != nil || timeout < 1 || timeout > maxTimeout.Milliseconds() {
		return &FieldError{outcome.HeaderTimeout, "1 to 300000"}
	}
	f.timeout = time.Duration(timeout) * time.Millisecond
	depth, err := headerNumber(h, outcome.HeaderDepth, 0)
	if err != nil || depth > maxNumber {
		return &FieldError{outcome.HeaderDepth, "0 to 26"}
	}
	f.depth = int(depth)
	attempt, err := headerNumber(h, outcome.HeaderAttempt, 0)
	if err != nil || attempt > maxAttempt {
		return &FieldError{outcome.HeaderAttempt, "0 to 100"}
	}
	f.repeat = attempt > 0
	switch h.Get(outcome.HeaderQueue) {
	case outcome.QueueNoWait:
		f.noWait = true
	case outcome.QueueWait, "":
	default:
		return &FieldError{outcome.HeaderQueue, "no-wait or wait"}
	}
	return nil
}

// maxNumber bounds the depth that is parsed. A larger one is a bad request, one above
// maxDepth a call chain that is too deep.
const maxNumber = 1 << 30

func headerNumber(h http.Header, name string, fallback int64) (int64, error) {
	s := h.Get(name)
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(s, 10, 31)
	return int64(n), err
}

func validIP(s string) bool {
	_, err := netip.ParseAddr(s)
	return err == nil && len(s) <= ident.MaxBytes
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

func badField(field, detail string) *outcome.Problem {
	return outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, outcome.NotRun, detail).WithField(field)
}

func fieldProblem(err error) *outcome.Problem {
	var f *FieldError
	if errors.As(err, &f) {
		return badField(f.Field, f.Error())
	}
	return badField("", err.Error())
}

package relay

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/stream"
)

// encodeOutcome returns the result without status, header and body, for outcomeHeader.
func (r *Result) encodeOutcome() string {
	timedOut := "0"
	if r.TimedOut {
		timedOut = "1"
	}
	return strings.Join([]string{string(r.Kind), r.Reason, formatMillis(r.RetryAfter), formatMillis(r.Waited), formatMillis(r.RunTime), timedOut, encodeState(r.State)}, ";")
}

// readResult decodes the response of another node without its body. If the header is long, the
// buffer of a completed result counts it.
func (p *HTTPPeers) readResult(resp *http.Response) *Result {
	length := resp.Header.Get(longHeaderHeader)
	if length == "" {
		return peerResult(resp)
	}
	h, buffer, err := readLongHeader(resp.Body, length, p.Bodies)
	if err != nil {
		result := failed("answer-broken", false)
		result.Detail = fmt.Errorf("%w: %w", errPeer, err).Error()
		return result
	}
	status, err := strconv.Atoi(h.Get(statusHeader))
	if err != nil || !stream.ValidStatus(status) {
		buffer.Release()
		return failed("peer-answer-invalid", false)
	}
	h.Del(statusHeader)
	result := peerResult(&http.Response{StatusCode: status, Header: h, ContentLength: restLength(resp.ContentLength, length)})
	if result.buffer = buffer; result.Kind != Completed {
		buffer.Release()
	}
	return result
}

// peerResult decodes the response of another node. The body is left to the caller.
func peerResult(resp *http.Response) *Result {
	fields := strings.Split(resp.Header.Get(outcomeHeader), ";")
	if len(fields) != outcomeFieldCount || !stream.ValidStatus(resp.StatusCode) || !slices.Contains([]Kind{Completed, Rejected, Declined, Failed}, Kind(fields[0])) {
		return failed("peer-answer-invalid", false)
	}
	retryAfter, err1 := strconv.ParseInt(fields[2], 10, 64)
	waited, err2 := strconv.ParseInt(fields[3], 10, 64)
	runTime, err3 := strconv.ParseInt(fields[4], 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return failed("peer-answer-invalid", false)
	}
	state, err := decodeState(fields[6])
	if err != nil {
		// The response itself is complete: only the state stays unknown.
		state = roster.Upstream{}
	}
	h := resp.Header
	h.Del(outcomeHeader)
	h.Del("Content-Length")
	return &Result{
		Kind: Kind(fields[0]), Status: resp.StatusCode, Header: h, Reason: fields[1], Length: resp.ContentLength,
		RetryAfter: ms(retryAfter), Waited: ms(waited), RunTime: ms(runTime), TimedOut: fields[5] == "1", State: state,
	}
}

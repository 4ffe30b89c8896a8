package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
)

// peerRequest returns the request that sends the call to the node at the address.
func (c *Call) peerRequest(ctx context.Context, address string) *http.Request {
	body := io.Reader(bytes.NewReader(c.Body))
	if c.Rest != nil {
		body = io.MultiReader(body, c.Rest)
	}
	u := &url.URL{Scheme: "http", Host: address, Path: CallPath}
	h := c.Header.Clone()
	h.Set(callHeader, c.encode())
	// The path is sent as a header, because it must arrive byte for byte.
	h.Set(uriHeader, c.URI)
	// Callers must not set internal headers.
	for _, name := range []string{organisationHeader, longHeaderHeader, hostHeader} {
		h.Del(name)
	}
	if c.Organisation != "" {
		h.Set(organisationHeader, url.PathEscape(c.Organisation))
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	host, length := c.Host, c.Length
	if http2Bytes(h)+len(host) > maxShortHeaderBytes {
		h.Set(hostHeader, host)
		encoder, n := newHeaderEncoder(h)
		h = http.Header{longHeaderHeader: {strconv.FormatInt(n, 10)}, "User-Agent": {""}}
		body, host = io.MultiReader(encoder, body), address
		if length >= 0 {
			length += n
		}
	}
	req := (&http.Request{
		Method: http.MethodPost, URL: u, Host: host, Header: h, ContentLength: length,
		Body: io.NopCloser(body),
	}).WithContext(ctx)
	if length == 0 {
		req.Body = http.NoBody
	}
	return req
}

// encode returns the fields of a call that are not part of its HTTP request, for
// callHeader.
func (c *Call) encode() string {
	atMostOnce := "0"
	if !c.Idempotent {
		atMostOnce = "1"
	}
	return strings.Join([]string{
		url.PathEscape(c.Service), url.PathEscape(c.Upstream), url.PathEscape(c.Caller), url.PathEscape(c.Class),
		strconv.Itoa(c.Rank), formatMillis(c.Target), formatMillis(c.TargetLeft), formatMillis(c.Timeout), atMostOnce, url.PathEscape(c.ID), c.Method,
	}, ";")
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// decodeCall decodes a call from another node. It calls limitRead with the call's time limit before
// it reads the body. The buffer of the result also counts a long header.
func decodeCall(r *http.Request, body *receivedBody, bodies *bodybuf.Budget, limitRead func(time.Duration)) (*Call, error) {
	length := r.Header.Get(longHeaderHeader)
	if length == "" {
		c, err := decodeCallHeader(r.Header, r.Host, r.ContentLength)
		if err != nil {
			return nil, err
		}
		limitRead(c.Timeout)
		return c, c.readTransferredBody(body)
	}
	h, buffer, err := readLongHeader(body, length, bodies)
	if err != nil {
		return nil, err
	}
	c, err := decodeCallHeader(h, h.Get(hostHeader), restLength(r.ContentLength, length))
	if err == nil {
		limitRead(c.Timeout)
		err = c.readTransferredBody(body)
	}
	if err != nil {
		buffer.Release()
		return nil, err
	}
	c.buffer.Absorb(buffer)
	return c, nil
}

// readTransferredBody reads the body of a call from another node. Its time limits include the
// transfer.
func (c *Call) readTransferredBody(body *receivedBody) error {
	began := time.Now()
	err := readBody(c, body, c.Length, maxInt64)
	if took := time.Since(began); c.Length > 0 {
		c.Timeout -= took
		c.TargetLeft -= took
	}
	return err
}

// decodeCallHeader decodes a call without its body.
func decodeCallHeader(header http.Header, host string, length int64) (*Call, error) {
	fields := strings.Split(header.Get(callHeader), ";")
	if len(fields) != callFieldCount {
		return nil, fmt.Errorf("%w: call header has %d fields", errPeer, len(fields))
	}
	var numbers [4]int64
	for i := range numbers {
		n, err := strconv.ParseInt(fields[4+i], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%w: call header: %w", errPeer, err)
		}
		numbers[i] = n
	}
	var names [5]string
	for i, at := range []int{0, 1, 2, 3, 9} {
		name, err := url.PathUnescape(fields[at])
		if err != nil {
			return nil, fmt.Errorf("%w: call header: %w", errPeer, err)
		}
		names[i] = name
	}
	organisation, err := url.PathUnescape(header.Get(organisationHeader))
	if err != nil {
		return nil, fmt.Errorf("%w: organisation header: %w", errPeer, err)
	}
	uri := header.Get(uriHeader)
	h := endToEnd(header)
	for _, name := range []string{callHeader, uriHeader, organisationHeader, hostHeader} {
		h.Del(name)
	}
	if h.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	c := &Call{
		Service: names[0], Upstream: names[1], Caller: names[2], Class: names[3], ID: names[4], Rank: int(numbers[0]), Organisation: organisation,
		Target: ms(numbers[1]), TargetLeft: ms(numbers[2]), Timeout: ms(numbers[3]),
		Idempotent: fields[8] == "0",
		Method:     fields[10], URI: uri, Host: host, Header: h, Length: length,
	}
	return c, nil
}

const maxInt64 = 1<<63 - 1

// maxMillis bounds numbers of milliseconds in messages (10 years), so that times can be added
// to them without an overflow.
const maxMillis = 10 * 365 * 24 * 3600 * 1000

// ms returns n milliseconds, or the nearest bound.
func ms(n int64) time.Duration {
	return time.Duration(max(-maxMillis, min(n, maxMillis))) * time.Millisecond
}

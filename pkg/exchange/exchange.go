// Package exchange sends single requests to the upstream beside the node over
// HTTP/1.1 and reuses its connections.
//
// Upstreams may break off a response, respond twice, send bytes after a response or
// without end, close idle connections at any time or stop responding. A Client therefore
// compares the id of each response, limits what it reads besides the body of the awaited
// response, checks an idle connection for unexpected bytes before it reuses it, and
// reports whether a failed request may have run.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/recvbuf"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte reached the upstream, so nothing has run.
	ErrNotSent = errors.New("request not sent to the upstream")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = errors.New("no complete response from the upstream")
	// ErrBodyBroken means that the rest of the request's body could not be read. It wraps
	// ErrOutcomeUnknown.
	ErrBodyBroken = fmt.Errorf("%w: body of the request broken off", ErrOutcomeUnknown)
	// ErrConnRefused means that the upstream accepts no connections. It wraps ErrNotSent.
	ErrConnRefused = fmt.Errorf("%w: connection refused", ErrNotSent)
)

const (
	// defaultDialTimeout bounds connecting to the upstream on the same VM.
	defaultDialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the upstream
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the upstream's Keep-Alive timeout.
	keepAliveMargin = time.Second
	// maxIdleAtMostOnce is the longest idle time of a connection that is reused for a
	// request which must not run twice: a reset would leave its outcome unknown.
	maxIdleAtMostOnce = 1500 * time.Millisecond
	// bodyBufferBytes of a body are buffered before it is forwarded, so that a
	// truncated response can still be replaced by an error.
	bodyBufferBytes = 256 << 10
	// maxBodyBytes limits the body of a response.
	maxBodyBytes = 1 << 30
	// concurrentWriteBytes is the size above which a body is written while the
	// response is awaited, since upstreams may respond before they have read it.
	concurrentWriteBytes = 8 << 10
	// brokenBodyWait is how long the response is awaited after the body of the request broke off.
	brokenBodyWait = 100 * time.Millisecond
	// maxForeignResponses bounds the number of responses to other requests that are
	// skipped.
	maxForeignResponses = 4
	// maxDeclinedIDs is the number of refusals after which a connection is not reused.
	maxDeclinedIDs = 64
	// maxHeadBytes limits the status line and the headers of one response.
	maxHeadBytes = 64 << 10
	// maxHeadNames and maxHeadFields limit the names and fields of the headers of one response.
	// Short ones take many times their length in memory.
	maxHeadNames  = 512
	maxHeadFields = 8192
	// maxForeignBodyBytes limits the body of one response to another request.
	maxForeignBodyBytes = 1 << 20
)

// Request is one request to the upstream.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of the body after Body, or nil.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// AtMostOnce is set for requests that must not run twice.
	AtMostOnce bool
	// IDHeader is the header with the request's id, which the response repeats; empty
	// if responses have no id.
	IDHeader string
	// IDOptional is set if the upstream may omit the id or send another one.
	IDOptional bool
	// NotRunHeader is in responses of an upstream that did not run the request; empty if
	// there is no such header.
	NotRunHeader string
}

func (r *Request) id() string { return r.Header.Get(r.IDHeader) }

// Response is the upstream's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remainder of the body after Body, or nil. It must be closed.
	Rest io.ReadCloser
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// NotRun is set if the response states that the upstream did not run the request.
	NotRun bool
	// Matched is set if the response certainly belongs to the request: it repeats its id
	// or is the first one on its connection. Otherwise it may repeat an earlier response.
	Matched bool
	// Buffer holds Body and must be released.
	Buffer *bodybuf.Buffer
}

// Close closes the rest of the body and releases its beginning.
func (r *Response) Close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
	r.Buffer.Release()
}

// Client sends requests to one upstream address. It is safe for concurrent use.
type Client struct {
	// Bodies limits the memory for responses.
	Bodies *bodybuf.Budget
	// DialTimeout bounds connecting to the upstream.
	DialTimeout time.Duration

	// maxBody limits the body of a response.
	maxBody int64
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	mu      sync.Mutex
	idle    []*conn
	dials   int64
}

// NewClient returns a client for the upstream at the address.
func NewClient(address string) *Client {
	c := &Client{address: address, maxBody: maxBodyBytes, DialTimeout: defaultDialTimeout}
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: c.DialTimeout}).DialContext(ctx, network, address)
	}
	return c
}

type conn struct {
	*resetAwareConn
	limit     *limitedReader
	r         *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
	// reused is set if the connection has carried an earlier request.
	reused bool
	// declinedIDs are the ids of the requests on this connection that the upstream did not
	// run. A repeated refusal would match another request with the same id, or any request
	// without id.
	declinedIDs []string
}

// Address returns the upstream's address.
func (c *Client) Address() string { return c.address }

// Dials returns the number of connections opened so far.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		_ = cn.Close()
	}
	c.idle = nil
}

// Do sends the request and returns its response. Cancelling the context closes the
// connection. Errors wrap ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	cn, err := c.acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.run(cn, req, stop)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, err
	}
	return resp, nil
}

// CheckReachable returns an error if the upstream accepts no connections.
func (c *Client) CheckReachable() error {
	n, err := net.DialTimeout("tcp", c.address, c.DialTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnRefused, err)
	}
	return n.Close()
}

// acquire returns a usable idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, req *Request) (*conn, error) {
	for {
		cn := c.popIdle(req)
		if cn == nil {
			break
		}
		if recvbuf.Check(cn.Conn) == recvbuf.Empty && cn.r.Buffered() == 0 {
			return cn, nil
		}
		_ = cn.Close()
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	n, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnRefused, err)
	}
	rc := &resetAwareConn{Conn: n}
	limit := &limitedReader{r: rc}
	return &conn{resetAwareConn: rc, limit: limit, r: bufio.NewReader(limit)}, nil
}

// popIdle removes and returns the most recently used idle connection, or nil if it
// must not be reused. If it has exceeded its timeout, so have all others.
func (c *Client) popIdle(req *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	cn := c.idle[len(c.idle)-1]
	age := time.Since(cn.idleSince)
	if age > cn.keepAlive {
		for _, old := range c.idle {
			_ = old.Close()
		}
		c.idle = nil
		return nil
	}
	if req.AtMostOnce && age > maxIdleAtMostOnce || slices.Contains(cn.declinedIDs, req.id()) {
		return nil
	}
	c.idle = c.idle[:len(c.idle)-1]
	return cn
}

// putIdle stores a connection for reuse.
func (c *Client) putIdle(cn *conn, header http.Header) {
	_ = cn.SetDeadline(time.Time{})
	cn.idleSince, cn.keepAlive, cn.reused = time.Now(), keepAlive(header), true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, cn)
}

// keepAlive returns how long a connection may be reused after the response.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, time.Duration(n)*time.Second-keepAliveMargin)
			}
		}
	}
	return defaultKeepAlive
}

// run sends the request on the connection and reads the beginning of the response. stop
// ends the effect of the context on the connection, as returned by context.AfterFunc.
func (c *Client) run(cn *conn, req *Request, stop func() bool) (*Response, error) {
	written := make(chan error, 1)
	var answered atomic.Bool
	if req.Rest != nil || len(req.Body) > concurrentWriteBytes {
		go func() {
			err := write(cn, req)
			written <- err
			if errors.Is(err, ErrBodyBroken) && !answered.Load() {
				// The upstream waits for the rest, unless its response is on its way.
				_ = cn.SetReadDeadline(time.Now().Add(brokenBodyWait))
			}
		}()
	} else if err := write(cn, req); err != nil {
		return nil, err
	} else {
		written <- nil
	}
	resp, err := readResponse(cn, req)
	answered.Store(true)
	if err != nil {
		return nil, writeError(written, err)
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		NotRun:  resp.Header.Get(req.NotRunHeader) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Matched: !cn.reused || (req.id() != "" && resp.Header.Get(req.IDHeader) == req.id()),
	}
	if out.NotRun {
		cn.declinedIDs = append(cn.declinedIDs, req.id())
	}
	cn.limit.set(c.maxBody, errBodyTooLong)
	buffer, err := c.Bodies.ReadResponse(resp.Header, resp.Body, bodyBufferBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: response body broken off after %d bytes: %w", ErrOutcomeUnknown, len(buffer.Bytes), err)
	}
	out.Buffer, out.Body = buffer, buffer.Bytes
	finish := func(complete bool) {
		stopped := stop()
		if complete && stopped && reusable(cn, resp, written) {
			c.putIdle(cn, resp.Header)
			return
		}
		_ = cn.Close()
	}
	if !buffer.Complete {
		out.Rest = &remainingBody{ReadCloser: resp.Body, finish: finish}
		return out, nil
	}
	out.Length = int64(len(buffer.Bytes))
	finish(true)
	return out, nil
}

// writeError returns the error of the write if it wraps ErrNotSent or ErrBodyBroken, otherwise err.
func writeError(written chan error, err error) error {
	select {
	case werr := <-written:
		if errors.Is(werr, ErrNotSent) || errors.Is(werr, ErrBodyBroken) {
			return werr
		}
	default:
	}
	return err
}

// reusable reports whether the connection is ready for another request.
func reusable(cn *conn, resp *http.Response, written chan error) bool {
	select {
	case err := <-written:
		return err == nil && !resp.Close && cn.r.Buffered() == 0 && len(cn.declinedIDs) < maxDeclinedIDs &&
			!slices.Contains(cn.declinedIDs, "")
	default:
		return false
	}
}

// remainingBody is the part of a body that was not buffered.
type remainingBody struct {
	io.ReadCloser
	finish func(complete bool)
	once   sync.Once
}

func (r *remainingBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil {
		r.once.Do(func() { r.finish(errors.Is(err, io.EOF)) })
	}
	return n, err
}

func (r *remainingBody) Close() error {
	r.once.Do(func() { r.finish(false) })
	return nil
}

// readResponse returns the response with the request's id, or without id if the request
// has none. Responses to other requests are skipped, since an upstream may respond to an
// earlier request a second time.
func readResponse(cn *conn, req *Request) (*http.Response, error) {
	for range maxForeignResponses {
		cn.limit.set(maxHeadBytes, errHeadTooLong)
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if err := checkFields(resp.Header); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if req.IDOptional || resp.Header.Get(req.IDHeader) == req.id() {
			return resp, nil
		}
		cn.limit.set(maxForeignBodyBytes, errForeignBodyTooLong)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: reading the response to another request: %w", ErrOutcomeUnknown, err)
		}
		if resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: received only responses to other requests", ErrOutcomeUnknown)
}

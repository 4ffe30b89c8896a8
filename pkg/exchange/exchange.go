// Package exchange sends single requests to the upstream beside the node over
// HTTP/1.1 and keeps its connections.
//
// Upstreams may break off answers, answer twice, send bytes after an answer, close
// idle connections at any moment or fall silent. A Client therefore compares the
// id of each answer, checks a kept connection for unexpected bytes before it is
// used, and tells whether a failed request may have run.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte reached the upstream, so nothing has run.
	ErrNotSent = errors.New("request not sent to the upstream")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("no complete answer from the upstream")
	// ErrRefused means that the upstream takes no connections. It is an ErrNotSent.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrNotSent)
)

const (
	// dialTimeout bounds a connection to the same VM.
	dialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the upstream
	// states no timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is left of the upstream's timeout when a connection is reused.
	keepAliveMargin = time.Second
	// freshIdle is the longest idle time of a connection that carries a request
	// which must not run twice: a reset there would leave its outcome unknown.
	freshIdle = 1500 * time.Millisecond
	// bufferBytes of a body are collected before it is passed on, so that a broken
	// answer can still be replaced by an error.
	bufferBytes = 256 << 10
	// concurrentWriteBytes is the size from which a body is written while the
	// answer is awaited, since upstreams may answer before they have read it.
	concurrentWriteBytes = 8 << 10
	// maxForeignAnswers bounds the answers to other requests that are skipped.
	maxForeignAnswers = 4
)

// Request is one request to the upstream.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body, or nil.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// Once is set for requests that must not run twice.
	Once bool
	// IDHeader names the header that request and answer carry the same id in; empty if
	// answers carry none.
	IDHeader string
}

// Response is the upstream's answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is what follows Body, or nil. It must be closed.
	Rest io.ReadCloser
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
}

// Client sends requests to one upstream address. It is safe for concurrent use.
type Client struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	dials   int64
}

// NewClient returns a client for the upstream at the address.
func NewClient(address string) *Client { return &Client{address: address} }

type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
}

// Address returns the upstream's address.
func (c *Client) Address() string { return c.address }

// Dials returns the number of connections that were opened.
func (c *Client) Dials() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// CloseIdle closes the kept connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.Close()
	}
	c.idle = nil
}

// Do sends the request and returns the answer to it. The context's end closes the
// connection. Errors wrap ErrNotSent or ErrUnknown.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	k, err := c.take(ctx, req.Once)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.run(k, req, stop)
	if err != nil {
		stop()
		_ = k.Close()
		return nil, err
	}
	return resp, nil
}

// Reachable reports whether the upstream takes connections.
func (c *Client) Reachable() error {
	n, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return n.Close()
}

// take returns a kept connection that looks sound, or a new one.
func (c *Client) take(ctx context.Context, once bool) (*conn, error) {
	for {
		k := c.pop(once)
		if k == nil {
			break
		}
		if quiet(k.Conn) && k.r.Buffered() == 0 {
			return k, nil
		}
		_ = k.Close()
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return &conn{Conn: n, r: bufio.NewReader(n)}, nil
}

// pop takes the connection that was used last, if it may still be used. If that one
// is too old, all are.
func (c *Client) pop(once bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	age := time.Since(k.idleSince)
	if age > k.keepAlive {
		for _, old := range c.idle {
			_ = old.Close()
		}
		c.idle = nil
		return nil
	}
	if once && age > freshIdle {
		return nil
	}
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *Client) keep(k *conn, header http.Header) {
	_ = k.SetDeadline(time.Time{})
	k.idleSince, k.keepAlive = time.Now(), keepAlive(header)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// keepAlive returns how long a connection may be reused after the answer.
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

func (c *Client) run(k *conn, req *Request, stop func() bool) (*Response, error) {
	written := make(chan error, 1)
	if req.Rest != nil || len(req.Body) > concurrentWriteBytes {
		go func() { written <- write(k, req) }()
	} else if err := write(k, req); err != nil {
		return nil, err
	} else {
		written <- nil
	}
	resp, err := readAnswer(k, req)
	if err != nil {
		return nil, writeError(written, err)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	buffered := new(bytes.Buffer)
	n, err := io.CopyN(buffered, resp.Body, bufferBytes)
	out.Body = buffered.Bytes()
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: body broken after %d bytes: %w", ErrUnknown, n, err)
	}
	finish := func(whole bool) {
		stopped := stop()
		if whole && stopped && reusable(k, resp, written) {
			c.keep(k, resp.Header)
			return
		}
		_ = k.Close()
	}
	if err == nil {
		out.Rest = &rest{ReadCloser: resp.Body, finish: finish}
		return out, nil
	}
	out.Length = n
	finish(true)
	return out, nil
}

// writeError returns the error of the write if it tells that nothing was sent.
func writeError(written chan error, err error) error {
	select {
	case werr := <-written:
		if errors.Is(werr, ErrNotSent) {
			return werr
		}
	default:
	}
	return err
}

// reusable reports whether the connection is at the start of a next answer.
func reusable(k *conn, resp *http.Response, written chan error) bool {
	select {
	case err := <-written:
		return err == nil && !resp.Close && k.r.Buffered() == 0
	default:
		return false
	}
}

// rest is the part of a body that was not buffered.
type rest struct {
	io.ReadCloser
	finish func(whole bool)
	once   sync.Once
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil {
		r.once.Do(func() { r.finish(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.once.Do(func() { r.finish(false) })
	return nil
}

// write sends the request. Errors wrap ErrNotSent if no byte was sent.
func write(k *conn, req *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	if err := req.Header.Write(&head); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	switch {
	case req.Rest != nil && req.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case req.Length > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead):
		fmt.Fprintf(&head, "Content-Length: %d\r\n", max(0, req.Length))
	}
	head.WriteString("\r\n")
	if req.Rest == nil {
		head.Write(req.Body)
	}
	if n, err := k.Write(head.Bytes()); err != nil {
		if n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if req.Rest == nil {
		return nil
	}
	return writeStream(k, req)
}

func writeStream(k *conn, req *Request) error {
	body := io.MultiReader(bytes.NewReader(req.Body), req.Rest)
	if req.Length >= 0 {
		if _, err := io.CopyN(k, body, req.Length); err != nil {
			return fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return nil
	}
	w := httputil.NewChunkedWriter(k)
	if _, err := io.Copy(w, body); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if _, err := io.WriteString(k, "\r\n"); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}

// readAnswer returns the answer with the request's id. Answers to other requests
// are skipped, since an upstream may answer an earlier request once more.
func readAnswer(k *conn, req *Request) (*http.Response, error) {
	want := req.Header.Get(req.IDHeader)
	for range maxForeignAnswers {
		resp, err := http.ReadResponse(k.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if got := resp.Header.Get(req.IDHeader); want == "" || got == want {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: answer to another request: %w", ErrUnknown, err)
		}
		if resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: answers to other requests only", ErrUnknown)
}

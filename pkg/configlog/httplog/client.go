// Package httplog is the HTTP adapter of the configlog.Log port.
//
// Protocol of the platform's log:
//
//	POST /streams/{stream}/records            body: record   -> {"offset": N}
//	GET  /streams/{stream}/records?from=N&limit=M            -> {"earliest": E, "end": F, "history": H, "records": [{"offset": N, "data": base64}]}
//
// H grows when the log is restored from an earlier copy; a log without it sends none.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// maxResponseBytes limits the body of a response. The response to a read holds at
// most 4 MiB of records plus one record of at most 2 MiB, encoded in base64.
const maxResponseBytes = 16 << 20

// maxResponseHeaderBytes limits the header of a response.
const maxResponseHeaderBytes = 64 << 10

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadResponse is the body of the response to a read.
type ReadResponse struct {
	Earliest uint64 `json:"earliest"`
	End      uint64 `json:"end"`
	// History is the number of the log's history, see configlog.Batch.
	History uint64       `json:"history"`
	Records []ReadRecord `json:"records"`
}

// ReadRecord is one record in a ReadResponse.
type ReadRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Client is an HTTP client of the log. It is safe for concurrent use.
type Client struct {
	base   *url.URL
	client *http.Client
}

var _ configlog.Log = (*Client)(nil)

// New returns a client of the log at the base URL. Each call takes at most timeout.
func New(base *url.URL, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return &Client{base: base, client: &http.Client{Timeout: timeout, Transport: transport}}
}

func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	u := c.base.JoinPath("streams", stream, "records")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	// Replay ignores duplicate record ids, so an append may be repeated. The transport
	// must not retry on its own, though: the caller decides after ErrOutcomeUnknown.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if notConnected(err) {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, configlog.ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, configlog.ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return 0, fmt.Errorf("append to %s: %w: status %d", stream, configlog.ErrUnavailable, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("append to %s: %w: status %d", stream, configlog.ErrOutcomeUnknown, resp.StatusCode)
	}
	var out AppendResponse
	if err := decode(resp.Body, &out); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, configlog.ErrOutcomeUnknown, err)
	}
	return out.Offset, nil
}

func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (configlog.Batch, error) {
	u := c.base.JoinPath("streams", stream, "records")
	u.RawQuery = url.Values{"from": {fmt.Sprint(from)}, "limit": {fmt.Sprint(limit)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return configlog.Batch{}, fmt.Errorf("read %s: %w", stream, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return configlog.Batch{}, fmt.Errorf("read %s: %w: %w", stream, configlog.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return configlog.Batch{}, fmt.Errorf("read %s: %w: status %d", stream, configlog.ErrUnavailable, resp.StatusCode)
	}
	var out ReadResponse
	if err := decode(resp.Body, &out); err != nil {
		return configlog.Batch{}, fmt.Errorf("read %s: %w: %w", stream, configlog.ErrUnavailable, err)
	}
	b := configlog.Batch{Earliest: out.Earliest, End: out.End, History: out.History}
	for _, r := range out.Records {
		b.Entries = append(b.Entries, configlog.Entry{Offset: r.Offset, Data: r.Data})
	}
	return b, nil
}

// notConnected reports whether the connection failed, so that nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func decode(r io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(v)
}

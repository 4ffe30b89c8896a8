package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
)

// Headers and paths between nodes. A call is sent with its own headers; callHeader
// holds its other fields.
const (
	callHeader    = "Mt-Call"
	uriHeader     = "Mt-Uri"
	outcomeHeader = "Mt-Outcome"
	// organisationHeader holds the name of the caller's organisation, if it has one.
	organisationHeader = "Mt-Organisation"
	callFieldCount     = 11
	outcomeFieldCount  = 7
	// CallPath is the path for calls from other nodes.
	CallPath = "/mt/call"
	// ConfigPath is the path of the active routing table.
	ConfigPath = "/mt/config"
)

const (
	// peerDialTimeout bounds connecting to another node.
	peerDialTimeout = 400 * time.Millisecond
	// peerPingInterval is the time without traffic after which a connection to another
	// node is checked by a ping.
	peerPingInterval = 500 * time.Millisecond
	// peerPingTimeout bounds the wait for the response to a ping.
	peerPingTimeout = 700 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to another node is kept open.
	peerIdleTimeout = 2 * time.Minute
	// hopSlack is added to the time limit of a call for the transfer between nodes.
	hopSlack = 50 * time.Millisecond
	// configTimeout bounds the transfer of a routing table that makes progress: 2 MB over the
	// slowest links of the users' VMs (10 Mbit/s), shared by a few transfers.
	configTimeout = 3 * time.Second
	// maxConfigBytes bounds the size of a routing table from another node. It is that of a
	// response of the platform's store.
	maxConfigBytes = 4 << 20
	// maxPeerHeaderBytes bounds the header of another node's request or response, which net/http
	// decodes before anything counts it. It is twice maxShortHeaderBytes, which nodes send.
	maxPeerHeaderBytes = 16 << 10
	// maxPeerStreams bounds the calls on one connection of another node, which opens more
	// connections for more calls. Up to five times as many headers are in memory if the other node
	// opens streams and resets them at once.
	maxPeerStreams = 100
	// peerWindowBytes bounds what another node may send of a request or response that is not
	// being read.
	peerWindowBytes = 64 << 10
	// peerFrameBytes is the size of the frames that other nodes may send. A node that sends a
	// body allocates one frame for it.
	peerFrameBytes = 16 << 10
)

// HTTPPeers sends requests to other nodes over cleartext HTTP/2, which can cancel a
// call without closing the connection and detects dead connections by pings.
//
// Configurations use separate connections and are compressed: on a shared connection,
// a long transfer would delay the ping until it fails and all calls are lost.
type HTTPPeers struct {
	// Bodies limits the memory for responses.
	Bodies *bodybuf.Budget
	// OnConfigHeader is called with the header of each configuration before its body is read, or is
	// nil.
	OnConfigHeader func(address string, h http.Header)

	client             *http.Client
	configs            *http.Client
	configStallTimeout time.Duration
}

// SetConfigStallTimeout sets the time without a byte after which Config fails; without it, only
// the time limit of the whole transfer applies. It must be called before the first call.
func (p *HTTPPeers) SetConfigStallTimeout(d time.Duration) { p.configStallTimeout = d }

// NewHTTPPeers returns an HTTPPeers, which opens connections on demand.
func NewHTTPPeers() *HTTPPeers { return newHTTPPeers(peerDialTimeout) }

// newHTTPPeers bounds connecting to another node by dialTimeout.
func newHTTPPeers(dialTimeout time.Duration) *HTTPPeers {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	// The transport requests compressed responses and decompresses them.
	configs := &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeaderBytes},
		Timeout:   configTimeout,
	}
	return &HTTPPeers{configs: configs, configStallTimeout: configTimeout, client: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        peerIdleTimeout,
			MaxResponseHeaderBytes: maxPeerHeaderBytes,
			Protocols:              protocols,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: peerPingInterval, PingTimeout: peerPingTimeout, MaxReceiveBufferPerStream: peerWindowBytes, MaxReadFrameSize: peerFrameBytes,
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewPeerServer returns a server for calls of other nodes.
func NewPeerServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: peerDialTimeout * 10,
		MaxHeaderBytes:    maxPeerHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams, MaxReceiveBufferPerStream: peerWindowBytes, MaxReadFrameSize: peerFrameBytes},
	}
}

// Call implements Peers.
func (p *HTTPPeers) Call(ctx context.Context, address string, c *Call) *Result {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout+responseSlack+hopSlack)
	req := c.peerRequest(callCtx, address)
	resp, err := p.client.Do(req)
	if err != nil {
		timedOut := errors.Is(callCtx.Err(), context.DeadlineExceeded)
		cancel()
		if errors.Is(ctx.Err(), context.Canceled) {
			return failed(reasonCallerDisconnected, false)
		}
		return peerFailure(err, timedOut)
	}
	result := p.readResult(resp)
	if result.Kind != Completed {
		_ = resp.Body.Close()
		cancel()
		return result
	}
	header := result.buffer
	read := p.Bodies.ReadResponse
	if header != nil {
		read = func(_ http.Header, body io.Reader, limit int64) (*bodybuf.Buffer, error) {
			return p.Bodies.Read(body, limit)
		}
	}
	buffer, err := read(result.Header, resp.Body, bodyBufferBytes)
	if err != nil {
		header.Release()
		_ = resp.Body.Close()
		cancel()
		return failed("answer-broken", false)
	}
	buffer.Absorb(header)
	result.buffer, result.Body = buffer, buffer.Bytes
	if !buffer.Complete {
		result.Rest = &closer{ReadCloser: resp.Body, done: cancel}
		return result
	}
	_ = resp.Body.Close()
	cancel()
	result.Length = int64(len(result.Body))
	return result
}

// peerFailure maps an error of a call without a response to a result. If the
// connection could not be opened, nothing was sent, so the call has not run.
func peerFailure(err error, timedOut bool) *Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rejected(ReasonPeerUnreachable, downRetry)
	}
	result := failed(ReasonPeerFailed, timedOut)
	result.Detail = fmt.Errorf("%w: %w", errPeer, err).Error()
	return result
}

// Package peer sends and serves control messages between nodes with connect-go. It
// implements the transport interfaces of the packages that exchange them.
package peer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
	"github.com/mulberrytray/mulberrytray/pkg/membership"
)

// MaxMessageBytes is the largest size of a message between nodes.
const MaxMessageBytes = 4 << 20

// compressMinBytes is the size from which requests are compressed. Gzip would make
// probes larger.
const compressMinBytes = 2 << 10

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// Client calls the peer services of other nodes by address. It is safe for
// concurrent use.
type Client struct {
	http *http.Client
}

// maxIdleConns bounds the open connections to other nodes.
const maxIdleConns = 64

// maxResponseHeaderBytes bounds the header of another node's response.
const maxResponseHeaderBytes = 64 << 10

// NewClient returns a client that closes idle connections after idleTimeout. It uses
// HTTP/1.1: net/http does not apply MaxIdleConns to cleartext HTTP/2, so only
// idleTimeout would limit the connections to a large fleet. The headers of a ping
// take 248 bytes in the request and 176 in the response. With HTTP/2 they take 226
// and 152 on a new connection, which is the usual case in a large fleet, and 30 and
// 45 on a reused one.
func NewClient(idleTimeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}}}
}

func (c *Client) serviceClient(address string) pbconnect.PeerServiceClient {
	return pbconnect.NewPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
}

// call sends a request with callTimeout and unwraps the response. The error wraps
// membership.ErrOverBudget if the peer rejects the request because of its budget.
func call[Req, Res any](ctx context.Context, req *Req, f func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := f(ctx, connect.NewRequest(req))
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return nil, fmt.Errorf("%w: %w", membership.ErrOverBudget, err)
	}
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Ping implements membership.Transport.
func (c *Client) Ping(ctx context.Context, address string, req *pb.PingRequest) (*pb.PingResponse, error) {
	return call(ctx, req, c.serviceClient(address).Ping)
}

// PingIndirect implements membership.Transport.
func (c *Client) PingIndirect(ctx context.Context, address string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	return call(ctx, req, c.serviceClient(address).PingIndirect)
}

// Sync implements membership.Transport.
func (c *Client) Sync(ctx context.Context, address string, req *pb.SyncRequest) (*pb.SyncResponse, error) {
	return call(ctx, req, c.serviceClient(address).Sync)
}

// FetchSnapshot fetches a newer configuration if the node has one.
func (c *Client) FetchSnapshot(ctx context.Context, address string, req *pb.FetchSnapshotRequest) (*pb.FetchSnapshotResponse, error) {
	return call(ctx, req, c.serviceClient(address).FetchSnapshot)
}

// ReportQuarantine sends evidence of a crash and waits for the acknowledgement.
func (c *Client) ReportQuarantine(ctx context.Context, address string, req *pb.ReportQuarantineRequest) (*pb.ReportQuarantineResponse, error) {
	return call(ctx, req, c.serviceClient(address).ReportQuarantine)
}

// IssueToken requests an idempotency token from a sidecar.
func (c *Client) IssueToken(ctx context.Context, address string, req *pb.IssueTokenRequest) (*pb.IssueTokenResponse, error) {
	return call(ctx, req, c.serviceClient(address).IssueToken)
}

// ProbeLoad requests the current load of a sidecar.
func (c *Client) ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	return call(ctx, req, c.serviceClient(address).ProbeLoad)
}

// ReadLog makes a node read the log at once.
func (c *Client) ReadLog(ctx context.Context, address string, req *pb.ReadLogRequest) (*pb.ReadLogResponse, error) {
	return call(ctx, req, c.serviceClient(address).ReadLog)
}

// Handler serves the calls of other nodes. Calls whose field is nil fail with
// "unimplemented".
type Handler struct {
	OnPing         func(context.Context, *pb.PingRequest) (*pb.PingResponse, error)
	OnPingIndirect func(context.Context, *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error)
	OnSync         func(context.Context, *pb.SyncRequest) (*pb.SyncResponse, error)
	OnSnapshot     func(context.Context, *pb.FetchSnapshotRequest) (*pb.FetchSnapshotResponse, error)
	OnQuarantine   func(context.Context, *pb.ReportQuarantineRequest) (*pb.ReportQuarantineResponse, error)
	OnIssueToken   func(context.Context, *pb.IssueTokenRequest) (*pb.IssueTokenResponse, error)
	OnProbeLoad    func(context.Context, *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error)
	OnReadLog      func(context.Context, *pb.ReadLogRequest) (*pb.ReadLogResponse, error)
}

// Mount registers the peer service on the mux.
func (h *Handler) Mount(mux *http.ServeMux) {
	mux.Handle(pbconnect.NewPeerServiceHandler(&server{h: h},
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes)))
}

// server adapts Handler to the generated interface.
type server struct {
	pbconnect.UnimplementedPeerServiceHandler
	h *Handler
}

// handle passes the request to f and wraps its response.
func handle[Req, Res any](ctx context.Context, req *connect.Request[Req], f func(context.Context, *Req) (*Res, error)) (*connect.Response[Res], error) {
	if f == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	res, err := f(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

func (s *server) Ping(ctx context.Context, req *connect.Request[pb.PingRequest]) (*connect.Response[pb.PingResponse], error) {
	return handle(ctx, req, s.h.OnPing)
}

func (s *server) PingIndirect(ctx context.Context, req *connect.Request[pb.PingIndirectRequest]) (*connect.Response[pb.PingIndirectResponse], error) {
	return handle(ctx, req, s.h.OnPingIndirect)
}

func (s *server) Sync(ctx context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	return handle(ctx, req, s.h.OnSync)
}

func (s *server) FetchSnapshot(ctx context.Context, req *connect.Request[pb.FetchSnapshotRequest]) (*connect.Response[pb.FetchSnapshotResponse], error) {
	return handle(ctx, req, s.h.OnSnapshot)
}

func (s *server) ReportQuarantine(ctx context.Context, req *connect.Request[pb.ReportQuarantineRequest]) (*connect.Response[pb.ReportQuarantineResponse], error) {
	return handle(ctx, req, s.h.OnQuarantine)
}

func (s *server) IssueToken(ctx context.Context, req *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return handle(ctx, req, s.h.OnIssueToken)
}

func (s *server) ProbeLoad(ctx context.Context, req *connect.Request[pb.ProbeLoadRequest]) (*connect.Response[pb.ProbeLoadResponse], error) {
	return handle(ctx, req, s.h.OnProbeLoad)
}

func (s *server) ReadLog(ctx context.Context, req *connect.Request[pb.ReadLogRequest]) (*connect.Response[pb.ReadLogResponse], error) {
	return handle(ctx, req, s.h.OnReadLog)
}

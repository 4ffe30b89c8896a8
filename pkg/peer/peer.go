// Package peer carries control messages between nodes on connect-go. It adapts
// the ports of the packages that exchange them.
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

// MaxMessageBytes bounds each message between nodes.
const MaxMessageBytes = 4 << 20

// compressMinBytes is the size from which messages are compressed; gzip makes
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

// NewClient returns a client. Idle connections are closed after idleTimeout. It
// uses HTTP/1.1: net/http does not apply MaxIdleConns to cleartext HTTP/2, so that
// connections to a large fleet would be bounded by time only. A ping's headers
// take 248 and 176 bytes; with HTTP/2 226 and 152 on a new connection, which is
// the usual case in a large fleet, and 30 and 45 on a reused one.
func NewClient(idleTimeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

func (c *Client) at(address string) pbconnect.PeerServiceClient {
	return pbconnect.NewPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes))
}

// call bounds the time of a call and unwraps its response. It returns
// membership.ErrOverBudget if the peer has no room for the answer.
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
	return call(ctx, req, c.at(address).Ping)
}

// PingIndirect implements membership.Transport.
func (c *Client) PingIndirect(ctx context.Context, address string, req *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	return call(ctx, req, c.at(address).PingIndirect)
}

// Sync implements membership.Transport.
func (c *Client) Sync(ctx context.Context, address string, req *pb.SyncRequest) (*pb.SyncResponse, error) {
	return call(ctx, req, c.at(address).Sync)
}

// FetchSnapshot fetches a newer configuration, if the node has one.
func (c *Client) FetchSnapshot(ctx context.Context, address string, req *pb.FetchSnapshotRequest) (*pb.FetchSnapshotResponse, error) {
	return call(ctx, req, c.at(address).FetchSnapshot)
}

// ReportQuarantine sends crash evidence and waits for its acknowledgement.
func (c *Client) ReportQuarantine(ctx context.Context, address string, req *pb.ReportQuarantineRequest) (*pb.ReportQuarantineResponse, error) {
	return call(ctx, req, c.at(address).ReportQuarantine)
}

// IssueToken asks a sidecar for an idempotency token.
func (c *Client) IssueToken(ctx context.Context, address string, req *pb.IssueTokenRequest) (*pb.IssueTokenResponse, error) {
	return call(ctx, req, c.at(address).IssueToken)
}

// ProbeLoad asks a sidecar for its load.
func (c *Client) ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	return call(ctx, req, c.at(address).ProbeLoad)
}

// ReadLog makes a node read the log now.
func (c *Client) ReadLog(ctx context.Context, address string, req *pb.ReadLogRequest) (*pb.ReadLogResponse, error) {
	return call(ctx, req, c.at(address).ReadLog)
}

// Handler answers the messages of other nodes. Each field may be nil; its calls
// then answer "unimplemented".
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

func answer[Req, Res any](ctx context.Context, req *connect.Request[Req], f func(context.Context, *Req) (*Res, error)) (*connect.Response[Res], error) {
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
	return answer(ctx, req, s.h.OnPing)
}

func (s *server) PingIndirect(ctx context.Context, req *connect.Request[pb.PingIndirectRequest]) (*connect.Response[pb.PingIndirectResponse], error) {
	return answer(ctx, req, s.h.OnPingIndirect)
}

func (s *server) Sync(ctx context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	return answer(ctx, req, s.h.OnSync)
}

func (s *server) FetchSnapshot(ctx context.Context, req *connect.Request[pb.FetchSnapshotRequest]) (*connect.Response[pb.FetchSnapshotResponse], error) {
	return answer(ctx, req, s.h.OnSnapshot)
}

func (s *server) ReportQuarantine(ctx context.Context, req *connect.Request[pb.ReportQuarantineRequest]) (*connect.Response[pb.ReportQuarantineResponse], error) {
	return answer(ctx, req, s.h.OnQuarantine)
}

func (s *server) IssueToken(ctx context.Context, req *connect.Request[pb.IssueTokenRequest]) (*connect.Response[pb.IssueTokenResponse], error) {
	return answer(ctx, req, s.h.OnIssueToken)
}

func (s *server) ProbeLoad(ctx context.Context, req *connect.Request[pb.ProbeLoadRequest]) (*connect.Response[pb.ProbeLoadResponse], error) {
	return answer(ctx, req, s.h.OnProbeLoad)
}

func (s *server) ReadLog(ctx context.Context, req *connect.Request[pb.ReadLogRequest]) (*connect.Response[pb.ReadLogResponse], error) {
	return answer(ctx, req, s.h.OnReadLog)
}

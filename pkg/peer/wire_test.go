package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/membership"
)

// countingListener counts its open connections and the bytes that these read and
// write.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
	open    atomic.Int64
}

type countingConn struct {
	net.Conn
	l    *countingListener
	once sync.Once
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countingConn{Conn: c, l: l}, nil
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// serve starts a peer server on a countingListener on loopback.
func serve(t *testing.T, h *Handler) *countingListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.12.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: inner}
	mux := http.NewServeMux()
	h.Mount(mux)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &httptest.Server{Listener: l, Config: &http.Server{Handler: mux, Protocols: protocols}}
	srv.Start()
	t.Cleanup(srv.Close)
	return l
}

const wirePings = 100

// Guards against estimates of header bytes that are below the bytes on the wire, with
// which nodes would exceed the control budget.
func TestOverheadBoundsWireBytes(t *testing.T) {
	for _, c := range []struct {
		desc  string
		http2 bool
		// fresh is whether each call uses a new connection, as probes in a large fleet do.
		fresh bool
	}{
		{"http/1.1 reused", false, false},
		{"http/1.1 fresh", false, true},
		{"http/2 reused", true, false},
		{"http/2 fresh", true, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			req := &pb.PingRequest{TargetNodeId: "n1", TargetIncarnation: 1 << 50}
			resp := &pb.PingResponse{Responder: &pb.Member{NodeId: "n1", Incarnation: 1 << 50, PeerAddress: "127.0.12.1:7000"}}
			l := serve(t, &Handler{OnPing: func(context.Context, *pb.PingRequest) (*pb.PingResponse, error) { return resp, nil }})
			client := NewClient(time.Minute)
			if c.http2 {
				protocols := new(http.Protocols)
				protocols.SetUnencryptedHTTP2(true)
				client.http.Transport.(*http.Transport).Protocols = protocols
			}
			defer client.http.CloseIdleConnections()
			for range wirePings {
				if _, err := client.Ping(context.Background(), l.Addr().String(), req); err != nil {
					t.Fatal(err)
				}
				if c.fresh {
					client.http.CloseIdleConnections()
				}
			}
			in := int(l.in.Load())/wirePings - proto.Size(req)
			out := int(l.out.Load())/wirePings - proto.Size(resp)
			t.Logf("header bytes per call: request %d, response %d", in, out)
			if in > membership.RequestOverhead || out > membership.ResponseOverhead {
				t.Errorf("header bytes exceed the estimates of %d and %d", membership.RequestOverhead, membership.ResponseOverhead)
			}
		})
	}
}

// Guards against idle connections that stay open to all members of a large fleet.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const idle, servers = 2, 6
	client := NewClient(time.Minute)
	client.http.Transport.(*http.Transport).MaxIdleConns = idle
	defer client.http.CloseIdleConnections()
	var listeners []*countingListener
	for range servers {
		l := serve(t, &Handler{OnPing: func(context.Context, *pb.PingRequest) (*pb.PingResponse, error) { return &pb.PingResponse{}, nil }})
		listeners = append(listeners, l)
		if _, err := client.Ping(context.Background(), l.Addr().String(), &pb.PingRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	var open int64
	for range 100 {
		open = 0
		for _, l := range listeners {
			open += l.open.Load()
		}
		if open <= idle {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%d connections open, limit %d", open, idle)
}

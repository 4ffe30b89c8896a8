package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/mulberrytray/mulberrytray/pkg/drain"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Limits of each listener.
const (
	maxHeaderBytes    = 16 << 10
	maxConnections    = 4096
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// stopLinger is the minimum time for which a stopping node keeps responding. Callers with
// open connections receive "Connection: close" in that time, and other nodes receive
// its leave message.
const stopLinger = 1500 * time.Millisecond

// servers are the four listeners of a node.
type servers struct {
	caller, peer, local, admin *server
}

func (s *servers) all() []*server {
	return []*server{s.caller, s.local, s.peer, s.admin}
}

// server is an HTTP server and its listener.
type server struct {
	*http.Server
	listener      *drain.Listener
	firstRequests *firstRequests
}

// stop accepts the connections in the listener's queue and waits for the requests in
// flight. The listener closes first, because Shutdown holds a lock that Accept needs.
// Shutdown drops requests that are read while it runs, so the new connections' first
// requests are served before.
func (s *server) stop(ctx context.Context) error {
	err := s.listener.Close()
	s.firstRequests.wait(ctx)
	return errors.Join(err, s.Shutdown(ctx))
}

func (n *Node) listenAll(peer, local, admin, caller http.Handler) error {
	for _, l := range []struct {
		address string
		handler http.Handler
		server  **server
	}{
		{n.settings.PeerAddress, peer, &n.servers.peer},
		{n.settings.LocalAddress, local, &n.servers.local},
		{n.settings.AdminAddress, admin, &n.servers.admin},
		{n.settings.CallerAddress, caller, &n.servers.caller},
	} {
		var err error
		if *l.server, err = n.listen(l.address, n.closeConnectionsOnDrain(l.handler)); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listen(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	first := newFirstRequests()
	srv := &http.Server{
		Handler: h, ConnState: first.trackState, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, Protocols: protocols,
	}
	draining := drain.NewListener(l.(*net.TCPListener))
	limited := netutil.LimitListener(draining, maxConnections)
	n.spawn(func() {
		if err := srv.Serve(limited); err != nil && !n.draining.Load() {
			n.events.Emit(event.NodeFailed, event.Fields{"error": err.Error()})
		}
	})
	return &server{Server: srv, listener: draining, firstRequests: first}, nil
}

// closeConnectionsOnDrain asks clients to close their connections once the node is
// stopping. If the server closed idle connections itself, it could cut off a request
// in transit.
func (n *Node) closeConnectionsOnDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) closeServers() {
	for _, s := range n.servers.all() {
		if s != nil {
			_ = s.Close()
		}
	}
}

// Stop rejects new requests, waits for the requests in flight and stops all background
// tasks. The caller listener stays open until the upstream is idle, because the
// upstream's own calls to other services go through it.
func (n *Node) Stop(ctx context.Context) error {
	if err := n.lifecycle.Event(ctx, eventDrain); err != nil {
		return fmt.Errorf("node: stop: %w", err)
	}
	n.events.Emit(event.NodeDraining, nil)
	n.draining.Store(true)
	n.sidecar.SetDrain(true)
	lingered := time.After(stopLinger)
	errs := []error{n.sidecar.WaitIdle(ctx)}
	n.agent.Leave(ctx)
	select {
	case <-lingered:
	case <-ctx.Done():
	}
	for _, s := range n.servers.all() {
		errs = append(errs, s.stop(ctx))
	}
	n.guard.Wait()
	n.cancel()
	n.wg.Wait()
	if err := n.lifecycle.Event(ctx, eventStop); err != nil {
		errs = append(errs, err)
	}
	n.events.Emit(event.NodeStopped, nil)
	return errors.Join(errs...)
}

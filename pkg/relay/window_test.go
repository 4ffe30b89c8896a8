package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A caller that reads slowly must not make the node buffer megabytes of each response of
// other nodes: besides the buffered beginning, a node receives only one window.
func TestUnreadResponseOfNodeIsBuffered(t *testing.T) {
	const maxBytes, available = 1 << 20, 16 << 20
	var written atomic.Int64
	s := newTestSidecar(startUpstream(t, nil), 4)
	address := startPeerHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		result := &Result{Kind: Completed, State: s.UpstreamState()}
		w.Header().Set(outcomeHeader, result.encodeOutcome())
		b := make([]byte, 16<<10)
		for written.Load() < available {
			n, err := w.Write(b)
			if err != nil {
				return
			}
			written.Add(int64(n))
		}
	}))
	result := NewHTTPPeers().Call(context.Background(), address, &Call{Service: "svc", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Timeout: time.Minute})
	if result.Kind != Completed || result.Rest == nil {
		t.Fatalf("kind %v, reason %s; want the beginning of a body", result.Kind, result.Reason)
	}
	defer result.close()
	for before := int64(-1); before != written.Load(); time.Sleep(200 * time.Millisecond) {
		before = written.Load()
	}
	if n := written.Load(); n > maxBytes {
		t.Errorf("the other node could send %d bytes, want at most %d", n, maxBytes)
	}
}

// Package upstream is a stand-in for a server behind the load balancer.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// Config holds the settings of an upstream.
type Config struct {
	Service string
	// Address is the IP:port where requests are taken.
	Address string
	// AnnounceURL is the announcement endpoint of the node beside the upstream.
	AnnounceURL string
	Slots       int
	ServiceTime time.Duration
}

// Server is the upstream. It is safe for concurrent use.
type Server struct {
	cfg         Config
	incarnation string
	draining    atomic.Bool
	served      atomic.Int64
}

// New returns an upstream with a new incarnation.
func New(cfg Config) *Server { return &Server{cfg: cfg, incarnation: uuid.NewString()} }

// ServeHTTP answers a request after the service time.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	s.served.Add(1)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %s %d\n", s.cfg.Service, r.Method, r.URL.Path, len(body))
}

// Drain announces that the upstream is leaving.
func (s *Server) Drain() { s.draining.Store(true) }

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Announce renews the lease at the node beside the upstream until the context ends.
func (s *Server) Announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	nonce := ""
	for ctx.Err() == nil {
		wait := announceInterval
		next, err := s.announceOnce(ctx, client, nonce)
		if err != nil {
			wait = 100 * time.Millisecond
		} else {
			if nonce == "" {
				wait = 0
			}
			nonce = next
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (s *Server) announceOnce(ctx context.Context, client *http.Client, nonce string) (string, error) {
	state := sidecar.StateReady
	if s.draining.Load() {
		state = sidecar.StateDraining
	}
	body, err := json.Marshal(sidecar.Announcement{
		Service: s.cfg.Service, Address: s.cfg.Address, Slots: s.cfg.Slots,
		Incarnation: s.incarnation, State: state, Nonce: nonce,
	})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.cfg.AnnounceURL, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var answer sidecar.AnnounceResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	return answer.Nonce, nil
}

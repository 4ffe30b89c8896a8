package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/sidecar"
)

// Drain marks the upstream as draining and triggers an immediate announcement. The
// upstream continues to serve requests.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		s.stateChanged <- struct{}{}
	}
}

func (s *Server) state() sidecar.State {
	switch {
	case s.draining.Load():
		return sidecar.StateDraining
	case time.Since(s.start) < s.cfg.ColdStart:
		return sidecar.StateWarming
	}
	return sidecar.StateReady
}

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// Announce renews the lease at the node beside the upstream until the context ends.
// The first announcement has no nonce and is followed immediately by one with the
// nonce of the response. A failed announcement is retried after 100 ms.
func (s *Server) Announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	nonce := ""
	for ctx.Err() == nil {
		wait := announceInterval
		nextNonce, err := s.announceOnce(ctx, client, nonce)
		if err != nil {
			wait = 100 * time.Millisecond
		} else {
			if nonce == "" {
				wait = 0
			}
			nonce = nextNonce
		}
		select {
		case <-ctx.Done():
		case <-s.stateChanged:
		case <-time.After(wait):
		}
	}
}

// announceOnce sends one announcement and returns the nonce for the next one.
func (s *Server) announceOnce(ctx context.Context, client *http.Client, nonce string) (string, error) {
	body, err := json.Marshal(sidecar.Announcement{
		Service: s.cfg.Service, Address: s.cfg.Address, Slots: s.cfg.Slots,
		Incarnation: s.incarnation, State: s.state(), Nonce: nonce,
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
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("announcement: node returned status %d", resp.StatusCode)
	}
	var response sidecar.AnnounceResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return "", err
	}
	return response.Nonce, nil
}

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

// Drain announces at once that the upstream is leaving. It goes on serving.
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
		case <-s.stateChanged:
		case <-time.After(wait):
		}
	}
}

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
		return "", fmt.Errorf("announcement: status %d", resp.StatusCode)
	}
	var answer sidecar.AnnounceResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	return answer.Nonce, nil
}

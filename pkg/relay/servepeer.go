package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// encodeState encodes the upstream's state for outcomeHeader.
func encodeState(u roster.Upstream) string {
	accepting := 0
	if u.Accepting {
		accepting = 1
	}
	return fmt.Sprintf("%s,%d,%d,%d,%d,%d,%d,%d,%d,%d", url.PathEscape(u.ID), accepting, u.Limit, u.Running, u.Queued,
		u.SlowdownPercent, u.SlowdownAgeMillis, u.WaitMillis, u.ServiceMicros, u.FailurePermille) + encodeCold(u)
}

func decodeState(s string) (roster.Upstream, error) {
	s, coldMillis, err := decodeCold(s)
	u := roster.Upstream{ColdMillis: coldMillis}
	if err != nil {
		return u, fmt.Errorf("%w: cold time of the upstream: %w", errPeer, err)
	}
	id, numbers, _ := strings.Cut(s, ",")
	var accepting int
	_, err = fmt.Sscanf(numbers, "%d,%d,%d,%d,%d,%d,%d,%d,%d", &accepting, &u.Limit, &u.Running, &u.Queued,
		&u.SlowdownPercent, &u.SlowdownAgeMillis, &u.WaitMillis, &u.ServiceMicros, &u.FailurePermille)
	if err != nil {
		return u, fmt.Errorf("%w: upstream state: %w", errPeer, err)
	}
	u.Accepting = accepting == 1
	if u.ID, err = url.PathUnescape(id); err != nil {
		return u, fmt.Errorf("%w: upstream state: %w", errPeer, err)
	}
	if err := u.Validate(); err != nil {
		return u, fmt.Errorf("%w: upstream state: %w", errPeer, err)
	}
	return u, nil
}

// ServePeer runs calls from other nodes.
func (s *Sidecar) ServePeer(w http.ResponseWriter, r *http.Request) {
	place := s.requests.begin()
	if place == nil {
		w.Header().Set(outcomeHeader, rejected(reasonMemory, memoryRetry).encodeOutcome())
		w.WriteHeader(http.StatusOK)
		return
	}
	defer place.end()
	control := http.NewResponseController(w)
	// The time limit of the call is not known yet. An error means that the connection is closed.
	_ = control.SetReadDeadline(time.Now().Add(defaultTimeout))
	body := place.receive(control, r.Body, s.client.Bodies.NewBuffer(), time.Now())
	defer body.end()
	// A call whose body does not come would occupy its place for as long as its connection is open.
	limitRead := func(timeout time.Duration) {
		deadline := time.Now().Add(timeout + responseSlack)
		body.setDeadline(deadline)
		_ = control.SetReadDeadline(deadline)
	}
	c, err := decodeCall(r, body, s.client.Bodies, limitRead)
	if errors.Is(err, errHeaderNoMemory) || errors.Is(err, errBodyStalled) {
		w.Header().Set(outcomeHeader, rejected(reasonMemory, memoryRetry).encodeOutcome())
		w.WriteHeader(http.StatusOK)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer c.buffer.Release()
	result := s.runPeerCall(r.Context(), place, c)
	outcome := result.encodeOutcome()
	if result.Kind != Completed {
		w.Header().Set(outcomeHeader, outcome)
		w.WriteHeader(http.StatusOK)
		return
	}
	// Upstreams must not set internal headers.
	for _, name := range []string{longHeaderHeader, statusHeader} {
		result.Header.Del(name)
	}
	result.Header.Set(outcomeHeader, outcome)
	if http2Bytes(result.Header) > maxShortHeaderBytes {
		result.moveHeader()
	}
	writeResponse(w, result)
}

// runPeerCall runs a call of another node unless its body is long and there are too many of those.
func (s *Sidecar) runPeerCall(ctx context.Context, place *place, c *Call) *Result {
	if c.Rest != nil && !place.beginLong() {
		return rejected(reasonMemory, memoryRetry)
	}
	return s.Run(ctx, c)
}

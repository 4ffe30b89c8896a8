package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// CallError reports a failed call to the next service.
type CallError struct {
	Target string
	Detail string
}

func (e *CallError) Error() string { return fmt.Sprintf("call %q: %s", e.Target, e.Detail) }

// call calls the next service of a chain through the local node. It forwards the
// remaining time, the depth and the request id, and the rank of r if the target
// has none.
func (s *Server) call(ctx context.Context, r *http.Request, target string) error {
	parts := strings.Split(target, "/")
	if len(parts) != 3 {
		return &CallError{target, "must be service/rank/depth"}
	}
	depth, err := strconv.Atoi(parts[2])
	if err != nil || depth < 1 {
		return &CallError{target, "depth must be a positive number"}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.NodeURL+r.URL.Path, nil)
	if err != nil {
		return &CallError{target, err.Error()}
	}
	rank := parts[1]
	if rank == "" {
		rank = r.Header.Get(outcome.HeaderRank)
	}
	req.Header.Set(outcome.HeaderService, parts[0])
	req.Header.Set(outcome.HeaderRank, rank)
	for _, name := range []string{outcome.HeaderDepth, outcome.HeaderRequestID} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if depth > 1 {
		req.Header.Set(HeaderCall, fmt.Sprintf("%s/%s/%d", parts[0], parts[1], depth-1))
	}
	resp, err := s.callClient.Do(req)
	if err != nil {
		return &CallError{target, err.Error()}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return &CallError{target, err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return &CallError{target, resp.Status}
	}
	return nil
}

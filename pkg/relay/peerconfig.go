package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Config fetches the encoded routing table that is active at another node.
func (p *HTTPPeers) Config(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(p.configStallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ConfigPath, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPeer, err)
	}
	resp, err := p.configs.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPeer, cmp.Or(context.Cause(ctx), err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: configuration request returned status %d", errPeer, resp.StatusCode)
	}
	if p.OnConfigHeader != nil {
		p.OnConfigHeader(address, resp.Header)
	}
	body := &progressReader{resp.Body, func() { stall.Reset(p.configStallTimeout) }}
	b, err := io.ReadAll(io.LimitReader(body, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errPeer, cmp.Or(context.Cause(ctx), err))
	}
	if len(b) > maxConfigBytes {
		return nil, fmt.Errorf("%w: configuration longer than %d bytes", errPeer, maxConfigBytes)
	}
	return b, nil
}

// errStalled means that a transfer made no progress.
var errStalled = errors.New("no progress")

// progressReader calls progress whenever bytes arrive.
type progressReader struct {
	io.Reader
	progress func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/mulberrytray/mulberrytray/internal/history"
	"github.com/mulberrytray/mulberrytray/internal/standin/journal"
	"github.com/mulberrytray/mulberrytray/internal/standin/upstream"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

const (
	// attemptTimeout bounds one attempt.
	attemptTimeout = 5 * time.Second
	// maxAttempts bounds the attempts of one operation with a token.
	maxAttempts = 4
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 20000
	// maxResponseBytes bounds the part of a response body that a caller reads.
	maxResponseBytes = 4 << 20
)

// caller sends one operation after another until its context ends.
type caller struct {
	run    *Run
	rng    *rand.Rand
	client *http.Client
}

func (c *caller) sendOperations(ctx context.Context) {
	for ctx.Err() == nil {
		switch c.rng.IntN(3) {
		case 0:
			c.lookup()
		case 1:
			c.order()
		default:
			c.reserve()
		}
	}
}

// lookup sends an idempotent operation once.
func (c *caller) lookup() {
	c.attempt(&operation{method: http.MethodGet, service: c.run.plainService, rank: c.run.ranks[0], id: uuid.NewString(), idempotent: true})
}

// order sends an operation that is not idempotent and has no token, so it is attempted
// once.
func (c *caller) order() {
	c.attempt(&operation{method: http.MethodPost, service: c.run.plainService, rank: c.run.ranks[1], id: uuid.NewString(), body: c.body()})
}

// reserve sends an operation that is not idempotent and has a token. It is attempted until
// its outcome is known, at most maxAttempts times.
func (c *caller) reserve() {
	op := &operation{method: http.MethodPost, service: c.run.tokenService, rank: c.run.ranks[1], id: uuid.NewString(), body: c.body()}
	if op.token = c.requestToken(op.service); op.token == "" {
		return
	}
	for range maxAttempts {
		a := c.attempt(op)
		final := a.Status == http.StatusGone || a.Status == http.StatusUnprocessableEntity
		if a.Success() || final {
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
	}
}

func (c *caller) body() []byte {
	b := make([]byte, c.rng.IntN(maxBodyBytes)+1)
	for i := range b {
		b[i] = byte(c.rng.Uint32())
	}
	return b
}

// operation is one operation of a caller, which may be attempted several times.
type operation struct {
	method, service, rank, id, token string
	idempotent                       bool
	body                             []byte
	header                           http.Header
}

// wantBody returns the expected response body: an echo of the request body, or a line
// with the path if the request has no body.
func (o *operation) wantBody() string {
	if len(o.body) > 0 {
		return string(o.body)
	}
	return fmt.Sprintf("%s %s %s 0\n", o.service, o.method, o.path())
}

// path returns the path, which is unique for each operation.
func (o *operation) path() string { return "/operations/" + o.id }

func (c *caller) attempt(op *operation) history.Attempt {
	a := history.Attempt{
		RequestID: uuid.NewString(), Operation: op.id, Token: op.token,
		Idempotent: op.idempotent, Start: time.Now(), WantBody: op.wantBody(),
	}
	c.exchange(op, &a)
	a.End = time.Now()
	c.run.History.AddAttempt(a)
	return a
}

// exchange sends one request and records the response or the error in a.
func (c *caller) exchange(op *operation, a *history.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	var conn httptrace.GotConnInfo
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { conn, connected = i, true },
	})
	req, err := http.NewRequestWithContext(ctx, op.method, c.randomNodeURL()+op.path(), bytes.NewReader(op.body))
	if err != nil {
		a.Err = err.Error()
		return
	}
	// Without GetBody the client does not resend requests with a body by itself. A resend
	// would use the same request id, but each attempt needs a new one.
	req.GetBody = nil
	for name, values := range op.header {
		req.Header[name] = values
	}
	req.Header.Set(outcome.HeaderService, op.service)
	req.Header.Set(outcome.HeaderRank, op.rank)
	req.Header.Set(outcome.HeaderRequestID, a.RequestID)
	req.Header.Set(outcome.HeaderTimeout, "4500")
	req.Header.Set(journal.HeaderOperation, op.id)
	if len(op.body) > 0 {
		req.Header.Set(upstream.HeaderEcho, "1")
	}
	if op.token != "" {
		req.Header.Set(outcome.HeaderIdempotencyKey, op.token)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.Err = fmt.Sprintf("%v (connection reused %v, idle %v)", err, conn.Reused, conn.IdleTime)
		if errors.Is(err, syscall.ECONNREFUSED) && !connected {
			// The connection was refused and no open one was used, so nothing was sent.
			a.Outcome = outcome.NotRun
		}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	a.Status = resp.StatusCode
	a.Outcome = outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome))
	a.Reason = outcome.Reason(resp.Header.Get(outcome.HeaderReason))
	a.GotBody = string(body)
	if err != nil {
		a.Err = err.Error()
		return
	}
	a.Complete = true
}

// requestToken requests a token from a random node. It returns "" if that fails.
func (c *caller) requestToken(service string) string {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.randomNodeURL()+"/.well-known/mulberrytray/token?service="+service, nil)
	if err != nil {
		return ""
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var response struct {
		Token string `json:"token"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&response) != nil {
		return ""
	}
	return response.Token
}

func (c *caller) randomNodeURL() string {
	instances := c.run.Fleet.Instances
	return instances[c.rng.IntN(len(instances))].CallerURL()
}

var errNoProgress = errors.New("no operation succeeded")

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
	// callTimeout bounds one send.
	callTimeout = 5 * time.Second
	// maxSends of one operation with a token.
	maxSends = 4
	// maxBodyBytes of a request.
	maxBodyBytes = 20000
	// maxAnswerBytes bounds what a caller reads.
	maxAnswerBytes = 4 << 20
)

// caller sends operations in turn until its context ends.
type caller struct {
	run    *Run
	rng    *rand.Rand
	client *http.Client
}

func (c *caller) loop(ctx context.Context) {
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

// lookup is idempotent.
func (c *caller) lookup() {
	c.send(&operation{method: http.MethodGet, service: c.run.plainService, rank: c.run.ranks[0], id: uuid.NewString(), idempotent: true})
}

// order is not idempotent and has no token: it is sent once.
func (c *caller) order() {
	c.send(&operation{method: http.MethodPost, service: c.run.plainService, rank: c.run.ranks[1], id: uuid.NewString(), body: c.body()})
}

// reserve is not idempotent and has a token: it is sent until its outcome is known.
func (c *caller) reserve() {
	op := &operation{method: http.MethodPost, service: c.run.tokenService, rank: c.run.ranks[1], id: uuid.NewString(), body: c.body()}
	if op.token = c.token(op.service); op.token == "" {
		return
	}
	for range maxSends {
		s := c.send(op)
		final := s.Status == http.StatusGone || s.Status == http.StatusUnprocessableEntity
		if s.Success() || final {
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

// operation is one action of a caller; it may be sent several times.
type operation struct {
	method, service, rank, id, token string
	idempotent                       bool
	body                             []byte
	header                           http.Header
}

// wantBody is what the upstream answers: an echo of the body, or a line that
// names the path.
func (o *operation) wantBody() string {
	if len(o.body) > 0 {
		return string(o.body)
	}
	return fmt.Sprintf("%s %s %s 0\n", o.service, o.method, o.path())
}

// path is unique for the operation.
func (o *operation) path() string { return "/operations/" + o.id }

func (c *caller) send(op *operation) history.Send {
	s := history.Send{
		RequestID: uuid.NewString(), Operation: op.id, Token: op.token,
		Idempotent: op.idempotent, Start: time.Now(), WantBody: op.wantBody(),
	}
	c.exchange(op, &s)
	s.End = time.Now()
	c.run.History.AddSend(s)
	return s
}

func (c *caller) exchange(op *operation, s *history.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var conn httptrace.GotConnInfo
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { conn, connected = i, true },
	})
	req, err := http.NewRequestWithContext(ctx, op.method, c.entry()+op.path(), bytes.NewReader(op.body))
	if err != nil {
		s.Err = err.Error()
		return
	}
	// The client must not send a request again by itself: each send has its own id.
	req.GetBody = nil
	for name, values := range op.header {
		req.Header[name] = values
	}
	req.Header.Set(outcome.HeaderService, op.service)
	req.Header.Set(outcome.HeaderRank, op.rank)
	req.Header.Set(outcome.HeaderRequestID, s.RequestID)
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
		s.Err = fmt.Sprintf("%v (connection reused %v, idle %v)", err, conn.Reused, conn.IdleTime)
		if errors.Is(err, syscall.ECONNREFUSED) && !connected {
			// Nobody listens there, and no earlier connection was used, so nothing was sent.
			s.Outcome = outcome.NotRun
		}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	s.Status = resp.StatusCode
	s.Outcome = outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome))
	s.Reason = outcome.Reason(resp.Header.Get(outcome.HeaderReason))
	s.GotBody = string(body)
	if err != nil {
		s.Err = err.Error()
		return
	}
	s.Complete = true
}

// token asks any node for a token; it returns "" if that fails.
func (c *caller) token(service string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry()+"/.well-known/mulberrytray/token?service="+service, nil)
	if err != nil {
		return ""
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var answer struct {
		Token string `json:"token"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return ""
	}
	return answer.Token
}

func (c *caller) entry() string {
	all := c.run.Fleet.Instances
	return all[c.rng.IntN(len(all))].CallerURL()
}

var errNoProgress = errors.New("no operation succeeded")

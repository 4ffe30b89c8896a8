package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/retry"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// maxOffers bounds the sidecars that one request is offered to.
	maxOffers = 3
	// defaultTimeout applies to requests that state no time.
	defaultTimeout = 10 * time.Second
	// noConfigRetry is when callers should return to a node that has no configuration.
	noConfigRetry = 300 * time.Millisecond
	// stoppingRetry is when callers should return to a node that restarts.
	stoppingRetry = 500 * time.Millisecond
	// noUpstreamRetry is when callers should return if no upstream is known.
	noUpstreamRetry = 200 * time.Millisecond
	// answerWait is how long past its time an ingress waits for a call's result.
	answerWait = answerSlack + 2*hopSlack
	// sendsPerRetry keeps repeats at a quarter of the users' limit of one in five: a
	// window may hold the credit of two, and a repeat repeats its own calls as well.
	sendsPerRetry = 20
	// restTimeout is how long the rest of a body is read after its answer, as in
	// pkg/ingress.
	restTimeout = time.Second
	// minRepeat is the least time that must be left to send a request once more.
	minRepeat = 20 * time.Millisecond
)

// Choice is an upstream chosen for a call.
type Choice struct {
	// Address is the node beside the upstream, or empty for the node itself.
	Address  string
	Upstream string
	// Detail explains the choice in logs.
	Detail string
}

// Directory chooses upstreams. Implementations are safe for concurrent use.
type Directory interface {
	// Choose returns an upstream of the service that is not excluded.
	Choose(service, class string, exclude []string) (Choice, bool)
	// Ended reports how a call at the chosen upstream ended.
	Ended(c Choice, class string, r *Result)
}

// Ingress takes requests from callers. It is safe for concurrent use.
type Ingress struct {
	Names   Names
	Service string
	Dir     Directory
	Peers   Peers
	Sidecar *Sidecar
	Events  *event.Logger
	Metrics metrics.Registry

	table    atomic.Pointer[route.Table]
	splitter *route.Splitter
	closing  atomic.Bool
	// leaveAt is when the node will be gone, or nil.
	leaveAt atomic.Pointer[time.Time]
	active  atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	// patience holds what callers of each route state.
	patience map[string]*patience
}

// Provision prepares the ingress for requests.
func (in *Ingress) Provision() {
	in.splitter = route.NewSplitter()
	in.budgets = map[string]*retry.Budget{}
	in.patience = map[string]*patience{}
}

// Install puts a routing table in force for requests that start from now on.
func (in *Ingress) Install(t *route.Table) {
	in.table.Store(t)
	in.mu.Lock()
	defer in.mu.Unlock()
	maps.DeleteFunc(in.patience, func(name string, _ *patience) bool { return !t.Has(name) })
	maps.DeleteFunc(in.budgets, func(service string, _ *retry.Budget) bool { return !t.HasService(service) })
}

// Table returns the table in force, or nil.
func (in *Ingress) Table() *route.Table { return in.table.Load() }

// CloseConnections asks callers to close their connections with the next answer.
func (in *Ingress) CloseConnections() { in.closing.Store(true) }

// LeaveAt refuses requests from now on that may take until after the time. Shorter
// ones, such as calls of the upstream beside the node, are still served.
func (in *Ingress) LeaveAt(at time.Time) { in.leaveAt.Store(&at) }

// Active returns the number of requests in hand.
func (in *Ingress) Active() int64 { return in.active.Load() }

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.active.Add(1)
	defer in.active.Add(-1)
	if in.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	table := in.table.Load()
	if table == nil {
		in.reject(w, r, http.StatusServiceUnavailable, "no-configuration", noConfigRetry)
		return
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		in.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "header-too-large", 0)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rt := table.Match(r.Host, path)
	if rt == nil {
		in.reject(w, r, http.StatusNotFound, "no-route", 0)
		return
	}
	defer in.boundRest(w, r)
	t := in.newTrip(r, table, rt)
	if err := in.readRequest(w, r, t, table.Limits.MaxBodyBytes); err != nil {
		in.reject(w, r, bodyStatus(err), err.Error(), 0)
		return
	}
	if at := in.leaveAt.Load(); at != nil && t.deadline.Add(answerWait).After(*at) {
		in.reject(w, r, http.StatusServiceUnavailable, "stopping", stoppingRetry)
		return
	}
	result := in.carry(r.Context(), t)
	in.finish(w, r, t, result)
}

// readRequest reads the beginning of the body, until the request's time is over.
func (in *Ingress) readRequest(w http.ResponseWriter, r *http.Request, t *trip, limit int64) error {
	if r.Body == http.NoBody {
		return nil
	}
	in.setReadDeadline(w, r, t.deadline)
	err := readBody(&t.call, r.Body, r.ContentLength, limit)
	if err == nil {
		// The server goes on reading to see whether the caller leaves.
		in.setReadDeadline(w, r, time.Time{})
	}
	return err
}

// boundRest bounds the time for which the server reads what is left of a body after
// its answer. Without it, a caller that stops sending holds its connection.
func (in *Ingress) boundRest(w http.ResponseWriter, r *http.Request) {
	if r.Body != http.NoBody {
		in.setReadDeadline(w, r, time.Now().Add(restTimeout))
	}
}

func (in *Ingress) setReadDeadline(w http.ResponseWriter, r *http.Request, at time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(at); err != nil && r.Context().Err() == nil {
		in.Events.Emit(event.AnswerNotDelivered, event.Fields{"id": r.Header.Get(in.Names.RequestID), "error": err.Error()})
	}
}

func (in *Ingress) budget(service string) *retry.Budget {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.budgets[service]
	if b == nil {
		b = retry.NewBudgetOf(sendsPerRetry)
		in.budgets[service] = b
	}
	return b
}

// carry sends the request to upstreams until it is answered or given up.
func (in *Ingress) carry(ctx context.Context, t *trip) *Result {
	budget := in.budget(t.call.Service)
	budget.Send()
	var last *Result
	for {
		result := in.send(ctx, t)
		if result == nil {
			return t.giveUp(last)
		}
		t.detail = append(t.detail, string(result.Kind)+":"+result.Reason)
		last = result
		if result.Kind == Answered && (result.Status < http.StatusInternalServerError || !t.route.Idempotent) {
			return result
		}
		if ctx.Err() != nil || !in.mayRepeat(t, result, budget) {
			return t.giveUp(last)
		}
		if result.Kind == Answered && result.Rest == nil {
			t.answer = result
		}
		result.close()
	}
}

// mayRepeat decides whether the request is sent once more after the result.
func (in *Ingress) mayRepeat(t *trip, result *Result, budget *retry.Budget) bool {
	if time.Until(t.deadline) < minRepeat || t.call.Rest != nil {
		return false
	}
	if result.Kind == Refused {
		return t.offers < maxOffers
	}
	if result.Kind != Declined {
		t.mayHaveRun = true
		if !t.route.Idempotent {
			return false
		}
	}
	return t.sends < max(1, t.route.MaxAttempts) && budget.Retry()
}

// send makes one offer. A nil result means that no upstream is left.
func (in *Ingress) send(ctx context.Context, t *trip) *Result {
	choice, ok := in.Dir.Choose(t.call.Service, t.call.Class, t.exclude)
	if !ok {
		return nil
	}
	t.exclude = append(t.exclude, choice.Address)
	t.detail = append(t.detail, choice.Detail)
	t.offers++
	left := time.Until(t.deadline)
	if left <= 0 {
		return refused("deadline", 0)
	}
	c := t.call
	c.Upstream, c.Timeout = choice.Upstream, left
	c.TargetLeft -= time.Since(t.started)
	result := in.await(ctx, choice, &c, left)
	if result.Kind != Refused {
		t.sends++
	}
	in.Dir.Ended(choice, c.Class, result)
	return result
}

// await runs the call and waits for its result until its time is over.
func (in *Ingress) await(ctx context.Context, choice Choice, c *Call, left time.Duration) *Result {
	ctx, cancel := context.WithTimeout(ctx, left+answerWait)
	defer cancel()
	if choice.Address == "" {
		return in.Sidecar.runWithin(ctx, c)
	}
	return in.Peers.Call(ctx, choice.Address, c)
}

// runWithin returns when the call ends or the context does. A call that must not
// be cancelled goes on by itself.
func (s *Sidecar) runWithin(ctx context.Context, c *Call) *Result {
	if c.Idempotent {
		return s.Run(ctx, c)
	}
	done := make(chan *Result, 1)
	go func() { done <- s.Run(ctx, c) }()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		select {
		case r := <-done:
			return r
		default:
			return failed(reasonCallerLeft, true)
		}
	}
}

// finish writes the result to the caller.
func (in *Ingress) finish(w http.ResponseWriter, r *http.Request, t *trip, result *Result) {
	status := result.Status
	switch result.Kind {
	case Refused, Declined:
		status = http.StatusServiceUnavailable
	case Failed:
		status = http.StatusBadGateway
		if result.TimedOut {
			status = http.StatusGatewayTimeout
		}
	}
	in.record(r, t, result, status)
	if result.Kind == Answered {
		writeAnswer(w, result)
		return
	}
	in.writeError(w, r, status, result.Reason, spread(result.RetryAfter))
}

// spread varies the time of return, so that refused callers don't come back together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (in *Ingress) record(r *http.Request, t *trip, result *Result, status int) {
	took := time.Since(t.started)
	metrics.GetOrRegisterTimer("request."+string(result.Kind), in.Metrics).Update(took)
	e := event.RequestEnded
	if result.Kind != Answered {
		e = event.RequestFailed
	}
	in.Events.Emit(e, event.Fields{
		"id": t.call.ID, "route": t.route.Name, "config": t.version, "service": t.call.Service, "status": status,
		"outcome": string(result.Kind), "reason": result.Reason, "detail": result.Detail, "sends": t.sends, "path": strings.Join(t.detail, " "),
		"took_ms": took.Milliseconds(), "waited_ms": result.Waited.Milliseconds(),
		"budget_ms": t.deadline.Sub(t.started).Milliseconds(), "caller_left": r.Context().Err() != nil,
	})
}

// reject answers a request that was not sent anywhere.
func (in *Ingress) reject(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	metrics.GetOrRegisterCounter("request.rejected", in.Metrics).Inc(1)
	in.Events.Emit(event.RequestRejected, event.Fields{
		"id": r.Header.Get(in.Names.RequestID), "host": r.Host, "status": status, "reason": reason,
	})
	in.writeError(w, r, status, reason, retryAfter)
}

func (in *Ingress) writeError(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	if id := r.Header.Get(in.Names.RequestID); id != "" {
		h.Set(in.Names.RequestID, id)
	}
	if status == http.StatusServiceUnavailable && retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, err := w.Write([]byte(reason + "\n"))
	if err != nil {
		in.Events.Emit(event.AnswerNotDelivered, event.Fields{"id": r.Header.Get(in.Names.RequestID), "error": err.Error()})
	}
}

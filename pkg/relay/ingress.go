package relay

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/bodybuf"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/retry"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// maxOffers is the maximum number of sidecars that one request is offered to.
	maxOffers = 3
	// defaultTimeout applies to requests without a time limit.
	defaultTimeout = 10 * time.Second
	// noConfigRetry is the Retry-After of a node that has no configuration.
	noConfigRetry = 300 * time.Millisecond
	// reasonStopping is for requests that may last longer than a node that stops.
	reasonStopping = "stopping"
	// reasonNoRoute is for requests that no route matches.
	reasonNoRoute = "no-route"
	// stoppingRetry is the Retry-After of a node that restarts.
	stoppingRetry = 500 * time.Millisecond
	// noUpstreamRetry is the Retry-After if no upstream is known.
	noUpstreamRetry = 200 * time.Millisecond
	// resultSlack is how long past a call's deadline the ingress waits for its result.
	resultSlack = responseSlack + 2*hopSlack
	// requestsPerRetry keeps retries at a quarter of the users' limit of one in five:
	// the credit of two windows may be used in one, and a retried request also
	// repeats the calls that it makes.
	requestsPerRetry = 20
	// bodyDrainTimeout bounds reading the rest of a request body after the response,
	// as in pkg/ingress.
	bodyDrainTimeout = time.Second
	// minRetryTime is the minimum time left for a retry.
	minRetryTime = 20 * time.Millisecond
)

// Choice is an upstream chosen for a call.
type Choice struct {
	// Address is the node beside the upstream, or empty for the node itself.
	Address  string
	Upstream string
	// Detail explains the choice in logs.
	Detail string
}

// Demand is what the choice of an upstream depends on.
type Demand struct {
	Service, Class string
	// TargetLeft is the time until which the response has its full worth. It may be negative.
	TargetLeft time.Duration
	// BodyBytes is the length of the request's body, or -1 if it is not known.
	BodyBytes int64
}

// Directory chooses upstreams. Implementations are safe for concurrent use.
type Directory interface {
	// Choose returns an upstream of the demanded service that is not excluded.
	Choose(d Demand, exclude []string) (Choice, bool)
	// Ended reports the result of a call at the chosen upstream.
	Ended(c Choice, class string, r *Result)
}

// Ingress receives requests from callers. It is safe for concurrent use.
type Ingress struct {
	Names   HeaderNames
	Service string
	Dir     Directory
	Peers   Peers
	Sidecar *Sidecar
	Events  *event.Logger
	Metrics metrics.Registry
	// Bodies limits the memory for requests.
	Bodies *bodybuf.Budget
	// Requests limits the number of requests in progress.
	Requests *RequestLimit
	// Quotas limits the requests of organisations, or is nil.
	Quotas Quotas

	table    atomic.Pointer[route.Table]
	splitter *route.Splitter
	closing  atomic.Bool
	// stopBegan is when CloseConnections was called, and stopAt when the node stops, or nil.
	stopBegan, stopAt atomic.Pointer[time.Time]
	active            atomic.Int64
	// aborted ends when Abort is called.
	aborted context.Context
	abort   context.CancelFunc

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	// ages estimates the age of requests by route.
	ages map[string]*ageEstimator
}

// Provision prepares the ingress for requests.
func (in *Ingress) Provision() {
	in.splitter = route.NewSplitter()
	in.budgets = map[string]*retry.Budget{}
	in.ages = map[string]*ageEstimator{}
	in.aborted, in.abort = context.WithCancel(context.Background())
}

// Install activates a routing table for requests that start from now on.
func (in *Ingress) Install(t *route.Table) {
	in.table.Store(t)
	in.splitter.Prune(t)
	in.mu.Lock()
	defer in.mu.Unlock()
	maps.DeleteFunc(in.ages, func(name string, _ *ageEstimator) bool { return !t.HasRoute(name) })
	maps.DeleteFunc(in.budgets, func(service string, _ *retry.Budget) bool { return !t.HasService(service) })
}

// Table returns the active routing table, or nil.
func (in *Ingress) Table() *route.Table { return in.table.Load() }

// CloseConnections adds "Connection: close" to all further responses, except those before one to a
// request that was started ahead. No more requests start ahead.
func (in *Ingress) CloseConnections() {
	now := time.Now()
	in.stopBegan.Store(&now)
	in.closing.Store(true)
}

// StopAt rejects all further requests that may last beyond the given time. Shorter
// ones, such as calls of the upstream beside the node, are still served.
func (in *Ingress) StopAt(at time.Time) { in.stopAt.Store(&at) }

// stopsBefore reports whether the node may stop before the request ends.
func (in *Ingress) stopsBefore(rs *requestState) bool {
	at := in.stopAt.Load()
	return at != nil && rs.deadline.Add(resultSlack).After(*at)
}

// Abort ends all requests that were passed on and have no response yet. Their callers get
// an error instead of a closed connection, which could mean that the request was not read.
func (in *Ingress) Abort() { in.abort() }

// Active returns the number of requests in progress.
func (in *Ingress) Active() int64 { return in.active.Load() }

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.active.Add(1)
	defer in.active.Add(-1)
	connection := connectionOf(r.Context())
	connection.requests.Add(1)
	defer in.logPanic(r)
	started := connection.takeStarted(r)
	if in.closing.Load() && connection.startedAhead() == 0 {
		w.Header().Set("Connection", "close")
	}
	if started != nil {
		connection.permitAhead(r, started.route)
		in.serveStarted(w, r, started)
		return
	}
	defer in.limitBodyDrain(w, r)
	table := in.table.Load()
	if table == nil {
		in.reject(w, r, http.StatusServiceUnavailable, "no-configuration", noConfigRetry)
		return
	}
	place := in.Requests.begin()
	if place == nil {
		in.reject(w, r, http.StatusServiceUnavailable, reasonMemory, memoryRetry)
		return
	}
	defer place.end()
	hasLongHeader, ok := connection.chargeHeader(r)
	if !ok {
		in.reject(w, r, http.StatusServiceUnavailable, reasonMemory, memoryRetry)
		return
	}
	if limit := table.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit || callBytes(r) > maxCallHeaderBytes {
		in.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "header-too-large", 0)
		return
	}
	rt := table.Match(r.Host, requestPath(r))
	if rt == nil {
		in.rejectNoRoute(w, r, table)
		return
	}
	organisation, ok := in.identify(table, rt, r.Header)
	if !ok {
		in.reject(w, r, http.StatusUnauthorized, reasonUnknownKey, 0)
		return
	}
	if retryAfter, ok := in.admit(r.Context(), organisation); !ok {
		in.rejectOverQuota(w, r, organisation, retryAfter)
		return
	}
	rs := in.newRequestState(r, table, rt, organisation)
	rs.place, rs.hasLongHeader = place, hasLongHeader
	defer in.closeRequest(rs)
	connection.permitAhead(r, rt)
	if in.stopsBefore(rs) {
		in.reject(w, r, http.StatusServiceUnavailable, reasonStopping, stoppingRetry)
		return
	}
	if r.ContentLength > bodyBufferBytes && !place.beginLong() {
		in.reject(w, r, http.StatusServiceUnavailable, reasonMemory, memoryRetry)
		return
	}
	err := in.readRequest(w, r, rs, table.Limits.MaxBodyBytes)
	defer place.body.end()
	if err != nil {
		in.reject(w, r, bodyStatus(err), err.Error(), memoryRetry)
		return
	}
	if in.stopsBefore(rs) {
		in.reject(w, r, http.StatusServiceUnavailable, reasonStopping, stoppingRetry)
		return
	}
	if rs.call.Rest != nil && !place.beginLong() {
		in.reject(w, r, http.StatusServiceUnavailable, reasonMemory, memoryRetry)
		return
	}
	result := in.forwardUntilAbort(r.Context(), rs)
	if rs.call.Rest != nil {
		in.closeBody(w, r)
	}
	in.writeResult(w, r, rs, result)
}

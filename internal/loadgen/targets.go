package loadgen

import (
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// NewClient returns an HTTP client for load generation.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: 2000, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// sendHTTP sends a request of class c to the base URL and reads the complete response.
func sendHTTP(ctx context.Context, client *http.Client, base string, c *Class) Reply {
	var body io.Reader
	if c.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, base+c.Path, body)
	if err != nil {
		return Reply{Err: err}
	}
	req.Header.Set(outcome.HeaderService, c.Service)
	req.Header.Set(outcome.HeaderRank, c.Rank)
	if c.Caller != "" {
		req.Header.Set(outcome.HeaderCaller, c.Caller)
	}
	if deadline, ok := ctx.Deadline(); ok {
		ms := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(ms, 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return Reply{
		Status: resp.StatusCode, Err: err,
		Outcome:  outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)),
		Reason:   outcome.Reason(resp.Header.Get(outcome.HeaderReason)),
		ServedBy: resp.Header.Get(outcome.HeaderServedBy),
	}
}

// System sends each request to the caller listener of a random node.
type System struct {
	Client *http.Client
	// EntryURLs are the base URLs of the caller listeners.
	EntryURLs []string
}

// Send sends a request to a randomly chosen node.
func (s *System) Send(ctx context.Context, c *Class) Reply {
	return sendHTTP(ctx, s.Client, s.EntryURLs[rand.IntN(len(s.EntryURLs))], c)
}

// Policy chooses an upstream for a request of one router and returns its index. turn is
// the running number of the request, and inFlight counts the router's requests in flight
// by upstream.
type Policy func(turn uint64, inFlight []atomic.Int32) int

// RoundRobin cycles through the upstreams.
func RoundRobin(turn uint64, inFlight []atomic.Int32) int {
	return int(turn % uint64(len(inFlight)))
}

// Random chooses a random upstream.
func Random(_ uint64, inFlight []atomic.Int32) int { return rand.IntN(len(inFlight)) }

// TwoChoices chooses the one of two random upstreams with fewer requests in flight.
func TwoChoices(_ uint64, inFlight []atomic.Int32) int {
	a, b := rand.IntN(len(inFlight)), rand.IntN(len(inFlight))
	if inFlight[b].Load() < inFlight[a].Load() {
		return b
	}
	return a
}

// Baseline sends requests directly to the upstreams by a simple policy. It models
// separate nodes by several routers that don't share their counts of requests in
// flight.
type Baseline struct {
	client    *http.Client
	upstreams []string
	policy    Policy
	routers   []*router
}

type router struct {
	turn     atomic.Uint64
	inFlight []atomic.Int32
}

// NewBaseline returns a Baseline with the given number of routers.
func NewBaseline(client *http.Client, upstreams []string, routers int, p Policy) *Baseline {
	b := &Baseline{client: client, upstreams: upstreams, policy: p}
	for range routers {
		r := &router{inFlight: make([]atomic.Int32, len(upstreams))}
		r.turn.Store(rand.Uint64N(uint64(len(upstreams))))
		b.routers = append(b.routers, r)
	}
	return b
}

// Send sends a request through a randomly chosen router.
func (b *Baseline) Send(ctx context.Context, c *Class) Reply {
	r := b.routers[rand.IntN(len(b.routers))]
	i := b.policy(r.turn.Add(1), r.inFlight)
	r.inFlight[i].Add(1)
	defer r.inFlight[i].Add(-1)
	reply := sendHTTP(ctx, b.client, b.upstreams[i], c)
	reply.ServedBy = strconv.Itoa(i)
	return reply
}

// CentralQueue is a single queue in front of all slots of the upstreams, ordered by
// worth and then arrival. It is an upper bound that no distributed system can reach.
type CentralQueue struct {
	client    *http.Client
	upstreams []string

	mu      sync.Mutex
	free    []int
	waiting waiters
	arrival uint64
}

// NewCentralQueue returns a central queue in front of upstreams with this number of
// slots each.
func NewCentralQueue(client *http.Client, upstreams []string, slots int) *CentralQueue {
	c := &CentralQueue{client: client, upstreams: upstreams}
	for range upstreams {
		c.free = append(c.free, slots)
	}
	return c
}

// Send waits for a free slot and sends the request to its upstream.
func (q *CentralQueue) Send(ctx context.Context, c *Class) Reply {
	i, err := q.acquire(ctx, c.Worth)
	if err != nil {
		return Reply{Err: err, Outcome: outcome.NotRun}
	}
	defer q.release(i)
	reply := sendHTTP(ctx, q.client, q.upstreams[i], c)
	reply.ServedBy = strconv.Itoa(i)
	return reply
}

// acquire waits until a slot is free and returns the index of its upstream.
func (q *CentralQueue) acquire(ctx context.Context, worth float64) (int, error) {
	q.mu.Lock()
	if i := q.tryAcquire(); i >= 0 {
		q.mu.Unlock()
		return i, nil
	}
	q.arrival++
	w := &waiter{worth: worth, arrival: q.arrival, granted: make(chan int, 1)}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	select {
	case i := <-w.granted:
		return i, nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return 0, fmt.Errorf("wait for a slot in the central queue: %w", ctx.Err())
	}
	// A slot was granted before the lock was acquired.
	return <-w.granted, nil
}

// tryAcquire acquires a slot of the upstream with the most free slots and returns
// its index, or -1 if no slot is free. The caller holds the lock.
func (q *CentralQueue) tryAcquire() int {
	best := 0
	for i := range q.free {
		if q.free[i] > q.free[best] {
			best = i
		}
	}
	if q.free[best] == 0 {
		return -1
	}
	q.free[best]--
	return best
}

// release passes the slot to the first waiting request, or frees it.
func (q *CentralQueue) release(i int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.free[i]++
		return
	}
	w := heap.Pop(&q.waiting).(*waiter)
	w.granted <- i
}

// waiter is a request in the central queue. index is its position in the heap, or
// -1 after its removal.
type waiter struct {
	worth   float64
	arrival uint64
	granted chan int
	index   int
}

// waiters is a heap of requests that implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].worth != w[j].worth {
		return w[i].worth > w[j].worth
	}
	return w[i].arrival < w[j].arrival
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// trip is a request of a caller on its way.
type trip struct {
	call     Call
	route    *route.Route
	version  uint64
	started  time.Time
	deadline time.Time
	sends    int
	offers   int
	exclude  []string
	detail   []string
	// mayHaveRun is set after a send with unknown outcome.
	mayHaveRun bool
	// answer is the error that an upstream answered with before the request was sent
	// once more, or nil.
	answer *Result
}

// newTrip returns the request without its body. It sets the time that the request
// has: the least of what the caller states and the route allows.
func (in *Ingress) newTrip(r *http.Request, table *route.Table, rt *route.Route) *trip {
	now := time.Now()
	timeout, spent := defaultTimeout, time.Duration(0)
	if n, err := strconv.ParseInt(r.Header.Get(in.Names.TimeoutMillis), 10, 64); err == nil && n > 0 {
		timeout = ms(n)
		spent = in.spent(rt.Name, timeout)
	}
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	h := endToEnd(r.Header)
	t := &trip{route: rt, version: table.Version, started: now, deadline: now.Add(timeout)}
	t.call = Call{
		ID: r.Header.Get(in.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h,
		Service: in.splitter.Pick(rt), Caller: in.Service, Class: rt.Name, Rank: rt.Rank,
		Target: rt.Target, TargetLeft: rt.Target - spent, Timeout: timeout, Idempotent: rt.Idempotent,
	}
	return t
}

// spent estimates how long ago the caller first sent this request.
func (in *Ingress) spent(name string, stated time.Duration) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.patience[name]
	if p == nil {
		p = &patience{}
		in.patience[name] = p
	}
	p.observe(stated)
	return p.spent(stated)
}

// giveUp returns the result that the caller gets: an upstream's own answer if there is
// one, and never "not run" if an earlier send may have run.
func (t *trip) giveUp(last *Result) *Result {
	if t.answer != nil && (last == nil || last.Kind != Answered) {
		return t.answer
	}
	if last == nil {
		return refused("no-upstream", noUpstreamRetry)
	}
	if t.mayHaveRun && (last.Kind == Refused || last.Kind == Declined) {
		return failed("earlier-send-unknown", false)
	}
	return last
}

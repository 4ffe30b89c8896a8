package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// requestState is the state of a caller's request over all attempts.
type requestState struct {
	call  Call
	route *route.Route
	// organisation is that of the caller, or nil.
	organisation *route.Organisation
	version      uint64
	started      time.Time
	deadline     time.Time
	// attempts is the number of offers that the sidecars did not reject.
	attempts int
	// offers is the number of sidecars to which the request was offered.
	offers int
	// exclude lists the addresses of these sidecars' nodes.
	exclude []string
	// detail describes the choices and results of the offers in logs.
	detail []string
	// mayHaveRun is set after an attempt with unknown outcome, ran also after a complete one.
	mayHaveRun, ran bool
	// errorResponse is the last error response of an upstream before a retry, or nil.
	errorResponse *Result
	// place is the place of a request that is received by a handler.
	place *place
	// hasLongHeader is set if the header takes memory that is limited.
	hasLongHeader bool
}

// newRequestState returns the state of a request, without the body. The time limit is
// the lower of the caller's and the route's.
func (in *Ingress) newRequestState(r *http.Request, table *route.Table, rt *route.Route, o *route.Organisation) *requestState {
	now := time.Now()
	timeout, age := defaultTimeout, time.Duration(0)
	if n, err := strconv.ParseInt(r.Header.Get(in.Names.TimeoutMillis), 10, 64); err == nil && n > 0 {
		timeout = ms(n)
		age = in.requestAge(rt.Name, timeout)
	}
	if rt.Timeout > 0 {
		timeout = min(timeout, rt.Timeout)
	}
	h := endToEnd(r.Header)
	in.removeCredentials(table, h)
	rs := &requestState{route: rt, organisation: o, version: table.Version, started: now, deadline: now.Add(timeout)}
	rs.call = Call{
		ID: r.Header.Get(in.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h,
		Service: in.splitter.Pick(rt), Caller: in.Service, Class: rt.Name, Rank: effectiveRank(rt, o),
		Target: rt.Target, TargetLeft: rt.Target - age, Timeout: timeout, Idempotent: rt.Idempotent,
	}
	if o != nil {
		rs.call.Organisation = o.Name
	}
	return rs
}

// demand returns what the choice of an upstream depends on now.
func (rs *requestState) demand() Demand {
	targetLeft := rs.call.TargetLeft - time.Since(rs.started)
	if rs.route.Target == 0 {
		targetLeft = time.Until(rs.deadline)
	}
	return Demand{Service: rs.call.Service, Class: rs.call.Class, TargetLeft: targetLeft, BodyBytes: rs.call.Length}
}

// closeRequest ends the state of a request. One that has not run doesn't count towards the quota of
// its organisation.
func (in *Ingress) closeRequest(rs *requestState) {
	if !rs.ran {
		in.refund(rs.organisation)
	}
	rs.close()
}

// requestAge records the time limit of a request and estimates how long ago the caller
// first sent the request.
func (in *Ingress) requestAge(routeName string, timeout time.Duration) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	e := in.ages[routeName]
	if e == nil {
		e = &ageEstimator{}
		in.ages[routeName] = e
	}
	e.observe(timeout)
	return e.requestAge(timeout)
}

// setErrorResponse replaces the last error response.
func (rs *requestState) setErrorResponse(r *Result) {
	if rs.errorResponse != nil {
		rs.errorResponse.close()
	}
	rs.errorResponse = r
}

// close releases the buffers of the request and of its last error response.
func (rs *requestState) close() {
	rs.call.buffer.Release()
	if rs.errorResponse != nil {
		rs.errorResponse.close()
	}
}

// finalResult returns the result for the caller: an upstream's response if there is
// one, and never "not run" if an earlier attempt may have run.
func (rs *requestState) finalResult(last *Result) *Result {
	if rs.errorResponse != nil && (last == nil || last.Kind != Completed) {
		return rs.errorResponse
	}
	if last == nil {
		return rejected("no-upstream", noUpstreamRetry)
	}
	if rs.mayHaveRun && (last.Kind == Rejected || last.Kind == Declined) {
		return failed("earlier-send-unknown", false)
	}
	return last
}

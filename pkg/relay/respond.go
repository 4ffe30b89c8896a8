package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// writeResult writes the result to the caller.
func (in *Ingress) writeResult(w http.ResponseWriter, r *http.Request, rs *requestState, result *Result) {
	status := result.Status
	switch result.Kind {
	case Rejected, Declined:
		status = http.StatusServiceUnavailable
	case Failed:
		status = http.StatusBadGateway
		if result.TimedOut {
			status = http.StatusGatewayTimeout
		}
	}
	in.record(r, rs, result, status)
	if result.Kind == Completed {
		writeResponse(w, result)
		return
	}
	in.logDuringStop(rs, status, result)
	in.writeError(w, r, status, result.Reason, jitter(result.RetryAfter))
}

// logDuringStop logs a response of the node's own to a request on which an upstream may be at work, while
// the node stops.
func (in *Ingress) logDuringStop(rs *requestState, status int, result *Result) {
	began := in.stopBegan.Load()
	if began == nil || !rs.mayHaveRun && result.Kind != Failed {
		return
	}
	in.Events.Emit(event.OwnResponseDuringStop, event.Fields{
		"id": rs.call.ID, "status": status, "reason": result.Reason, "detail": result.Detail, "since_stop_ms": time.Since(*began).Milliseconds(),
		"took_ms": time.Since(rs.started).Milliseconds(), "left_ms": time.Until(rs.deadline).Milliseconds(), "sends": rs.attempts, "path": strings.Join(rs.detail, " "),
	})
}

// jitter randomizes the Retry-After, so that rejected callers don't retry together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// record updates the metrics and logs the end of the request.
func (in *Ingress) record(r *http.Request, rs *requestState, result *Result, status int) {
	took := time.Since(rs.started)
	metrics.GetOrRegisterTimer("request."+string(result.Kind), in.Metrics).Update(took)
	e := event.RequestEnded
	if result.Kind != Completed {
		e = event.RequestFailed
	}
	in.Events.Emit(e, event.Fields{
		"id": rs.call.ID, "route": rs.route.Name, "config": rs.version, "service": rs.call.Service, "status": status,
		"outcome": string(result.Kind), "reason": result.Reason, "detail": result.Detail, "sends": rs.attempts, "path": strings.Join(rs.detail, " "),
		"took_ms": took.Milliseconds(), "waited_ms": result.Waited.Milliseconds(),
		"budget_ms": rs.deadline.Sub(rs.started).Milliseconds(), "caller_left": r.Context().Err() != nil, "organisation": rs.call.Organisation,
	})
	if r.Context().Err() == nil {
		return
	}
	connection := connectionOf(r.Context())
	metrics.GetOrRegisterCounter("connection.closed."+string(connection.closeReason()), in.Metrics).Inc(1)
	in.Events.Emit(event.CallerDisconnected, event.Fields{
		"id": rs.call.ID, "closed_by": string(connection.closeReason()), "request_on_connection": connection.requests.Load(),
		"sends": rs.attempts, "took_ms": took.Milliseconds(),
	})
}

// logPanic logs a panic of the request's handler, which closes the connection.
func (in *Ingress) logPanic(r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	id := r.Header.Get(in.Names.RequestID)
	if p == http.ErrAbortHandler {
		in.Events.Emit(event.AnswerNotDelivered, event.Fields{"id": id, "error": "response body broken off"})
		if !r.ProtoAtLeast(1, 1) {
			// A response without length ends with a regular close for HTTP/1.0.
			connectionOf(r.Context()).resetOnClose()
		}
	} else {
		in.reportPanic(r, p)
	}
	panic(p)
}

func (in *Ingress) reportPanic(r *http.Request, p any) {
	in.Events.Emit(event.HandlerPanic, event.Fields{"id": r.Header.Get(in.Names.RequestID), "panic": fmt.Sprint(p), "stack": string(debug.Stack())})
}

// reject responds to a request that was not sent to any node.
func (in *Ingress) reject(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	metrics.GetOrRegisterCounter("request.rejected", in.Metrics).Inc(1)
	in.Events.Emit(event.RequestRejected, event.Fields{
		"id": r.Header.Get(in.Names.RequestID), "host": r.Host, "status": status, "reason": reason,
	})
	in.writeError(w, r, status, reason, retryAfter)
}

// rejectNoRoute responds to a request that no route of the table matches.
func (in *Ingress) rejectNoRoute(w http.ResponseWriter, r *http.Request, t *route.Table) {
	metrics.GetOrRegisterCounter("request.rejected", in.Metrics).Inc(1)
	in.Events.Emit(event.RequestRejected, event.Fields{
		"id": r.Header.Get(in.Names.RequestID), "host": r.Host, "status": http.StatusNotFound, "reason": reasonNoRoute,
		"config": t.Version, "host_known": t.HasHost(r.Host),
	})
	in.writeError(w, r, http.StatusNotFound, reasonNoRoute, 0)
}

// rejectOverQuota responds to a request beyond the limit of its organisation.
func (in *Ingress) rejectOverQuota(w http.ResponseWriter, r *http.Request, o *route.Organisation, retryAfter time.Duration) {
	metrics.GetOrRegisterCounter("quota.rejected", in.Metrics).Inc(1)
	in.Events.Emit(event.QuotaExceeded, event.Fields{
		"id": r.Header.Get(in.Names.RequestID), "organisation": o.Name, "retry_after_ms": retryAfter.Milliseconds(),
	})
	in.writeError(w, r, http.StatusTooManyRequests, reasonQuota, jitter(retryAfter))
}

// mayComeAgain reports whether the status means that the request has not run and may be sent again.
func mayComeAgain(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func (in *Ingress) writeError(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	if id := r.Header.Get(in.Names.RequestID); id != "" {
		h.Set(in.Names.RequestID, id)
	}
	if mayComeAgain(status) && retryAfter > 0 {
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

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/retry"
)

func (in *Ingress) budget(service string) *retry.Budget {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.budgets[service]
	if b == nil {
		b = retry.NewBudgetWithCost(requestsPerRetry)
		in.budgets[service] = b
	}
	return b
}

// forwardUntilAbort forwards the request until it completes or Abort is called.
func (in *Ingress) forwardUntilAbort(ctx context.Context, rs *requestState) *Result {
	abortable, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(in.aborted, cancel)
	result := in.forward(abortable, rs)
	if result.Rest != nil {
		result.Rest = &closer{ReadCloser: result.Rest, done: func() { stop(); cancel() }}
		return result
	}
	stop()
	cancel()
	if result.Kind == Failed && in.aborted.Err() != nil && ctx.Err() == nil {
		return failed("stopped", false)
	}
	return result
}

// forward sends the request to upstreams until it completes or may not be retried.
func (in *Ingress) forward(ctx context.Context, rs *requestState) *Result {
	budget := in.budget(rs.call.Service)
	budget.RecordFirstAttempt()
	var last *Result
	for {
		result := in.offer(ctx, rs)
		if result == nil {
			return rs.finalResult(last)
		}
		if last != nil && last != rs.errorResponse {
			last.close()
		}
		rs.detail = append(rs.detail, string(result.Kind)+":"+result.Reason)
		last = result
		rs.ran = rs.ran || result.Kind == Completed || result.Kind == Failed
		if result.Kind == Completed && (result.Status < http.StatusInternalServerError || !rs.route.Idempotent) {
			return result
		}
		if ctx.Err() != nil || !in.mayRetry(rs, result, budget) {
			return rs.finalResult(last)
		}
		if result.Kind == Completed && result.Rest == nil {
			rs.setErrorResponse(result)
		}
	}
}

// mayRetry reports whether the request may be sent again after the result.
func (in *Ingress) mayRetry(rs *requestState, result *Result, budget *retry.Budget) bool {
	if time.Until(rs.deadline) < minRetryTime || rs.call.Rest != nil {
		return false
	}
	if result.Kind == Rejected {
		// The node may know of crashes that the next one has not heard of yet.
		return rs.offers < maxOffers && result.Reason != reasonCrashesUpstreams
	}
	if result.Kind != Declined {
		rs.mayHaveRun = true
		if !rs.route.Idempotent {
			return false
		}
	}
	return rs.attempts < max(1, rs.route.MaxAttempts) && budget.TryRetry()
}

// offer sends the request to one more sidecar, which may reject it. A nil result
// means that no upstream is left.
func (in *Ingress) offer(ctx context.Context, rs *requestState) *Result {
	choice, ok := in.Dir.Choose(rs.demand(), rs.exclude)
	if !ok {
		return nil
	}
	rs.exclude = append(rs.exclude, choice.Address)
	rs.detail = append(rs.detail, choice.Detail)
	rs.offers++
	left := time.Until(rs.deadline)
	if left <= 0 {
		return rejected("deadline", 0)
	}
	c := rs.call
	c.Upstream, c.Timeout = choice.Upstream, left
	c.TargetLeft -= time.Since(rs.started)
	result := in.callWithin(ctx, choice, &c, left)
	if result.Kind != Rejected {
		rs.attempts++
	}
	in.Dir.Ended(choice, c.Class, result)
	return result
}

// callWithin runs the call at the chosen node. It waits for the result, including the rest
// of its body, until resultSlack after the deadline.
func (in *Ingress) callWithin(ctx context.Context, choice Choice, c *Call, left time.Duration) *Result {
	ctx, cancel := context.WithTimeout(ctx, left+resultSlack)
	var result *Result
	if choice.Address == "" {
		result = in.Sidecar.runWithin(ctx, c)
	} else {
		result = in.Peers.Call(ctx, choice.Address, c)
	}
	if result.Rest == nil {
		cancel()
		return result
	}
	result.Rest = &closer{ReadCloser: result.Rest, done: cancel}
	return result
}

// runWithin returns when the call ends or the context does. A call that is not
// idempotent is not cancelled: it continues in the background.
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
			// The rest of a late response holds a slot until it is closed.
			go func() { (<-done).close() }()
			return failed(reasonCallerDisconnected, true)
		}
	}
}

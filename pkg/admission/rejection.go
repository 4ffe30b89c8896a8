package admission

import (
	"fmt"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Rejection is the error of a request that did not get a slot. The request was
// not run.
type Rejection struct {
	// Reason is one of outcome.ReasonBusy, ReasonOverload, ReasonDeadline,
	// ReasonDraining and ReasonCancelled.
	Reason outcome.Reason
	// RetryAfter is the suggested delay before the next attempt; zero means none.
	RetryAfter time.Duration
	// Detail says which limit was reached.
	Detail string
}

func (r *Rejection) Error() string {
	return fmt.Sprintf("admission: %s: %s", r.Reason, r.Detail)
}

func reject(reason outcome.Reason, retry time.Duration, detail string) *Rejection {
	return &Rejection{Reason: reason, RetryAfter: retry, Detail: detail}
}

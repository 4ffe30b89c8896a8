package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// reasonUnknownKey is for requests without the key of an organisation.
	reasonUnknownKey = "unknown-key"
	// reasonQuota is for requests beyond the limit of their organisation.
	reasonQuota = "quota"
	// closedRetry is the Retry-After of organisations whose limit is not understood, which lasts until
	// the next version of the configuration.
	closedRetry = 5 * time.Second
)

// Quotas limits the requests of organisations over the whole fleet. Implementations are safe for
// concurrent use.
type Quotas interface {
	// Admit reports whether another request of the organisation may run now. It waits for a short
	// time if that may change the result. Otherwise retryAfter is the time until there is likely
	// to be room.
	Admit(ctx context.Context, o *route.Organisation) (retryAfter time.Duration, ok bool)
	// Refund takes back an admitted request that has not run.
	Refund(o *route.Organisation)
}

// identify returns the organisation of the request, or nil if it has none. ok is false if the route
// needs the key of an organisation and the request has none.
func (in *Ingress) identify(t *route.Table, rt *route.Route, h http.Header) (o *route.Organisation, ok bool) {
	if !t.HasOrganisations() {
		return nil, true
	}
	if values := h.Values(in.Names.Credentials); len(values) == 1 {
		if key, found := cutScheme(values[0], in.Names.KeyScheme); found {
			o = t.OrganisationByKey(key)
		}
	}
	return o, o != nil || rt.Public
}

// cutScheme returns the credentials after the scheme, whose case doesn't matter (RFC 9110, section
// 11.1), and a space.
func cutScheme(value, scheme string) (credentials string, ok bool) {
	n := len(scheme)
	if len(value) <= n || value[n] != ' ' || !strings.EqualFold(value[:n], scheme) {
		return "", false
	}
	return strings.TrimLeft(value[n:], " "), true
}

// removeCredentials deletes the key and the organisation that the caller sent. The key must not
// leave the node, and only the node names the organisation.
func (in *Ingress) removeCredentials(t *route.Table, h http.Header) {
	if t.HasOrganisations() {
		h.Del(in.Names.Credentials)
		h.Del(in.Names.Organisation)
	}
}

const (
	// rankStride separates the ranks of organisations from those of routes within one number.
	rankStride = route.LowestRank + 1
	// maxOrganisationRank bounds the rank of an organisation, so that the number can't overflow.
	maxOrganisationRank = 1 << 20
)

// effectiveRank orders requests by the rank of their organisation, and by that of their route among
// equal ones. An organisation without a rank counts as the most urgent. Calls of upstreams have no
// organisation and go before all others: otherwise a request that has its slot would wait for calls
// behind others of its own rank.
func effectiveRank(rt *route.Route, o *route.Organisation) int {
	if o == nil {
		return rt.Rank
	}
	rank := 0
	if o.Rank != nil {
		rank = max(0, min(*o.Rank, maxOrganisationRank))
	}
	return (1+rank)*rankStride + max(0, min(rt.Rank, rankStride-1))
}

// admit reports whether the quota of the organisation has room for another request.
func (in *Ingress) admit(ctx context.Context, o *route.Organisation) (retryAfter time.Duration, ok bool) {
	if o != nil && o.Closed {
		return closedRetry, false
	}
	if in.Quotas == nil || !o.Limited() {
		return 0, true
	}
	return in.Quotas.Admit(ctx, o)
}

// refund takes back the admission of a request that has not run.
func (in *Ingress) refund(o *route.Organisation) {
	if in.Quotas != nil && o.Limited() {
		in.Quotas.Refund(o)
	}
}

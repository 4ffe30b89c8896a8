package relay

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// newOrganisationIngress returns an ingress with two organisations, of which the first has rank 0
// and a limit. /safe/ needs a key, /public/ doesn't.
func newOrganisationIngress(t *testing.T, addresses ...string) *Ingress {
	t.Helper()
	in := newTestIngress(t, addresses...)
	in.Sidecar = newTestSidecar(startUpstream(t, nil), 10)
	services := []route.WeightedService{{Service: "svc", Weight: 1}}
	urgent := 0
	table, err := route.NewTable(2, route.Limits{MaxBodyBytes: 1 << 20}, []route.Service{{Name: "svc"}}, []*route.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Idempotent: true, Rank: 2, Target: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2, Services: services},
		{Name: "public", Host: "h", Prefix: "/public/", Public: true, Rank: 2, Target: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2, Services: services},
	}, &route.Organisation{Name: "large", Keys: []string{"secret-1"}, Rank: &urgent, RatePerSecond: 10, Burst: 10}, &route.Organisation{Name: "small", Keys: []string{"secret-2"}})
	if err != nil {
		t.Fatal(err)
	}
	in.Install(table)
	return in
}

// sendWithKey sends a request with the credentials and a forged organisation.
func sendWithKey(t *testing.T, server *httptest.Server, path string, credentials ...string) *http.Response {
	t.Helper()
	req := newRequest(t, http.MethodGet, server.URL+path, http.NoBody)
	req.Header["Authorization"] = credentials
	req.Header.Set(testNames.Organisation, "forged")
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp
}

// Guards against requests that run without a valid key, keys that leave the node, and callers that
// choose the organisation which the upstream sees.
func TestKeysAreCheckedAndReplaced(t *testing.T) {
	for _, tt := range []struct {
		desc, path, organisation string
		credentials              []string
		status                   int
	}{
		{"known key", "/safe/", "small", []string{"Token secret-2"}, 200},
		{"scheme in lower case", "/safe/", "large", []string{"token secret-1"}, 200},
		{"no key", "/safe/", "", nil, 401},
		{"unknown key", "/safe/", "", []string{"Token secret-3"}, 401},
		{"odd bytes", "/safe/", "", []string{"Token secret-1\xff\x80"}, 401},
		{"other scheme", "/safe/", "", []string{"Basic secret-1"}, 401},
		{"scheme only", "/safe/", "", []string{"Token"}, 401},
		{"two keys", "/safe/", "", []string{"Token secret-1", "Token secret-2"}, 401},
		{"public route without a key", "/public/", "", nil, 200},
		{"public route with an unknown key", "/public/", "", []string{"Token secret-3"}, 200},
		{"public route with a key", "/public/", "large", []string{"Token secret-1"}, 200},
	} {
		for _, local := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, local %t", tt.desc, local), func(t *testing.T) {
				u := startUpstream(t, nil)
				sidecar := newTestSidecar(u, 10)
				in := newOrganisationIngress(t, startPeer(t, sidecar))
				if local {
					in.Dir, in.Sidecar = ownUpstream{}, sidecar
				}
				server := httptest.NewServer(in)
				defer server.Close()
				if resp := sendWithKey(t, server, tt.path, tt.credentials...); resp.StatusCode != tt.status {
					t.Fatalf("status %d, want %d", resp.StatusCode, tt.status)
				}
				seen := u.requests()
				if tt.status != 200 {
					if len(seen) > 0 {
						t.Error("the request ran")
					}
					return
				}
				if got := strings.Join(seen[0].Header.Values(testNames.Organisation), ","); got != tt.organisation {
					t.Errorf("organisation %q, want %q", got, tt.organisation)
				}
				if strings.Contains(fmt.Sprint(seen[0].Header), "secret") {
					t.Errorf("the upstream got the key: %v", seen[0].Header)
				}
			})
		}
	}
}

// Guards against a node that has no configuration yet and tells callers that their key is unknown.
func TestNodeWithoutConfigurationDoesNotRejectKeys(t *testing.T) {
	in := newTestIngress(t)
	in.table.Store(nil)
	server := httptest.NewServer(in)
	defer server.Close()
	if resp := sendWithKey(t, server, "/safe/", "Token secret-1"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// Guards against the headers of organisations in deployments without any.
func TestCredentialsAreForwardedWithoutOrganisations(t *testing.T) {
	u := startUpstream(t, nil)
	server := httptest.NewServer(newTestIngress(t, startPeer(t, newTestSidecar(u, 10))))
	defer server.Close()
	sendWithKey(t, server, "/safe/", "Token own")
	if got := u.requests()[0].Header.Get("Authorization"); got != "Token own" {
		t.Errorf("credentials %q, want those of the caller", got)
	}
}

// Guards against requests of a less urgent organisation that go first because of their route or
// because their rank is beyond all use, and
// against calls of upstreams that wait behind requests which may need them.
func TestRankOfOrganisationGoesBeforeThatOfRoute(t *testing.T) {
	urgent, lesser, least, negative := 0, 1, math.MaxInt, -1
	routes := []*route.Route{{Rank: 0}, {Rank: 2}}
	organisations := []*route.Organisation{{Rank: &urgent}, {Rank: &lesser}}
	var order []int
	for _, o := range organisations {
		for _, rt := range routes {
			order = append(order, effectiveRank(rt, o))
		}
	}
	if !slices.IsSorted(order) || order[1] == order[2] {
		t.Errorf("ranks %v of an urgent and a less urgent organisation on an urgent and a less urgent route", order)
	}
	if rank := effectiveRank(routes[0], &route.Organisation{Rank: &least}); rank <= order[len(order)-1] {
		t.Errorf("rank %d of the least urgent organisation goes before %v", rank, order)
	}
	if rank := effectiveRank(routes[0], &route.Organisation{Rank: &negative}); rank != order[0] {
		t.Errorf("rank %d of an organisation with a negative rank, want that of rank 0", rank)
	}
	unranked := &route.Organisation{}
	if rank := effectiveRank(routes[1], unranked); rank != order[1] {
		t.Errorf("rank %d of an organisation without a rank, want that of rank 0", rank)
	}
	for _, o := range append(organisations, unranked) {
		if call := effectiveRank(&route.Route{Rank: 5}, nil); call >= effectiveRank(routes[0], o) {
			t.Errorf("rank %d of a call, which goes behind %d of an organisation", call, effectiveRank(routes[0], o))
		}
	}
}

// countedQuota admits the given number of requests.
type countedQuota struct{ left, refunded atomic.Int64 }

func (q *countedQuota) Admit(context.Context, *route.Organisation) (time.Duration, bool) {
	return 250 * time.Millisecond, q.left.Add(-1) >= 0
}

func (q *countedQuota) Refund(*route.Organisation) { q.refunded.Add(1) }

// Guards against requests beyond the limit that run, or whose caller is not told when to return,
// and against requests that have not run and count.
func TestRequestsBeyondTheQuotaAreRejected(t *testing.T) {
	u := startUpstream(t, nil)
	sidecar := newTestSidecar(u, 10)
	in := newOrganisationIngress(t, startPeer(t, sidecar))
	quota := &countedQuota{}
	quota.left.Store(2)
	in.Quotas = quota
	server := httptest.NewServer(in)
	defer server.Close()
	var statuses []int
	for i := range 3 {
		if i == 1 {
			sidecar.Stop()
		}
		resp := sendWithKey(t, server, "/safe/", "Token secret-1")
		statuses = append(statuses, resp.StatusCode)
		if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if fmt.Sprint(statuses) != "[200 503 429]" || len(u.requests()) != 1 || quota.refunded.Load() != 1 {
		t.Errorf("statuses %v, %d requests ran, %d refunded; want 200, 503 and 429, one and one", statuses, len(u.requests()), quota.refunded.Load())
	}
	if resp := sendWithKey(t, server, "/safe/", "Token secret-2"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d of an organisation without a limit, want 503 of the stopped node", resp.StatusCode)
	}
}

// Guards against an organisation without a limit because its limit is not understood, and against a
// route without a usable service whose requests go elsewhere or wait.
func TestEntriesThatAreNotUnderstoodRunNothing(t *testing.T) {
	u := startUpstream(t, nil)
	sidecar := newTestSidecar(u, 10)
	in := newOrganisationIngress(t)
	in.Dir, in.Sidecar = ownUpstream{}, sidecar
	services := []route.WeightedService{{Service: "svc", Weight: 1}}
	in.Install(route.Build(route.Entries{
		Version: 3, Limits: route.Limits{MaxBodyBytes: 1 << 20}, Services: []route.Service{{Name: "svc"}},
		Routes: []*route.Route{
			{Name: "all", Host: "h", Prefix: "/", Target: time.Second, Timeout: 10 * time.Second, Services: services},
			{Name: "none", Host: "h", Prefix: "/none/", Target: time.Second, Timeout: 10 * time.Second},
		},
		Organisations: []*route.Organisation{{Name: "closed", Keys: []string{"secret-1"}, RatePerSecond: -1}, {Name: "open", Keys: []string{"secret-2"}, Burst: 5}},
	}))
	server := httptest.NewServer(in)
	defer server.Close()
	for _, tt := range []struct {
		path, key string
		want      int
	}{{"/x", "secret-1", 429}, {"/x", "secret-2", 200}, {"/none/x", "secret-2", 503}} {
		began := time.Now()
		resp := sendWithKey(t, server, tt.path, "Token "+tt.key)
		if resp.StatusCode != tt.want || time.Since(began) > 5*time.Second {
			t.Errorf("%s with %s: status %d after %v, want %d", tt.path, tt.key, resp.StatusCode, time.Since(began), tt.want)
		}
	}
}

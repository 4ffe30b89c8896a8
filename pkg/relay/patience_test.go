package relay

import (
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// callers draws stated times as callers of the users' platform do: from 0.85 to 1 of
// two seconds when they first send.
func callers(r *rand.Rand) time.Duration {
	return time.Duration((0.85 + 0.15*r.Float64()) * float64(2*time.Second))
}

// Replays a burst in which half of the requests come back after a refusal.
func TestNewRequestsOfABurstKeepTheirTarget(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var p patience
	wrong, returned, off := 0, 0, time.Duration(0)
	const requests = 4000
	for range requests {
		first := callers(r)
		p.observe(first)
		if p.spent(first) > 0 {
			wrong++
		}
		waited := time.Duration(r.Float64() * float64(600*time.Millisecond))
		p.observe(first - waited)
		if s := p.spent(first - waited); s > 0 {
			returned++
			off += (s - waited).Abs()
		}
	}
	// The longest time is an estimate, so that a few at the lower end may look older.
	if wrong > requests/50 {
		t.Errorf("%d of %d new requests look older", wrong, requests)
	}
	if returned < requests/2 {
		t.Errorf("only %d of %d requests that came back are seen", returned, requests)
	}
	if mean := off / time.Duration(returned); mean > 150*time.Millisecond {
		t.Errorf("their age is wrong by %v in the mean", mean)
	}
}

// A caller that waits far longer than all others, or states no time, must not make
// theirs look late.
func TestOddCallersDoNotAgeOthers(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	var p patience
	for i := range 500 {
		if i%100 == 50 {
			p.observe(time.Minute)
		}
		p.observe(callers(r))
	}
	if s := p.spent(1750 * time.Millisecond); s != 0 {
		t.Errorf("a new request looks %v old", s)
	}
	if s := p.spent(time.Minute); s != 0 {
		t.Errorf("a patient caller looks %v old", s)
	}
}

// Callers state different times, and all of them have the whole target.
func TestTargetOfNewRequests(t *testing.T) {
	in := newTestIngress(t)
	for _, stated := range []int{2000, 1750, 0, 1980} {
		r := httptest.NewRequest("GET", "http://h/safe/x", nil)
		if stated > 0 {
			r.Header.Set(testNames.TimeoutMillis, strconv.Itoa(stated))
		}
		trip := in.newTrip(r, in.Table(), in.Table().Match("h", "/safe/x"))
		if trip.call.TargetLeft != trip.route.Target {
			t.Errorf("stated %d ms: %v of %v left", stated, trip.call.TargetLeft, trip.route.Target)
		}
	}
}

// What is kept for routes that are gone must go with them.
func TestRoutesThatAreGoneAreForgotten(t *testing.T) {
	in := newTestIngress(t)
	in.newTrip(httptest.NewRequest("GET", "http://h/safe/x", nil), in.Table(), in.Table().Match("h", "/safe/x"))
	in.spent("safe", time.Second)
	empty, err := route.NewTable(2, route.Limits{}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	in.Install(empty)
	if n := len(in.patience); n != 0 {
		t.Errorf("%d routes are kept", n)
	}
}

package routing

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

func fleet(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{NodeID: fmt.Sprintf("n%02d", i), Incarnation: 1, FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 10}
	}
	return out
}

// upstreamBehavior describes how a simulated upstream handles requests.
type upstreamBehavior struct {
	latency time.Duration
	status  int
	verdict Verdict
	load    *pb.Load
}

// sendRequests sends count requests, one per interval, and returns the fraction that
// each upstream received.
func sendRequests(p *Picker, candidates []Candidate, count int, interval time.Duration, behaviorOf func(id string) upstreamBehavior) map[string]float64 {
	fraction := map[string]float64{}
	for range count {
		time.Sleep(interval)
		a, ok := p.Pick(Query{Service: "s", Candidates: candidates})
		if !ok {
			continue
		}
		fraction[a.Candidate.NodeID] += 1 / float64(count)
		b := behaviorOf(a.Candidate.NodeID)
		time.AfterFunc(b.latency, func() {
			if b.verdict == Completed {
				a.RecordResponse(b.status, b.load)
			}
			a.Done(b.verdict, b.load)
		})
	}
	return fraction
}

// Guards against faulty upstreams that still receive or even attract requests. Each
// must get at most 5% of its fair share, counted from 100 ms after the fault.
func TestFaultyUpstreamGetsFewRequests(t *testing.T) {
	good := upstreamBehavior{latency: 5 * time.Millisecond, status: http.StatusOK}
	idle := &pb.Load{Slots: 10, State: pb.UpstreamState_UPSTREAM_STATE_READY, ServiceTimeUs: 1}
	for _, tc := range []struct {
		desc string
		bad  upstreamBehavior
	}{
		{"hangs", upstreamBehavior{latency: 10 * time.Second, verdict: Abandoned}},
		{"20 times slower", upstreamBehavior{latency: 100 * time.Millisecond, status: http.StatusOK}},
		{"slow and reports that it is idle", upstreamBehavior{latency: 100 * time.Millisecond, status: http.StatusOK, load: idle}},
		{"fails at once", upstreamBehavior{latency: 100 * time.Microsecond, verdict: Failed}},
		{"responds 500 at once", upstreamBehavior{latency: 100 * time.Microsecond, status: http.StatusInternalServerError}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, c := NewPicker(Config{}), fleet(4)
				healthy := func(string) upstreamBehavior { return good }
				faulty := func(id string) upstreamBehavior {
					if id == "n00" {
						return tc.bad
					}
					return good
				}
				sendRequests(p, c, 1000, time.Millisecond, healthy)
				sendRequests(p, c, 100, time.Millisecond, faulty)
				fraction := sendRequests(p, c, 2000, time.Millisecond, faulty)
				time.Sleep(time.Minute)
				if ratio := fraction["n00"] * 4; ratio > 0.05 {
					t.Errorf("the faulty upstream received %.1f%% of its fair share, want at most 5%%", 100*ratio)
				}
			})
		})
	}
}

// Guards against a stuck upstream that is detected only when requests complete. One
// request that has been outstanding for long must cost more than several new ones.
func TestOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := NewPicker(Config{}), fleet(2)
		sendRequests(p, c, 200, time.Millisecond, func(string) upstreamBehavior {
			return upstreamBehavior{latency: 5 * time.Millisecond, status: http.StatusOK}
		})
		time.Sleep(10 * time.Millisecond)
		stuck := p.StartAttempt("s", c[0])
		time.Sleep(40 * time.Millisecond)
		for range 5 {
			p.StartAttempt("s", c[1])
		}
		for range 5 {
			a, _ := p.Pick(Query{Service: "s", Candidates: c})
			if a.Candidate.NodeID == stuck.Candidate.NodeID {
				t.Fatal("picked the stuck upstream")
			}
		}
	})
}

// Guards against ingresses that all send to the same upstream at the same time.
func TestHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fleet(8)
		count := map[string]int{}
		for range 50 {
			// Each ingress has the same old reports and sends one request.
			p := NewPicker(Config{})
			for i, cand := range c {
				p.StartAttempt("s", cand).Done(Rejected, &pb.Load{Slots: 10, InFlight: uint32(i % 2)})
			}
			a, _ := p.Pick(Query{Service: "s", Candidates: c})
			count[a.Candidate.NodeID]++
			a.Done(Rejected, nil)
		}
		for id, n := range count {
			if n > 25 {
				t.Errorf("%d of 50 ingresses picked %s, want at most 25", n, id)
			}
		}
	})
}

// Guards against a breaker that opens late, admits more than one trial at a time, or
// never closes.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := NewPicker(Config{}), fleet(1)
		pick := func() (*Attempt, bool) { return p.Pick(Query{Service: "s", Candidates: c}) }
		for i := range 3 {
			a, ok := pick()
			if !ok {
				t.Fatalf("ejected after %d failures", i)
			}
			a.Done(Failed, nil)
		}
		for backoff := initialBackoff; backoff < 4*time.Second; backoff *= 2 {
			time.Sleep(backoff - time.Millisecond)
			if _, ok := pick(); ok {
				t.Fatalf("picked before the end of the backoff of %v", backoff)
			}
			time.Sleep(time.Millisecond)
			trial, ok := pick()
			if !ok {
				t.Fatal("no trial after the backoff")
			}
			if _, ok := pick(); ok {
				t.Fatal("second trial admitted while the first was in flight")
			}
			trial.Done(Failed, nil)
		}
		time.Sleep(maxBackoff)
		trial, _ := pick()
		trial.RecordResponse(http.StatusOK, nil)
		trial.Done(Completed, nil)
		if _, ok := pick(); !ok {
			t.Error("breaker still open after a successful trial")
		}
	})
}

// Guards against subsets that are too large, unevenly spread over failure domains, or
// change more than necessary.
func TestSubset(t *testing.T) {
	c := fleet(60)
	before := Subset("me", "s", c)
	domains, kept := map[string]int{}, map[string]bool{}
	for _, m := range before {
		domains[m.FailureDomain]++
		kept[m.NodeID] = true
	}
	if len(before) != subsetSize {
		t.Errorf("subset has %d upstreams, want subsetSize", len(before))
	}
	for d, n := range domains {
		if n < subsetSize/3 || n > subsetSize/3+1 {
			t.Errorf("subset has %d upstreams of failure domain %s, want an even spread", n, d)
		}
	}
	same := 0
	for _, m := range Subset("me", "s", c[1:]) {
		if kept[m.NodeID] {
			same++
		}
	}
	if same < subsetSize-1 {
		t.Errorf("removing one upstream changed %d members, want at most 1", subsetSize-same)
	}
}

// Guards against state of an old incarnation that applies to a new one.
func TestNewIncarnation(t *testing.T) {
	p, c := NewPicker(Config{}), fleet(1)
	for range ejectAfterFailures {
		p.StartAttempt("s", c[0]).Done(Failed, nil)
	}
	if _, ok := p.Pick(Query{Service: "s", Candidates: c}); ok {
		t.Error("not ejected after consecutive failures")
	}
	c[0].Incarnation = 2
	if _, ok := p.Pick(Query{Service: "s", Candidates: c}); !ok {
		t.Error("the new incarnation is ejected because of the old one")
	}
}

// Guards against an upstream that was slow or failed and never gets requests again
// after its recovery, because nothing updates its recorded state.
func TestRecoveredUpstreamGetsRequests(t *testing.T) {
	report := func(latency time.Duration, status int) upstreamBehavior {
		return upstreamBehavior{latency: latency, status: status, load: &pb.Load{Slots: 10, ServiceTimeUs: uint32(latency.Microseconds())}}
	}
	good := report(5*time.Millisecond, http.StatusOK)
	for _, tt := range []struct {
		desc string
		bad  upstreamBehavior
	}{
		{"slow", report(100*time.Millisecond, http.StatusOK)},
		{"failing", report(100*time.Microsecond, http.StatusInternalServerError)},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, c := NewPicker(Config{}), fleet(4)
				healthy := func(string) upstreamBehavior { return good }
				sendRequests(p, c, 1000, time.Millisecond, healthy)
				sendRequests(p, c, 2000, time.Millisecond, func(id string) upstreamBehavior {
					if id == "n00" {
						return tt.bad
					}
					return good
				})
				sendRequests(p, c, 20000, time.Millisecond, healthy)
				fraction := sendRequests(p, c, 1000, time.Millisecond, healthy)["n00"]
				if fraction < 0.125 {
					t.Errorf("received a fraction of %.3f of the requests after 20 s, want at least half of the fair share of 0.25", fraction)
				}
			})
		})
	}
}

func BenchmarkPick(b *testing.B) {
	p, c := NewPicker(Config{}), fleet(36)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a, _ := p.Pick(Query{Service: "s", Candidates: c})
			a.RecordResponse(http.StatusOK, nil)
			a.Done(Completed, nil)
		}
	})
}

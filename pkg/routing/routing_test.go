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

// server says how a stand-in of an upstream behaves.
type server struct {
	latency time.Duration
	status  int
	verdict Verdict
	load    *pb.Load
}

// drive sends a request each interval and returns the share of each upstream.
func drive(p *Picker, candidates []Candidate, calls int, interval time.Duration, behave func(id string) server) map[string]float64 {
	share := map[string]float64{}
	for range calls {
		time.Sleep(interval)
		s, ok := p.Pick(Query{Service: "s", Candidates: candidates})
		if !ok {
			continue
		}
		share[s.Candidate.NodeID] += 1 / float64(calls)
		b := behave(s.Candidate.NodeID)
		time.AfterFunc(b.latency, func() {
			if b.verdict == Completed {
				s.Answer(b.status, b.load)
			}
			s.Done(b.verdict, b.load)
		})
	}
	return share
}

// Guards against bad upstreams that keep or attract work. Each must be below 5%
// of its fair share, counted from 100 ms after the fault.
func TestBadUpstreamLosesWork(t *testing.T) {
	good := server{latency: 5 * time.Millisecond, status: http.StatusOK}
	idle := &pb.Load{Slots: 10, State: pb.UpstreamState_UPSTREAM_STATE_READY, ServiceTimeUs: 1}
	for _, tc := range []struct {
		desc string
		bad  server
	}{
		{"hangs", server{latency: 10 * time.Second, verdict: Abandoned}},
		{"20 times slower", server{latency: 100 * time.Millisecond, status: http.StatusOK}},
		{"slow and reports that it is idle", server{latency: 100 * time.Millisecond, status: http.StatusOK, load: idle}},
		{"fails at once", server{latency: 100 * time.Microsecond, verdict: Failed}},
		{"answers 500 at once", server{latency: 100 * time.Microsecond, status: http.StatusInternalServerError}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, c := NewPicker(Config{}), fleet(4)
				healthy := func(string) server { return good }
				faulty := func(id string) server {
					if id == "n00" {
						return tc.bad
					}
					return good
				}
				drive(p, c, 1000, time.Millisecond, healthy)
				drive(p, c, 100, time.Millisecond, faulty)
				share := drive(p, c, 2000, time.Millisecond, faulty)
				time.Sleep(time.Minute)
				if fair := share["n00"] * 4; fair > 0.05 {
					t.Errorf("the bad upstream kept %.1f%% of its fair share", 100*fair)
				}
			})
		})
	}
}

// Guards against a stuck upstream that is noticed only when requests complete: one
// request that is outstanding for long must count more than several fresh ones.
func TestOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := NewPicker(Config{}), fleet(2)
		drive(p, c, 200, time.Millisecond, func(string) server {
			return server{latency: 5 * time.Millisecond, status: http.StatusOK}
		})
		time.Sleep(10 * time.Millisecond)
		stuck := p.Use("s", c[0])
		time.Sleep(40 * time.Millisecond)
		for range 5 {
			p.Use("s", c[1])
		}
		for range 5 {
			s, _ := p.Pick(Query{Service: "s", Candidates: c})
			if s.Candidate.NodeID == stuck.Candidate.NodeID {
				t.Fatal("chose the stuck upstream")
			}
		}
	})
}

// Guards against all requests of one moment going to the same upstream.
func TestHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fleet(8)
		count := map[string]int{}
		for range 50 {
			// Each ingress has the same old reports, and one request to send.
			p := NewPicker(Config{})
			for i, cand := range c {
				p.Use("s", cand).Done(Refused, &pb.Load{Slots: 10, InFlight: uint32(i % 2)})
			}
			s, _ := p.Pick(Query{Service: "s", Candidates: c})
			count[s.Candidate.NodeID]++
			s.Done(Refused, nil)
		}
		for id, n := range count {
			if n > 25 {
				t.Errorf("%d of 50 ingresses chose %s", n, id)
			}
		}
	})
}

// Guards against a breaker that opens late, lets more than one trial through, or
// never closes.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := NewPicker(Config{}), fleet(1)
		pick := func() (*Send, bool) { return p.Pick(Query{Service: "s", Candidates: c}) }
		for i := range 3 {
			s, ok := pick()
			if !ok {
				t.Fatalf("ejected after %d failures", i)
			}
			s.Done(Failed, nil)
		}
		for backOff := firstBackOff; backOff < 4*time.Second; backOff *= 2 {
			time.Sleep(backOff - time.Millisecond)
			if _, ok := pick(); ok {
				t.Fatalf("used before the end of the back-off of %v", backOff)
			}
			time.Sleep(time.Millisecond)
			trial, ok := pick()
			if !ok {
				t.Fatal("no trial")
			}
			if _, ok := pick(); ok {
				t.Fatal("a second trial beside the first")
			}
			trial.Done(Failed, nil)
		}
		time.Sleep(maxBackOff)
		trial, _ := pick()
		trial.Answer(http.StatusOK, nil)
		trial.Done(Completed, nil)
		if _, ok := pick(); !ok {
			t.Error("not closed by a good trial")
		}
	})
}

// Guards against subsets that are too large, lopsided or change without need.
func TestSubset(t *testing.T) {
	c := fleet(60)
	before := Subset("me", "s", c)
	domains, kept := map[string]int{}, map[string]bool{}
	for _, m := range before {
		domains[m.FailureDomain]++
		kept[m.NodeID] = true
	}
	if len(before) != subsetSize {
		t.Errorf("%d upstreams", len(before))
	}
	for d, n := range domains {
		if n < subsetSize/3 || n > subsetSize/3+1 {
			t.Errorf("%d upstreams of %s", n, d)
		}
	}
	same := 0
	for _, m := range Subset("me", "s", c[1:]) {
		if kept[m.NodeID] {
			same++
		}
	}
	if same < subsetSize-1 {
		t.Errorf("one upstream less changed %d members", subsetSize-same)
	}
}

// Guards against state of an incarnation that outlives it.
func TestNewIncarnation(t *testing.T) {
	p, c := NewPicker(Config{}), fleet(1)
	for range ejectAfter {
		p.Use("s", c[0]).Done(Failed, nil)
	}
	if _, ok := p.Pick(Query{Service: "s", Candidates: c}); ok {
		t.Error("not ejected")
	}
	c[0].Incarnation = 2
	if _, ok := p.Pick(Query{Service: "s", Candidates: c}); !ok {
		t.Error("the new incarnation is ejected too")
	}
}

// Guards against an upstream that gets no work for ever after it was slow or
// failed, since nothing refreshes what is known of it.
func TestRecoveredUpstreamGetsWork(t *testing.T) {
	report := func(latency time.Duration, status int) server {
		return server{latency: latency, status: status, load: &pb.Load{Slots: 10, ServiceTimeUs: uint32(latency.Microseconds())}}
	}
	good := report(5*time.Millisecond, http.StatusOK)
	for _, tt := range []struct {
		desc string
		bad  server
	}{
		{"slow", report(100*time.Millisecond, http.StatusOK)},
		{"failing", report(100*time.Microsecond, http.StatusInternalServerError)},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, c := NewPicker(Config{}), fleet(4)
				healthy := func(string) server { return good }
				drive(p, c, 1000, time.Millisecond, healthy)
				drive(p, c, 2000, time.Millisecond, func(id string) server {
					if id == "n00" {
						return tt.bad
					}
					return good
				})
				drive(p, c, 20000, time.Millisecond, healthy)
				share := drive(p, c, 1000, time.Millisecond, healthy)["n00"]
				if share < 0.125 {
					t.Errorf("share %.3f after 20 s, want at least half of the fair 0.25", share)
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
			s, _ := p.Pick(Query{Service: "s", Candidates: c})
			s.Answer(http.StatusOK, nil)
			s.Done(Completed, nil)
		}
	})
}

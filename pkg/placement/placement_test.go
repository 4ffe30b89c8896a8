package placement

import (
	"testing"
	"time"
)

const work = 60 * time.Millisecond

func idle(address string) Candidate {
	return Candidate{Address: address, SameDomain: true, Pace: 1, Work: work, Free: 7, Limit: 7, Service: work}
}

// share returns how often the candidate is picked.
func share(candidates []Candidate, which int) float64 {
	const picks = 4000
	n := 0
	for range picks {
		if i, _ := DefaultCosts().Pick(candidates, work); i == which {
			n++
		}
	}
	return float64(n) / picks
}

func TestBadCandidatesAreAvoidedOnFreshReports(t *testing.T) {
	tests := []struct {
		desc string
		bad  func(*Candidate)
	}{
		{"VM stalled by its neighbours", func(c *Candidate) { c.Pace, c.Work = 3, 3*work }},
		{"queue", func(c *Candidate) { c.Wait, c.Free = 50*time.Millisecond, 0 }},
		{"many requests sent since the report", func(c *Candidate) { c.Free = -6 }},
		{"half of the requests fail", func(c *Candidate) { c.Failures = 0.5 }},
		{"silent node", func(c *Candidate) { c.Silent = true }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			bad := idle("bad")
			tt.bad(&bad)
			if got := share([]Candidate{idle("a"), bad, idle("b")}, 1); got > 0.02 {
				t.Errorf("picked for %.1f%% of the requests", 100*got)
			}
		})
	}
}

// Many nodes follow the same old reports: a small difference between two upstreams
// must not send all requests to one of them.
func TestOldReportsDoNotHerd(t *testing.T) {
	better, worse := idle("a"), idle("b")
	worse.Pace, worse.Work = 1.1, work+work/10
	better.Age, worse.Age = time.Second, time.Second
	if got := share([]Candidate{better, worse}, 0); got > 0.7 {
		t.Errorf("the better one gets %.0f%%", 100*got)
	}
}

func TestOwnFailureDomainIsPreferredAmongEqual(t *testing.T) {
	near, far := idle("near"), idle("far")
	far.SameDomain = false
	if got := share([]Candidate{near, far}, 0); got < 0.9 {
		t.Errorf("the near one gets %.0f%%", 100*got)
	}
}

// With several upstreams in the own failure domain, a far one that looks somewhat
// better is not worth the way; with one near upstream it is.
func TestNeighboursOutweighAFarReport(t *testing.T) {
	far := idle("far")
	far.SameDomain, far.Work = false, work/5
	near := []Candidate{far, idle("a")}
	if got := share(near, 0); got < 0.9 {
		t.Errorf("one near upstream: the far one gets %.0f%%", 100*got)
	}
	for range 4 {
		near = append(near, idle("b"))
	}
	if got := share(near, 0); got > 0.3 {
		t.Errorf("five near upstreams: the far one gets %.0f%%", 100*got)
	}
}

func TestNoCandidate(t *testing.T) {
	if i, _ := DefaultCosts().Pick(nil, work); i != -1 {
		t.Errorf("picked %d of none", i)
	}
}

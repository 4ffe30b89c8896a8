package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// largeDirectory knows a fleet of three services in four failure domains.
func largeDirectory(n int) *directory {
	d := newDirectory("10.0.0.0:1", "d0", time.Now())
	for i := range n {
		d.roster.Observe(d.now(), roster.Status{
			Address: fmt.Sprintf("10.%d.%d.%d:1", i%4, i/1000, i%1000/4), Incarnation: 1, Sequence: 1, Phase: roster.Serving,
			Domain: fmt.Sprint("d", i%4), Service: fmt.Sprint("s", i/4%3), Upstream: roster.Upstream{ID: "u", Open: true, Limit: 8},
		})
	}
	return d
}

// statuses returns the number of statuses that a node sends in ten seconds in which
// its load changes all the time.
func statuses(a audience) int {
	var s schedule
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		s.note()
		to, due := s.next(now, a)
		if !due {
			continue
		}
		s.sent(now, to)
		sent += map[scope]int{toNear: a.near, toFollowers: a.near + a.far, toAll: a.members}[to]
	}
	return sent
}

// Guards against control bytes or an age of what is known that grow with the fleet:
// when every node told every other one, either the rounds or their gaps did.
func TestStatusesDoNotGrowWithTheFleet(t *testing.T) {
	small, large := largeDirectory(100).audience(), largeDirectory(1500).audience()
	if few, many := statuses(small), statuses(large); float64(many) > 1.3*float64(few) {
		t.Errorf("%d statuses at 1,500 nodes, %d at 100", many, few)
	}
	for _, a := range []audience{small, large} {
		var s schedule
		s.sent(0, toAll)
		s.note()
		near, far, _ := s.due(a)
		// The users' VMs change their pace within 300 ms.
		if near > 300*time.Millisecond || far > 300*time.Millisecond {
			t.Errorf("%d members: followers hear of changes after %v in the failure domain, %v elsewhere", a.members, near, far)
		}
	}
}

// Requests go to followed upstreams, and to others when none of those is left.
func TestRequestsGoToFollowedUpstreams(t *testing.T) {
	d := largeDirectory(300)
	d.audience()
	var exclude []string
	for {
		c, ok := d.Choose("s1", "class", exclude)
		if !ok {
			break
		}
		if m := d.roster.Member(c.Address); !m.Followed {
			d.roster.Each(func(m *roster.Member) {
				if m.Followed && m.Status.Service == "s1" && !slices.Contains(exclude, m.Status.Address) {
					t.Fatalf("%s is chosen before the followed %s", c.Address, m.Status.Address)
				}
			})
		}
		exclude = append(exclude, c.Address)
	}
	if len(exclude) != 100 {
		t.Errorf("%d upstreams of 100 were reached", len(exclude))
	}
}

// Each scope covers those before it, so that a round to all is not followed by one
// to the followers.
func TestWiderRoundsCoverNarrowerOnes(t *testing.T) {
	a := audience{members: 100, near: 10, far: 10}
	s := schedule{}
	s.note()
	now := statusPeriod(a.members)
	if to, due := s.next(now, a); !due || to != toAll {
		t.Fatalf("scope %d, due %v; want a round to all", to, due)
	}
	s.sent(now, toAll)
	if to, due := s.next(now, a); due {
		t.Errorf("a round of scope %d right after one to all", to)
	}
	if wait := s.wait(now, a); wait != followerPeriod(20) {
		t.Errorf("waits %v without news, want %v", wait, followerPeriod(20))
	}
	s.note()
	if wait := s.wait(now, a); wait != 10*nearGapPerFollower {
		t.Errorf("waits %v with news, want %v", wait, 10*nearGapPerFollower)
	}
}

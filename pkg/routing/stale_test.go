package routing

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Guards against upstreams that count as stale despite recent information, and against
// upstreams that do not count as stale although they have none.
func TestStale(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		update func(p *Picker, c Candidate)
		age    time.Duration
		want   bool
	}{
		{"nothing known", func(*Picker, Candidate) {}, 0, true},
		{"attempt without a response", func(p *Picker, c Candidate) { p.StartAttempt("s", c) }, 0, true},
		{"answer", func(p *Picker, c Candidate) { p.StartAttempt("s", c).RecordResponse(http.StatusOK, nil) }, time.Second / 2, false},
		{"old response", func(p *Picker, c Candidate) { p.StartAttempt("s", c).RecordResponse(http.StatusOK, nil) }, time.Second, true},
		{"rejection with a load", func(p *Picker, c Candidate) { p.StartAttempt("s", c).Done(Rejected, &pb.Load{}) }, time.Second / 2, false},
		{"probed", func(p *Picker, c Candidate) { p.RecordLoad(c.NodeID, c.Incarnation, &pb.Load{}) }, time.Second / 2, false},
		{"probed long ago", func(p *Picker, c Candidate) { p.RecordLoad(c.NodeID, c.Incarnation, &pb.Load{}) }, time.Second, true},
		{"probe of another incarnation", func(p *Picker, c Candidate) { p.RecordLoad(c.NodeID, 2, &pb.Load{}) }, 0, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, c := NewPicker(Config{}), fleet(1)
				p.Stale("s", c, time.Second)
				tc.update(p, c[0])
				time.Sleep(tc.age)
				if got := p.Stale("s", c, time.Second); len(got) == 1 != tc.want {
					t.Errorf("got stale upstreams %v, want stale %v", got, tc.want)
				}
			})
		})
	}
}

// Guards against probes of services that this node does not route to.
func TestRecentServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := NewPicker(Config{}), fleet(2)
		p.Stale("only probed", c, time.Second)
		p.StartAttempt("old", c[0]).Done(Completed, nil)
		time.Sleep(6 * time.Second)
		p.StartAttempt("new", c[1]).Done(Completed, nil)
		time.Sleep(4 * time.Second)
		if got := p.RecentServices(10 * time.Second); !slices.Equal(got, []string{"new"}) {
			t.Errorf("got %q, want only the service used in the last 10 s", got)
		}
	})
}

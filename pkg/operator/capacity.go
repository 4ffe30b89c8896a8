package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

const (
	// measureTimeout bounds the time to ask all upstreams.
	measureTimeout = 2 * time.Second
	// measureWorkers bounds the upstreams asked at the same time. 1,600 answers of
	// 5 ms then take 125 ms.
	measureWorkers = 64
)

// LoadSource asks the sidecar at a peer address for its load. Implementations
// are safe for concurrent use.
type LoadSource interface {
	ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error)
}

// measured is the answer of one upstream.
type measured struct {
	member *pb.Member
	resp   *pb.ProbeLoadResponse
	err    error
}

// Measure asks the sidecars of all upstreams that take work and sums capacity and
// demand by service. It takes at most 2 s. Upstreams without an answer, or without
// a completed call, are listed as not included.
func Measure(ctx context.Context, members []*pb.Member, source LoadSource) plan.Fleet {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	var asked []measured
	for _, m := range members {
		if takesWork(m) {
			asked = append(asked, measured{member: m})
		}
	}
	slices.SortFunc(asked, func(a, b measured) int { return cmp.Compare(a.member.NodeId, b.member.NodeId) })
	ask(ctx, asked, source)
	return sum(asked)
}

// takesWork reports whether the member's upstream may get calls now. A suspect
// member is asked too: it still serves unless it is dead.
func takesWork(m *pb.Member) bool {
	if m.Service == "" || m.Status > pb.MemberStatus_MEMBER_STATUS_SUSPECT {
		return false
	}
	return m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_READY || m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_WARMING
}

// ask fills in the answers. It returns when all calls have ended.
func ask(ctx context.Context, asked []measured, source LoadSource) {
	next := make(chan *measured)
	var wg sync.WaitGroup
	for range min(measureWorkers, len(asked)) {
		wg.Go(func() {
			for a := range next {
				a.resp, a.err = source.ProbeLoad(ctx, a.member.PeerAddress, &pb.ProbeLoadRequest{TargetIncarnation: a.member.Incarnation})
			}
		})
	}
	for i := range asked {
		next <- &asked[i]
	}
	close(next)
	wg.Wait()
}

// sum adds up the answers. The services are sorted by name.
func sum(answers []measured) plan.Fleet {
	var fleet plan.Fleet
	services := map[string]*plan.ServiceState{}
	for _, a := range answers {
		if reason := missing(a); reason != "" {
			fleet.NotIncluded = append(fleet.NotIncluded, fmt.Sprintf("%s (%s): %s", a.member.NodeId, a.member.Service, reason))
			continue
		}
		s := services[a.member.Service]
		if s == nil {
			s = &plan.ServiceState{Name: a.member.Service, Demand: map[string]float64{}}
			services[s.Name] = s
		}
		s.CapacityPerSecond += a.resp.CapacityPerSecond
		for _, d := range a.resp.Demand {
			s.Demand[d.Rank] += d.PerSecond
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		fleet.Services = append(fleet.Services, *services[name])
	}
	return fleet
}

// missing returns why an answer cannot be counted, or "". The reasons are fixed
// texts, so that the plan's size is bounded.
func missing(a measured) string {
	switch {
	case errors.Is(a.err, context.DeadlineExceeded):
		return "no answer in time"
	case a.err != nil:
		return "no answer"
	case a.resp.CapacityPerSecond <= 0:
		return "no completed call yet"
	}
	return ""
}

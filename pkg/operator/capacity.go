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
	// measureTimeout limits the time to query all upstreams.
	measureTimeout = 2 * time.Second
	// measureWorkers limits concurrent queries. 1,600 queries of 5 ms then take
	// 125 ms.
	measureWorkers = 64
)

// LoadSource queries the sidecar at a peer address for its load. Implementations
// are safe for concurrent use.
type LoadSource interface {
	ProbeLoad(ctx context.Context, address string, req *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error)
}

// loadResult is the response or the error of one upstream's sidecar.
type loadResult struct {
	member *pb.Member
	resp   *pb.ProbeLoadResponse
	err    error
}

// Measure queries the sidecars of all upstreams that receive requests and sums
// capacity and demand by service. It takes at most 2 s. Upstreams that do not
// respond, or have not completed a call yet, are listed as not included.
func Measure(ctx context.Context, members []*pb.Member, source LoadSource) plan.Fleet {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	var results []loadResult
	for _, m := range members {
		if receivesRequests(m) {
			results = append(results, loadResult{member: m})
		}
	}
	slices.SortFunc(results, func(a, b loadResult) int { return cmp.Compare(a.member.NodeId, b.member.NodeId) })
	probeAll(ctx, results, source)
	return sumLoads(results)
}

// receivesRequests reports whether requests may currently be sent to the member's
// upstream. This includes suspect members, which may still be serving.
func receivesRequests(m *pb.Member) bool {
	if m.Service == "" || m.Status > pb.MemberStatus_MEMBER_STATUS_SUSPECT {
		return false
	}
	return m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_READY || m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_WARMING
}

// probeAll stores the response or error of each upstream in results. It returns when
// all calls have ended.
func probeAll(ctx context.Context, results []loadResult, source LoadSource) {
	next := make(chan *loadResult)
	var wg sync.WaitGroup
	for range min(measureWorkers, len(results)) {
		wg.Go(func() {
			for r := range next {
				r.resp, r.err = source.ProbeLoad(ctx, r.member.PeerAddress, &pb.ProbeLoadRequest{TargetIncarnation: r.member.Incarnation})
			}
		})
	}
	for i := range results {
		next <- &results[i]
	}
	close(next)
	wg.Wait()
}

// sumLoads sums the results by service. The services are sorted by name.
func sumLoads(results []loadResult) plan.Fleet {
	var fleet plan.Fleet
	services := map[string]*plan.ServiceState{}
	for _, r := range results {
		if reason := exclusionReason(r); reason != "" {
			fleet.NotIncluded = append(fleet.NotIncluded, fmt.Sprintf("%s (%s): %s", r.member.NodeId, r.member.Service, reason))
			continue
		}
		s := services[r.member.Service]
		if s == nil {
			s = &plan.ServiceState{Name: r.member.Service, Demand: map[string]float64{}}
			services[s.Name] = s
		}
		s.CapacityPerSecond += r.resp.CapacityPerSecond
		for _, d := range r.resp.Demand {
			s.Demand[d.Rank] += d.PerSecond
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		fleet.Services = append(fleet.Services, *services[name])
	}
	return fleet
}

// exclusionReason returns why a result cannot be included, or "". The reasons are
// fixed texts, which bounds the size of the plan.
func exclusionReason(r loadResult) string {
	switch {
	case errors.Is(r.err, context.DeadlineExceeded):
		return "no answer in time"
	case r.err != nil:
		return "no answer"
	case r.resp.CapacityPerSecond <= 0:
		return "no completed call yet"
	}
	return ""
}

package sidecar

import (
	"maps"
	"slices"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Probe returns the load, the capacity and the demand per rank, sorted by rank.
func (s *Sidecar) Probe() *pb.ProbeLoadResponse {
	resp := &pb.ProbeLoadResponse{Load: s.Load(), CapacityPerSecond: s.admission.Capacity()}
	demand := s.admission.Demand()
	for _, rank := range slices.Sorted(maps.Keys(demand)) {
		resp.Demand = append(resp.Demand, &pb.RankDemand{Rank: rank, PerSecond: demand[rank]})
	}
	return resp
}

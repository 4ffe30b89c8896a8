package route

import (
	"math/rand/v2"
	"sync"
)

// Splitter distributes the requests of each route over its services by weight.
// It uses smooth weighted round robin, so that the proportions hold even over
// short runs of requests. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]map[string]float64 // by route and service
}

func NewSplitter() *Splitter {
	return &Splitter{credit: map[string]map[string]float64{}}
}

// Pick returns the service for the next request of the route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit[r.Name]
	if credit == nil {
		credit = initialCredit(r)
		s.credit[r.Name] = credit
	}
	total, best := 0.0, ""
	for _, candidate := range r.Services {
		w := float64(candidate.Weight)
		total += w
		if w == 0 {
			delete(credit, candidate.Service)
			continue
		}
		credit[candidate.Service] += w
		if best == "" || credit[candidate.Service] > credit[best] {
			best = candidate.Service
		}
	}
	credit[best] -= total
	return best
}

// initialCredit returns the credits at a random point of the cycle, so that nodes that
// start together don't all send their first request to the same service.
func initialCredit(r *Route) map[string]float64 {
	credit := map[string]float64{}
	for _, candidate := range r.Services {
		credit[candidate.Service] = rand.Float64() * float64(candidate.Weight)
	}
	return credit
}

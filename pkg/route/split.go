package route

import (
	"maps"
	"math/rand/v2"
	"sync"
)

// Splitter distributes the requests of each route over its services by weight.
// It uses smooth weighted round robin, so that the proportions hold even over
// short runs of requests. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[splitKey]map[string]float64 // by route and service
}

// splitKey identifies a route over the versions of the configuration. Names of routes may repeat.
type splitKey struct{ host, prefix string }

func keyOf(r *Route) splitKey { return splitKey{HostKey(r.Host), r.Prefix} }

func NewSplitter() *Splitter {
	return &Splitter{credit: map[splitKey]map[string]float64{}}
}

// Pick returns the service for the next request of the route, or nothing if no service has a weight.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Services) == 1 && r.Services[0].Weight > 0 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(r)
	credit := s.credit[key]
	if credit == nil {
		credit = initialCredit(r)
		s.credit[key] = credit
	}
	total, best := 0.0, ""
	for _, candidate := range r.Services {
		w := candidate.Weight
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
	if best != "" {
		credit[best] -= total
	}
	return best
}

// Prune deletes the state of routes that the table does not contain.
func (s *Splitter) Prune(t *Table) {
	kept := map[splitKey]bool{}
	for _, r := range t.Routes() {
		kept[keyOf(r)] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.credit, func(key splitKey, _ map[string]float64) bool { return !kept[key] })
}

// initialCredit returns the credits at a random point of the cycle, so that nodes that
// start together don't all send their first request to the same service.
func initialCredit(r *Route) map[string]float64 {
	credit := map[string]float64{}
	for _, candidate := range r.Services {
		credit[candidate.Service] = rand.Float64() * candidate.Weight
	}
	return credit
}

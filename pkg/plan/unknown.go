package plan

import (
	"fmt"
	"slices"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// maxNotIncluded bounds the upstreams that a plan names, so that the plan fits in
// a record also when a whole region does not answer.
const maxNotIncluded = 64

// known returns the fleet without services of unknown capacity. Their ranks would
// otherwise seem to get nothing under either intent.
func known(f Fleet) Fleet {
	var services []ServiceState
	for _, s := range f.Services {
		if s.CapacityPerSecond > 0 {
			services = append(services, s)
		}
	}
	return Fleet{Services: services, NotIncluded: f.NotIncluded}
}

// unknownCapacity returns the sorted names of the intents' services for which the
// fleet has no capacity.
func unknownCapacity(current, proposed *intent.Intent, f Fleet) []string {
	measured := map[string]bool{}
	for _, s := range known(f).Services {
		measured[s.Name] = true
	}
	var names []string
	for _, s := range slices.Concat(current.Services, proposed.Services) {
		if !measured[s.Name] {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// shorten keeps the first maxNotIncluded names and the number of others.
func shorten(names []string) []string {
	if len(names) <= maxNotIncluded {
		return names
	}
	more := fmt.Sprintf("%d more upstreams", len(names)-maxNotIncluded)
	return append(slices.Clone(names[:maxNotIncluded]), more)
}

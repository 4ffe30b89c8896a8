package plan

import (
	"fmt"
	"slices"

	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// maxNotIncluded limits the upstreams that a plan names, so that the plan fits in a
// record even when a whole region does not respond.
const maxNotIncluded = 64

// withKnownCapacity returns the fleet without services of unknown capacity. With
// them, a plan would show their requests as not served under either intent.
func withKnownCapacity(f Fleet) Fleet {
	var services []ServiceState
	for _, s := range f.Services {
		if s.CapacityPerSecond > 0 {
			services = append(services, s)
		}
	}
	return Fleet{Services: services, NotIncluded: f.NotIncluded}
}

// unknownCapacity returns the sorted names of the services of both intents whose
// capacity is unknown.
func unknownCapacity(current, proposed *intent.Intent, f Fleet) []string {
	measured := map[string]bool{}
	for _, s := range withKnownCapacity(f).Services {
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

// truncateNames returns the first maxNotIncluded names and, if there are more, a text
// with the number of the others.
func truncateNames(names []string) []string {
	if len(names) <= maxNotIncluded {
		return names
	}
	more := fmt.Sprintf("%d more upstreams", len(names)-maxNotIncluded)
	return append(slices.Clone(names[:maxNotIncluded]), more)
}

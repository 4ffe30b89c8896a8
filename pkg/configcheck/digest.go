package configcheck

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// digest returns 16 bits of a hash of the keys in any order: enough to show that keys have changed,
// and too few to find a key by trial.
func digest(keys []string) uint16 {
	sorted := slices.Sorted(slices.Values(keys))
	return uint16(xxhash.Sum64String(strings.Join(sorted, "\n")))
}

// Package evacuation decides which failure domains are in use while operators evacuate some of
// them.
//
// Load pattern: a failure domain has to be emptied within seconds, while all nodes serve their
// callers. Some nodes can't reach the store, and any number of them may be restarted at the same
// moment, so each node learns the evacuated domains from several sources, in any order. A node
// whose process is new doesn't know them at all. When the domain is taken back, its upstreams are
// cold. If the store is restored from an earlier copy, the record may be missing for a moment
// although nobody has removed it.
//
// The package uses no clock, socket or log: times are offsets passed in by the calling code.
package evacuation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the name of a failure domain.
	maxNameBytes = 64
	// maxDomains and maxSetBytes bound a set, of which each name counts nameOverhead more bytes.
	// A set is sent in statuses, which have to fit into one datagram.
	maxDomains   = 16
	maxSetBytes  = 512
	nameOverhead = 2
)

// ErrInvalid marks a set that comes from no node.
var ErrInvalid = errors.New("invalid set of evacuated failure domains")

// Version orders the sets. A store that is restored from an earlier copy starts the next history,
// in which offsets are assigned again.
type Version struct {
	History uint64
	Offset  int64
}

// Compare returns a negative number if v is older than o, and a positive one if it is newer.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.History, o.History), cmp.Compare(v.Offset, o.Offset))
}

// Set holds the failure domains that were evacuated at a version. It must not be changed.
type Set struct {
	Version Version
	// Domains are sorted, without duplicates.
	Domains []string
}

// NewSet returns the set of the names. Names that are too long, have unusual bytes or exceed the
// size of a set are left out and counted.
func NewSet(v Version, names []string) (set Set, leftOut int) {
	set.Version = v
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	size := 0
	for _, name := range names {
		if !isName(name) || len(set.Domains) == maxDomains || size+len(name)+nameOverhead > maxSetBytes {
			leftOut++
			continue
		}
		size += len(name) + nameOverhead
		set.Domains = append(set.Domains, name)
	}
	return set, leftOut
}

// isName reports whether a failure domain may have the name.
func isName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// Validate checks a set that another node has sent. Errors wrap ErrInvalid.
func (s Set) Validate() error {
	checked, leftOut := NewSet(s.Version, s.Domains)
	if leftOut > 0 || !slices.Equal(checked.Domains, s.Domains) {
		return fmt.Errorf("%w: %.100q", ErrInvalid, s.Domains)
	}
	return nil
}

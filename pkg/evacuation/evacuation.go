package evacuation

import (
	"maps"
	"slices"
	"time"
)

// State is what one node knows of the evacuated failure domains. It is not safe for concurrent
// use.
type State struct {
	// own is the failure domain of the node.
	own string
	// retention is how long a domain stays evacuated after a restored store no longer contains
	// its record.
	retention time.Duration

	set Set
	// known is set once a set was observed.
	known bool
	// seen is set once a set with a domain was observed, by this node or another one.
	seen bool
	// waiting is set while the node's upstream must not be used because no set is known.
	waiting bool
	// retained holds the domains that a restored store no longer contains, and until when they
	// stay evacuated.
	retained map[string]time.Duration
}

// New returns the state of a node in the failure domain. If wait is set, the domain counts as out
// of use until a set is observed or EndWait is called.
func New(own string, wait bool, retention time.Duration) *State {
	return &State{own: own, waiting: wait, retention: retention, retained: map[string]time.Duration{}}
}

// Change is the effect of an observation.
type Change struct {
	// Evacuated and Returned are the domains that are out of use and in use now, and were not
	// before.
	Evacuated, Returned []string
	// Broadcast is set if the node must notify all others at once, because it has read another set than
	// the one that it knew.
	Broadcast bool
	// Retained is set if domains stay evacuated until Expire is called after the retention.
	Retained bool
}

// ObserveRead processes a set that the node has read from the store, or that came with a
// configuration.
func (s *State) ObserveRead(now time.Duration, set Set) Change { return s.observe(now, set, false) }

// ObserveStatus processes the set in the status of another node.
func (s *State) ObserveStatus(now time.Duration, set Set) Change { return s.observe(now, set, true) }

// observe processes a set. Nodes send sets in statuses only after one of them has seen an
// evacuated domain.
func (s *State) observe(now time.Duration, set Set, inStatus bool) Change {
	// An older set counts as well: its sender has to hear of the newer one.
	s.seen = s.seen || inStatus || len(set.Domains) > 0
	if s.known && set.Version.Compare(s.set.Version) <= 0 {
		return Change{}
	}
	before, old := s.Domains(), s.set
	if s.known && set.Version.History > old.Version.History {
		s.retain(now, old.Domains)
	}
	s.set, s.known, s.waiting = set, true, false
	for _, domain := range set.Domains {
		delete(s.retained, domain)
	}
	c := s.changeSince(before)
	c.Broadcast = !inStatus && !slices.Equal(old.Domains, set.Domains)
	c.Retained = len(s.retained) > 0
	return c
}

// retain keeps the domains evacuated for the retention.
func (s *State) retain(now time.Duration, domains []string) {
	if s.retention <= 0 {
		return
	}
	for _, domain := range domains {
		s.retained[domain] = now + s.retention
	}
}

// Expire ends the retention of domains that a restored store no longer contains.
func (s *State) Expire(now time.Duration) Change {
	before := s.Domains()
	maps.DeleteFunc(s.retained, func(_ string, until time.Duration) bool { return now >= until })
	return s.changeSince(before)
}

// changeSince returns the difference between the domains out of use before and now.
func (s *State) changeSince(before []string) Change {
	var c Change
	after := s.Domains()
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			c.Evacuated = append(c.Evacuated, domain)
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			c.Returned = append(c.Returned, domain)
		}
	}
	return c
}

// EndWait lets the upstream of the node be used although no set is known. It reports whether the
// node was waiting.
func (s *State) EndWait() bool {
	was := s.waiting
	s.waiting = false
	return was
}

// Domains returns the failure domains that are out of use, sorted.
func (s *State) Domains() []string {
	domains := slices.Concat(s.set.Domains, slices.Collect(maps.Keys(s.retained)))
	return slices.Compact(slices.Sorted(slices.Values(domains)))
}

// Evacuated reports whether the failure domain is out of use.
func (s *State) Evacuated(domain string) bool {
	_, retained := s.retained[domain]
	return retained || slices.Contains(s.set.Domains, domain)
}

// OwnInUse reports whether the upstream of the node may be used.
func (s *State) OwnInUse() bool { return !s.waiting && !s.Evacuated(s.own) }

// Known returns the newest set, and false if none is known.
func (s *State) Known() (Set, bool) { return s.set, s.known }

// Advertised returns the set that the node's statuses contain, and false if they contain none.
func (s *State) Advertised() (Set, bool) { return s.set, s.known && s.seen }

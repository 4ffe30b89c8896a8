package route

import (
	"maps"
	"slices"
)

// Organisation is a customer whose requests carry one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank goes before the ranks of the routes; 0 is the most urgent. It may be nil.
	Rank *int
	// RatePerSecond and Burst limit the requests that run, over all nodes. A rate of zero sets
	// no limit, whatever the burst.
	RatePerSecond, Burst float64
	// Closed organisations have a limit that is not understood. Their requests are not run.
	Closed bool
}

// Limited reports whether the organisation has a limit that leaves room for requests.
func (o *Organisation) Limited() bool { return o != nil && !o.Closed && o.RatePerSecond > 0 }

// organisations holds the organisations of a table. The zero value has none.
type organisations struct {
	byKey          map[string]*Organisation
	byOrganisation map[string]*Organisation
	// keysRequired is set if requests need a key, even if there is no organisation.
	keysRequired bool
}

// add adds an organisation and returns what is wrong with it. Two entries of the same name are one
// organisation with the keys of both and the tighter limit; a key belongs to the first organisation
// that has it.
func (l *organisations) add(o *Organisation) []error {
	var problems []error
	switch {
	case o.Name == "":
		return []error{ErrNoName}
	case !(o.RatePerSecond >= 0):
		o.Closed, o.RatePerSecond = true, 0
		problems = append(problems, ErrNegativeRate)
	case !(o.Burst >= 0):
		o.Burst = 0
		problems = append(problems, ErrNegativeBurst)
	}
	if first := l.byOrganisation[o.Name]; first != nil {
		problems = append(problems, ErrDuplicateOrganisation)
		first.merge(o)
		o = first
	}
	l.byOrganisation[o.Name] = o
	for _, key := range o.Keys {
		owner := l.byKey[key]
		switch {
		case key == "":
			problems = append(problems, ErrEmptyKey)
		case owner == nil:
			l.byKey[key] = o
		case owner != o:
			problems = append(problems, ErrSharedKey)
		}
	}
	return problems
}

// merge adds the keys of another entry of the organisation and takes its limit and rank if they are
// tighter.
func (o *Organisation) merge(other *Organisation) {
	o.Keys = append(slices.Clone(o.Keys), other.Keys...)
	o.Closed = o.Closed || other.Closed
	if other.Limited() && (!o.Limited() || other.RatePerSecond < o.RatePerSecond) {
		o.RatePerSecond, o.Burst = other.RatePerSecond, other.Burst
	}
	if o.Rank == nil || other.Rank != nil && *other.Rank > *o.Rank {
		o.Rank = other.Rank
	}
}

// HasOrganisations reports whether requests need a key unless their route is public.
func (l *organisations) HasOrganisations() bool { return l.keysRequired }

// OrganisationByKey returns the organisation that holds the key, or nil.
func (l *organisations) OrganisationByKey(key string) *Organisation { return l.byKey[key] }

// Organisation returns the organisation with the name, or nil.
func (l *organisations) Organisation(name string) *Organisation { return l.byOrganisation[name] }

// Organisations returns all organisations by name.
func (l *organisations) Organisations() []*Organisation {
	var list []*Organisation
	for _, name := range slices.Sorted(maps.Keys(l.byOrganisation)) {
		list = append(list, l.byOrganisation[name])
	}
	return list
}

// OrganisationCount returns the number of organisations.
func (l *organisations) OrganisationCount() int { return len(l.byOrganisation) }

package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid marks entries that NewTable does not accept.
var ErrInvalid = errors.New("invalid routing table")

// Causes of a problem with an entry.
var (
	ErrNoName                = errors.New("no name")
	ErrDuplicateOrganisation = errors.New("two organisations have the same name")
	ErrSharedKey             = errors.New("two organisations share a key")
	ErrEmptyKey              = errors.New("a key is empty")
	ErrNegativeRate          = errors.New("rate is negative or not understood")
	ErrNegativeBurst         = errors.New("burst is negative or not understood")
	ErrNegativeCold          = errors.New("cold rate or cold time is negative or not understood")
	ErrPrefix                = errors.New("prefix needs a slash at both ends")
	ErrNoService             = errors.New("no service")
	ErrUnknownService        = errors.New("unknown service")
	ErrNegativeWeight        = errors.New("negative weight")
	ErrNoWeight              = errors.New("all weights are zero")
)

// strictestColdRate is the cold rate per second of a service whose rate is not understood.
const strictestColdRate = 1

// EntryError is a problem with one entry.
type EntryError struct {
	// Kind is the kind of the entry, such as "route", and Name its name.
	Kind, Name string
	Err        error
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %.100q: %s", e.Kind, e.Name, e.Err) }

func (e *EntryError) Unwrap() error { return e.Err }

// Entries are the entries of one version of the configuration.
type Entries struct {
	Version       uint64
	Limits        Limits
	Services      []Service
	Routes        []*Route
	Organisations []*Organisation
	// KeysRequired is set if requests need a key even if there is no organisation.
	KeysRequired bool
}

// NewTable returns a table of the services, routes and organisations, which must have no problems.
// Errors wrap ErrInvalid and the cause.
func NewTable(version uint64, limits Limits, services []Service, routes []*Route, list ...*Organisation) (*Table, error) {
	t := Build(Entries{Version: version, Limits: limits, Services: services, Routes: routes, Organisations: list})
	if len(t.Problems) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, t.Problems[0])
	}
	return t, nil
}

// Build returns a table of the entries. An entry with a problem never holds back the others and never
// permits more than it states: it is in force in a stricter form, which may be changed in place, or
// not at all. Problems of the table lists these entries.
func Build(e Entries) *Table {
	t := &Table{
		Version: e.Version, Limits: e.Limits, Services: map[string]Service{}, byHost: map[string][]*Route{}, byName: map[string]*Route{},
		organisations: organisations{
			byKey: map[string]*Organisation{}, byOrganisation: map[string]*Organisation{}, keysRequired: e.KeysRequired || len(e.Organisations) > 0,
		},
	}
	for _, o := range e.Organisations {
		t.addProblems("organisation", o.Name, t.add(o))
	}
	for _, s := range e.Services {
		t.addProblems("service", s.Name, t.addService(s))
	}
	for _, r := range e.Routes {
		t.addProblems("route", r.Name, t.addRoute(r))
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

func (t *Table) addProblems(kind, name string, causes []error) {
	for _, err := range causes {
		t.Problems = append(t.Problems, &EntryError{kind, name, err})
	}
}

// addService adds a service and returns what is wrong with it. A cold rate that is not understood
// must not count as none.
func (t *Table) addService(s Service) []error {
	if s.Name == "" {
		return []error{ErrNoName}
	}
	var problems []error
	if !(s.ColdRate >= 0) || s.ColdStart < 0 {
		problems = append(problems, ErrNegativeCold)
		if !(s.ColdRate >= 0) {
			s.ColdRate = strictestColdRate
		}
		s.ColdStart = max(0, s.ColdStart)
	}
	t.Services[s.Name] = s
	return problems
}

// addRoute adds a route and returns what is wrong with it. A route without a usable service stays in
// the table: otherwise a shorter prefix would send its requests to another service.
func (t *Table) addRoute(r *Route) []error {
	if r.Prefix == "" {
		return []error{ErrPrefix}
	}
	var problems []error
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		problems = append(problems, ErrPrefix)
		r.Prefix = "/" + strings.TrimPrefix(r.Prefix, "/")
		r.Prefix = strings.TrimSuffix(r.Prefix, "/") + "/"
	}
	problems = append(problems, t.checkServices(r)...)
	name, port := splitHost(r.Host)
	r.port = port
	t.byHost[name] = append(t.byHost[name], r)
	t.byName[r.Name] = r
	return problems
}

// checkServices returns what is wrong with the services of the route. Services that the configuration
// doesn't describe may have upstreams nevertheless.
func (t *Table) checkServices(r *Route) []error {
	if len(r.Services) == 0 {
		return []error{ErrNoService}
	}
	var problems []error
	total := 0.0
	for i, s := range r.Services {
		if _, ok := t.Services[s.Service]; s.Service == "" {
			problems = append(problems, ErrNoService)
		} else if !ok {
			problems = append(problems, fmt.Errorf("%w %.100q", ErrUnknownService, s.Service))
			t.Services[s.Service] = Service{Name: s.Service}
		}
		if !(s.Weight >= 0) {
			problems = append(problems, ErrNegativeWeight)
			r.Services[i].Weight = 0
		}
		total += r.Services[i].Weight
	}
	if total == 0 {
		problems = append(problems, ErrNoWeight)
	}
	return problems
}

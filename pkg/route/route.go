// Package route holds the routing configuration that nodes apply to requests of
// callers: routes by host and path prefix, the services behind them and the
// limits of caller connections. A Table is immutable, so each request is handled
// under a single version.
package route

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrInvalid marks a table that must not be installed.
var ErrInvalid = errors.New("invalid routing table")

// ErrNegativeCold means that the cold rate or the cold time of a service is negative.
var ErrNegativeCold = errors.New("cold rate or cold time is negative")

// EntryError is the cause of an invalid table in one entry.
type EntryError struct {
	// Kind is the kind of the entry, such as "route", and Name its name.
	Kind, Name string
	Err        error
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %.100q: %s", e.Kind, e.Name, e.Err) }

func (e *EntryError) Unwrap() error { return e.Err }

// WeightedService is one service of a route with its weight among the route's services.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines which services receive the requests of one host and path prefix, and
// how nodes may handle these requests.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Target is the latency within which a response has its full worth.
	Target time.Duration
	// Timeout is the longest time that a caller waits for the response. Zero sets no limit.
	Timeout time.Duration
	// MaxAttempts bounds the number of upstreams that one request may be sent to.
	MaxAttempts int
	Services    []WeightedService
	// Public routes accept requests without the key of an organisation.
	Public bool

	// port is that of Host. NewTable sets it.
	port string
}

// Service describes the interchangeable upstreams of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts in total.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold upstream tolerates, or 0 if the
	// service sets no such limit.
	ColdRate float64
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
}

// Limits bound the size and time of requests on a caller's connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is immutable and safe for
// concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Source is the encoded form that the table was decoded from. Nodes pass it
	// on to each other unchanged.
	Source []byte

	// byHost holds the routes by the names of their hosts, as splitHost returns them.
	byHost map[string][]*Route
	byName map[string]*Route
	organisations
}

// NewTable checks the services, routes and organisations and returns a table of them. Errors wrap
// ErrInvalid.
func NewTable(version uint64, limits Limits, services []Service, routes []*Route, list ...*Organisation) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}, byName: map[string]*Route{}}
	var err error
	if t.organisations, err = newOrganisations(list); err != nil {
		return nil, err
	}
	for _, s := range services {
		if s.ColdRate < 0 || s.ColdStart < 0 {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, &EntryError{"service", s.Name, ErrNegativeCold})
		}
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.check(r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, &EntryError{"route", r.Name, err})
		}
		name, port := splitHost(r.Host)
		r.port = port
		t.byHost[name] = append(t.byHost[name], r)
		t.byName[r.Name] = r
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// check returns an error if the route is invalid.
func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q needs a slash at both ends", r.Prefix)
	}
	if len(r.Services) == 0 {
		return errors.New("no service")
	}
	total := 0
	for _, s := range r.Services {
		if _, ok := t.Services[s.Service]; !ok {
			return fmt.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.New("negative weight")
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.New("all weights are zero")
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or nil. Routes whose
// entry names the port of the request go first. Otherwise a port counts only if both the entry and
// the request name one.
func (t *Table) Match(host, path string) *Route {
	name, port := splitHost(host)
	var match *Route
	for _, r := range t.byHost[name] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if r.port == port {
			return r
		}
		if match == nil && (r.port == "" || port == "") {
			match = r
		}
	}
	return match
}

// HasHost reports whether the table has routes of the host, whatever their port.
func (t *Table) HasHost(host string) bool {
	name, _ := splitHost(host)
	return len(t.byHost[name]) > 0
}

// Routes returns all routes, by host and then in the order in which they are matched.
func (t *Table) Routes() []*Route {
	var list []*Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		list = append(list, t.byHost[host]...)
	}
	return list
}

// Route returns the route with the name, or nil.
func (t *Table) Route(name string) *Route { return t.byName[name] }

// HasRoute reports whether the table has a route with the name.
func (t *Table) HasRoute(name string) bool { return t.byName[name] != nil }

// HasService reports whether the table has the service.
func (t *Table) HasService(name string) bool {
	_, ok := t.Services[name]
	return ok
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, hostRoutes := range t.byHost {
		n += len(hostRoutes)
	}
	return n
}

// Package route holds the routing configuration that nodes apply to requests of
// callers: routes by host and path prefix, the services behind them and the
// limits of caller connections. A Table is immutable, so each request is handled
// under a single version.
package route

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// LowestRank is a rank that no other one is less urgent than.
const LowestRank = 1<<10 - 1

// WeightedService is one service of a route with its weight among the route's services.
type WeightedService struct {
	Service string
	// Weight is not negative. A service with the weight 0 gets no requests.
	Weight float64
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
	// Services without a positive weight leave requests without an upstream.
	Services []WeightedService
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
	// MaxHeaderBytes is not limited by the configuration if it is 0.
	MaxHeaderBytes int
	// MaxBodyBytes of 0 rejects all bodies.
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
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
	// Problems are the entries that are in force in a stricter form than they are written, or not at
	// all.
	Problems []*EntryError

	// byHost holds the routes by the names of their hosts, as splitHost returns them.
	byHost map[string][]*Route
	byName map[string]*Route
	organisations
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

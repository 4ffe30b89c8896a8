// Package configcheck examines a routing configuration before operators publish it: entries that can
// never match, limits that contradict each other, and differences from the version in force. It
// works on routing tables, whatever format they were decoded from.
package configcheck

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings. Nodes reject or ignore a configuration with an Error. An entry that is Restricted
// is in force in a stricter form than it is written, or not at all.
const (
	Error         Kind = "error"
	Restricted    Kind = "restricted"
	Unreachable   Kind = "never matches"
	Contradiction Kind = "contradiction"
	Difference    Kind = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// Line is the line in the file, or 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Entry names the entry, such as `route "a"`.
	Entry string `json:"entry"`
	// Field is the field that the finding is about, or empty.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// maxHeaderBytes is the largest limit of headers that nodes keep to.
const maxHeaderBytes = 128 << 10

// Check returns the entries of the table that can never match and the limits that contradict each
// other.
func Check(t *route.Table) []Finding {
	c := checker{table: t}
	for _, p := range t.Problems {
		c.add(Restricted, p.Name, fmt.Sprintf("%s %.100q", p.Kind, p.Name), "", "%s", p.Err)
	}
	c.checkLimits()
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	return c.findings
}

type checker struct {
	table    *route.Table
	findings []Finding
}

func (c *checker) add(kind Kind, name, entry, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Kind: kind, Line: LineOf(c.table.Source, name), Entry: entry, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkLimits() {
	l := c.table.Limits
	if l.MaxHeaderBytes > maxHeaderBytes {
		c.add(Contradiction, "", "limits", "maximum header size", "%d bytes exceed the %d bytes that nodes accept", l.MaxHeaderBytes, maxHeaderBytes)
	}
	if l.MaxBodyBytes <= 0 {
		c.add(Contradiction, "", "limits", "maximum body size", "%d bytes: requests with a body are rejected", l.MaxBodyBytes)
	}
}

func (c *checker) checkRoutes() {
	type match struct{ host, prefix string }
	first := map[match]string{}
	names := map[string]bool{}
	for _, r := range c.table.Routes() {
		entry := fmt.Sprintf("route %q", r.Name)
		if names[r.Name] {
			c.add(Contradiction, r.Name, entry, "name", "another route has the same name: their service times and metrics are mixed")
		}
		names[r.Name] = true
		if other, ok := first[match{route.HostKey(r.Host), r.Prefix}]; ok {
			c.add(Unreachable, r.Name, entry, "prefix", "route %q has the same host and prefix and goes first", other)
		} else {
			first[match{route.HostKey(r.Host), r.Prefix}] = r.Name
		}
		if r.Host == "" {
			c.add(Unreachable, r.Name, entry, "host", "%q is empty", r.Host)
		}
		c.checkRoute(entry, r)
	}
}

func (c *checker) checkRoute(entry string, r *route.Route) {
	if r.Timeout > 0 && r.Target > r.Timeout {
		c.add(Contradiction, r.Name, entry, "target", "the target of %v is after the timeout of %v", r.Target, r.Timeout)
	}
	for _, s := range r.Services {
		if s.Weight == 0 {
			c.add(Unreachable, r.Name, entry, "weight", "service %q has the weight 0", s.Service)
		}
	}
	if r.Public || !c.table.HasOrganisations() {
		return
	}
	for _, o := range c.table.Organisations() {
		if len(o.Keys) > 0 {
			return
		}
	}
	c.add(Unreachable, r.Name, entry, "public", "the route needs a key, and no organisation has one")
}

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.table.Routes() {
		for _, s := range r.Services {
			used[s.Service] = true
		}
	}
	for _, s := range sortedServices(c.table) {
		entry := fmt.Sprintf("service %q", s.Name)
		if !used[s.Name] {
			c.add(Unreachable, s.Name, entry, "", "no route leads to the service")
		}
		if s.ColdRate > 0 && s.ColdStart == 0 {
			c.add(Contradiction, s.Name, entry, "cold time", "a cold rate of %g/s, but no time for which upstreams are cold", s.ColdRate)
		}
	}
}

func (c *checker) checkOrganisations() {
	for _, o := range c.table.Organisations() {
		entry := fmt.Sprintf("organisation %q", o.Name)
		if len(o.Keys) == 0 {
			c.add(Unreachable, o.Name, entry, "keys", "the organisation has no key")
		}
		if o.RatePerSecond == 0 && o.Burst > 0 {
			c.add(Contradiction, o.Name, entry, "burst", "a burst of %g without a rate: the organisation has no limit", o.Burst)
		}
		if o.Limited() && o.Burst < 1 {
			c.add(Contradiction, o.Name, entry, "burst", "a burst of %g has no room for one request", o.Burst)
		}
	}
}

// LineOf returns the line of the first quoted or separate occurrence of the name, or 0.
func LineOf(source []byte, name string) int {
	if name == "" {
		return 0
	}
	for _, text := range []string{strconv.Quote(name), ": " + name + "\n"} {
		if i := bytes.Index(source, []byte(text)); i >= 0 {
			return LineAt(source, int64(i))
		}
	}
	return 0
}

// LineAt returns the line of the byte at the offset, counted from 1.
func LineAt(source []byte, offset int64) int {
	end := max(0, min(offset, int64(len(source))))
	return 1 + bytes.Count(source[:end], []byte("\n"))
}

package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// Diff returns what differs in the table from the one in force. Keys are counted and not named.
func Diff(inForce, t *route.Table) []Finding {
	c := checker{table: t}
	if t.Version <= inForce.Version {
		c.add(Error, "", "configuration", "version", "version %d is not above %d, which is in force: nodes ignore it", t.Version, inForce.Version)
	}
	c.compare("limits", "", describeLimits(inForce.Limits), describeLimits(t.Limits))
	c.compareAll("route", describeAll(inForce.Routes(), describeRoute), describeAll(t.Routes(), describeRoute))
	c.compareAll("service", describeAll(sortedServices(inForce), describeService), describeAll(sortedServices(t), describeService))
	c.compareAll("organisation", describeAll(inForce.Organisations(), describeOrganisation), describeAll(t.Organisations(), describeOrganisation))
	return c.findings
}

// field is a value of an entry in words.
type field struct{ name, value string }

// compareAll adds a difference for each entry that exists in one of the tables only or has other
// values.
func (c *checker) compareAll(kind string, before, after map[string][]field) {
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		entry := fmt.Sprintf("%s %q", kind, name)
		old, wasThere := before[name]
		now, isThere := after[name]
		switch {
		case !wasThere:
			c.add(Difference, name, entry, "", "added")
		case !isThere:
			c.add(Difference, "", entry, "", "removed")
		default:
			c.compare(entry, name, old, now)
		}
	}
}

// compare adds a difference for each field with another value. Both lists have the same fields.
func (c *checker) compare(entry, name string, before, after []field) {
	for i, f := range after {
		if before[i].value != f.value {
			c.add(Difference, name, entry, f.name, "%s, was %s", f.value, before[i].value)
		}
	}
}

// describeAll returns the fields of the entries by name. Entries of the same name are numbered.
func describeAll[T any](list []T, describe func(T) (name string, fields []field)) map[string][]field {
	out := map[string][]field{}
	for _, entry := range list {
		name, fields := describe(entry)
		for n := 2; out[name] != nil; n++ {
			name = fmt.Sprintf("%s (%d)", name, n)
		}
		out[name] = fields
	}
	return out
}

func describeLimits(l route.Limits) []field {
	return []field{
		{"maximum header size", fmt.Sprint(l.MaxHeaderBytes)}, {"maximum body size", fmt.Sprint(l.MaxBodyBytes)},
		{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
	}
}

func describeRoute(r *route.Route) (string, []field) {
	var services []string
	for _, s := range r.Services {
		services = append(services, fmt.Sprintf("%s:%g", s.Service, s.Weight))
	}
	return r.Name, []field{
		{"host", r.Host}, {"prefix", r.Prefix}, {"services", fmt.Sprint(services)}, {"idempotent", fmt.Sprint(r.Idempotent)}, {"rank", fmt.Sprint(r.Rank)},
		{"target", r.Target.String()}, {"timeout", r.Timeout.String()}, {"attempts", fmt.Sprint(r.MaxAttempts)}, {"public", fmt.Sprint(r.Public)},
	}
}

func describeService(s route.Service) (string, []field) {
	return s.Name, []field{
		{"health path", s.HealthPath}, {"connections", fmt.Sprint(s.MaxConnections)}, {"cold rate", fmt.Sprint(s.ColdRate)}, {"cold time", s.ColdStart.String()},
	}
}

func describeOrganisation(o *route.Organisation) (string, []field) {
	rank := "none"
	if o.Rank != nil {
		rank = fmt.Sprint(*o.Rank)
	}
	return o.Name, []field{
		{"keys", describeKeys(o.Keys)}, {"rank", rank}, {"rate", fmt.Sprintf("%g/s", o.RatePerSecond)}, {"burst", fmt.Sprint(o.Burst)}, {"closed", fmt.Sprint(o.Closed)},
	}
}

// describeKeys returns the number of keys and a digest that differs for other keys.
func describeKeys(keys []string) string {
	return fmt.Sprintf("%d keys, digest %04x", len(keys), digest(keys))
}

func sortedServices(t *route.Table) []route.Service {
	return slices.SortedFunc(maps.Values(t.Services), func(a, b route.Service) int { return cmp.Compare(a.Name, b.Name) })
}

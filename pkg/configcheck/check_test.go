package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// base returns the parts of a table without findings.
func base() (route.Limits, []route.Service, []*route.Route, []*route.Organisation) {
	return route.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20},
		[]route.Service{{Name: "s", ColdRate: 12, ColdStart: 3 * time.Second}},
		[]*route.Route{{Name: "r", Host: "h", Prefix: "/", Target: time.Second, Timeout: 2 * time.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}}}},
		[]*route.Organisation{{Name: "o", Keys: []string{"secret"}, RatePerSecond: 5, Burst: 5}}
}

func newTable(t *testing.T, version uint64, change func(*route.Limits, *[]route.Service, *[]*route.Route, *[]*route.Organisation)) *route.Table {
	t.Helper()
	limits, services, routes, organisations := base()
	if change != nil {
		change(&limits, &services, &routes, &organisations)
	}
	table, err := route.NewTable(version, limits, services, routes, organisations...)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// describe returns the findings without their messages.
func describe(findings []Finding) []string {
	var list []string
	for _, f := range findings {
		list = append(list, strings.TrimSpace(fmt.Sprintf("%s: %s %s", f.Kind, f.Entry, f.Field)))
	}
	return list
}

// Guards against a configuration that passes the check and then serves less than it seems to.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		change func(*route.Limits, *[]route.Service, *[]*route.Route, *[]*route.Organisation)
		want   []string
	}{
		{"sound", nil, nil},
		{"same host and prefix", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			other := *(*r)[0]
			other.Name = "r2"
			*r = append(*r, &other)
		}, []string{`never matches: route "r2" prefix`}},
		{"host with a port", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			(*r)[0].Host = "h:80"
		},
			nil},
		{"host in upper case", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			(*r)[0].Host = "H"
		},
			nil},
		{"empty host", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			(*r)[0].Host = ""
		},
			[]string{`never matches: route "r" host`}},
		{"same host in another spelling", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			other := *(*r)[0]
			other.Name, other.Host = "r2", "H."
			*r = append(*r, &other)
		}, []string{`never matches: route "r2" prefix`}},
		{"same host with another port", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			other := *(*r)[0]
			other.Name, other.Host = "r2", "h:81"
			*r = append(*r, &other)
		}, nil},
		{"target after the timeout", func(_ *route.Limits, _ *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			(*r)[0].Target = 3 * time.Second
		}, []string{`contradiction: route "r" target`}},
		{"unused service and part without weight", func(_ *route.Limits, s *[]route.Service, r *[]*route.Route, _ *[]*route.Organisation) {
			*s = append(*s, route.Service{Name: "s2"}, route.Service{Name: "s3"})
			(*r)[0].Services = append((*r)[0].Services, route.WeightedService{Service: "s2"})
		}, []string{`never matches: route "r" weight`, `never matches: service "s3"`}},
		{"no keys", func(_ *route.Limits, _ *[]route.Service, _ *[]*route.Route, o *[]*route.Organisation) {
			(*o)[0].Keys = nil
		},
			[]string{`never matches: route "r" public`, `never matches: organisation "o" keys`}},
		{"burst below one", func(_ *route.Limits, _ *[]route.Service, _ *[]*route.Route, o *[]*route.Organisation) {
			(*o)[0].Burst = 0.5
		},
			[]string{`contradiction: organisation "o" burst`}},
		{"cold rate without time", func(_ *route.Limits, s *[]route.Service, _ *[]*route.Route, _ *[]*route.Organisation) {
			(*s)[0].ColdStart = 0
		},
			[]string{`contradiction: service "s" cold time`}},
		{"limits", func(l *route.Limits, _ *[]route.Service, _ *[]*route.Route, _ *[]*route.Organisation) {
			l.MaxHeaderBytes, l.MaxBodyBytes = 1<<20, 0
		}, []string{"contradiction: limits maximum header size", "contradiction: limits maximum body size"}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			if got := describe(Check(newTable(t, 1, tt.change))); !slices.Equal(got, tt.want) {
				t.Errorf("findings %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against differences that are not shown, and keys that are.
func TestDiff(t *testing.T) {
	before := newTable(t, 5, nil)
	after := newTable(t, 5, func(l *route.Limits, s *[]route.Service, r *[]*route.Route, o *[]*route.Organisation) {
		l.IdleTimeout = time.Second
		*s = append(*s, route.Service{Name: "new"})
		(*r)[0].Timeout = 3 * time.Second
		(*o)[0].Keys = []string{"secret-2"}
		*o = append(*o, &route.Organisation{Name: "p", Keys: []string{"k"}})
	})
	want := []string{
		"error: configuration version", "difference: limits idle timeout", `difference: route "r" timeout`, `difference: service "new"`,
		`difference: organisation "o" keys`, `difference: organisation "p"`,
	}
	findings := Diff(before, after)
	if got := describe(findings); !slices.Equal(got, want) {
		t.Errorf("findings %q, want %q", got, want)
	}
	if strings.Contains(fmt.Sprint(findings), "secret") {
		t.Errorf("a key is shown: %v", findings)
	}
	if got := describe(Diff(before, newTable(t, 6, nil))); len(got) > 0 {
		t.Errorf("findings %q for an equal configuration", got)
	}
}

func TestLineOfName(t *testing.T) {
	for source, want := range map[string]int{"{\n\"name\":\"r\"}": 2, "routes:\n  - name: r\n": 2, "{}": 0} {
		if got := LineOf([]byte(source), "r"); got != want {
			t.Errorf("line %d in %q, want %d", got, source, want)
		}
	}
}

package route

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

func table(t *testing.T, routes ...*Route) *Table {
	t.Helper()
	tab, err := NewTable(1, Limits{}, []Service{{Name: "a"}, {Name: "b"}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	one := []WeightedService{{"a", 1}}
	tab := table(t,
		&Route{Name: "root", Host: "h", Prefix: "/", Services: one}, &Route{Name: "x", Host: "h", Prefix: "/x/", Services: one},
		&Route{Name: "xy", Host: "h", Prefix: "/x/y/", Services: one}, &Route{Name: "other", Host: "g", Prefix: "/x/y/z/", Services: one},
	)
	tests := []struct{ host, path, want string }{
		{"h", "/x/y/z/1", "xy"}, {"h", "/x/1", "x"}, {"h", "/x", "root"}, {"H:8080", "/x/y/", "xy"}, {"g", "/x/", ""}, {"none", "/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			got := ""
			if r := tab.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route %q, want %q", got, tt.want)
			}
		})
	}
}

func TestInvalidTables(t *testing.T) {
	tests := []struct {
		desc  string
		route Route
	}{
		{"prefix without a slash at its end", Route{Prefix: "/x", Services: []WeightedService{{"a", 1}}}},
		{"no service", Route{Prefix: "/"}},
		{"unknown service", Route{Prefix: "/", Services: []WeightedService{{"c", 1}}}},
		{"negative weight", Route{Prefix: "/", Services: []WeightedService{{"a", -1}, {"b", 2}}}},
		{"all weights zero", Route{Prefix: "/", Services: []WeightedService{{"a", 0}}}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if _, err := NewTable(1, Limits{}, []Service{{Name: "a"}, {Name: "b"}}, []*Route{&tt.route}); !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want ErrInvalid", err)
			}
		})
	}
}

// The proportions must hold over short runs of requests and change with the weights
// immediately.
func TestSplitterKeepsProportions(t *testing.T) {
	s := NewSplitter()
	for _, weight := range []float64{90, 10, 50, 12.5} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			r := &Route{Name: "r", Services: []WeightedService{{"a", weight}, {"b", 100 - weight}}}
			n := 0
			for range 200 {
				if s.Pick(r) == "a" {
					n++
				}
			}
			if got := float64(n) / 200; math.Abs(got-weight/100) > 0.02 {
				t.Errorf("fraction %.3f, want %g%%", got, weight)
			}
		})
	}
}

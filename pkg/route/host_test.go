package route

import "testing"

// Guards against requests that get 404 because the configuration spells their host in another way.
func TestMatchIgnoresSpellingOfHost(t *testing.T) {
	one := []WeightedService{{"a", 1}}
	for _, tt := range []struct {
		configured, requested string
		want                  bool
	}{
		{"Shop.Example", "Shop.Example", true}, {"Shop.Example", "shop.example", true}, {"shop.example", "SHOP.EXAMPLE:8080", true},
		{"shop.example:8080", "shop.example:8080", true}, {"Shop.Example:8080", "shop.example", true}, {"shop.example:8080", "shop.example:9090", false},
		{"shop.example.", "shop.example", true}, {"shop.example", "shop.example.", true}, {"shop.example.:80", "Shop.Example.", true},
		{"[::1]", "[::1]:8080", true}, {"::1", "[::1]", true}, {"[2001:DB8::0:1]:80", "[2001:db8::1]", true}, {"[::1]", "[::2]", false},
		{"shop.example:", "shop.example", true}, {"", "", true}, {"", "shop.example", false}, {"shop.example", "", false},
	} {
		t.Run(tt.configured+" "+tt.requested, func(t *testing.T) {
			tab := table(t, &Route{Name: "r", Host: tt.configured, Prefix: "/", Services: one})
			if got := tab.Match(tt.requested, "/x") != nil; got != tt.want {
				t.Errorf("found %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against rules that are lost because another entry spells the same host in another way.
func TestEntriesOfOneHostAreMerged(t *testing.T) {
	one := []WeightedService{{"a", 1}}
	tab := table(t,
		&Route{Name: "short", Host: "Shop.Example", Prefix: "/", Services: one}, &Route{Name: "long", Host: "shop.example.", Prefix: "/x/", Services: one},
		&Route{Name: "second", Host: "SHOP.example", Prefix: "/x/", Services: one},
		&Route{Name: "other port", Host: "shop.example:81", Prefix: "/x/", Services: one},
	)
	for _, tt := range []struct{ host, path, want string }{
		{"shop.example", "/y", "short"}, {"SHOP.EXAMPLE", "/x/1", "long"}, {"shop.example:80", "/x/1", "long"}, {"Shop.Example:81", "/x/1", "other port"},
		{"shop.example:81", "/y", "short"},
	} {
		r := tab.Match(tt.host, tt.path)
		if r == nil || r.Name != tt.want {
			t.Errorf("%s%s: route %+v, want %s", tt.host, tt.path, r, tt.want)
		}
	}
	if tab.Len() != 4 || len(tab.Routes()) != 4 {
		t.Errorf("%d and %d routes, want 4", tab.Len(), len(tab.Routes()))
	}
}

// Guards against splits that are off because two routes with the same name share their state.
func TestSplitsOfRoutesWithTheSameNameAreApart(t *testing.T) {
	s := NewSplitter()
	first := &Route{Name: "r", Host: "h", Prefix: "/a/", Services: []WeightedService{{"a", 50}, {"b", 50}}}
	second := &Route{Name: "r", Host: "h", Prefix: "/b/", Services: []WeightedService{{"a", 10}, {"b", 90}}}
	count := 0
	for range 1000 {
		if s.Pick(first) == "a" {
			count++
		}
		s.Pick(second)
	}
	if count < 490 || count > 510 {
		t.Errorf("%d of 1000 requests, want half", count)
	}
}

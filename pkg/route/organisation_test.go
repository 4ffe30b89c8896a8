package route

import (
	"errors"
	"testing"
)

// Guards against a table with an ambiguous key or a meaningless limit.
func TestInvalidOrganisations(t *testing.T) {
	one := &Organisation{Name: "one", Keys: []string{"k1", "k2"}, RatePerSecond: 2, Burst: 1}
	for _, tt := range []struct {
		desc  string
		other Organisation
		want  error
	}{
		{"valid", Organisation{Name: "two", Keys: []string{"k3"}}, nil},
		{"same key twice in one organisation", Organisation{Name: "two", Keys: []string{"k3", "k3"}}, nil},
		{"same name", Organisation{Name: "one"}, ErrDuplicateOrganisation},
		{"shared key", Organisation{Name: "two", Keys: []string{"k3", "k2"}}, ErrSharedKey},
		{"negative rate", Organisation{Name: "two", RatePerSecond: -1}, ErrNegativeRate},
		{"negative burst", Organisation{Name: "two", RatePerSecond: 1, Burst: -1}, ErrNegativeBurst},
		{"burst without a rate", Organisation{Name: "two", Burst: 3}, nil},
		{"no name", Organisation{Keys: []string{"k3"}}, ErrNoName},
		{"empty key", Organisation{Name: "two", Keys: []string{""}}, ErrEmptyKey},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := NewTable(1, Limits{}, nil, nil, one, &tt.other)
			if !errors.Is(err, tt.want) || (tt.want != nil && !errors.Is(err, ErrInvalid)) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
}

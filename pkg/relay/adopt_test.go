package relay

import (
	"strings"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Guards against an id from a response that doesn't fit into the node's status.
func TestAdoptIgnoresInvalidIDs(t *testing.T) {
	for desc, id := range map[string]string{"empty": "", "above the limit": strings.Repeat("i", 129), "not ASCII": "ï1"} {
		t.Run(desc, func(t *testing.T) {
			s := NewSidecar(testNames, "svc", "127.0.0.1:1", event.Discard(), func() {}, func() {})
			s.Adopt(id, UpstreamLoad{Slots: 4})
			if u := s.UpstreamState(); u.ID != "" || u.Accepting {
				t.Errorf("upstream %+v was adopted", u)
			}
			if s.Adopt("i1", UpstreamLoad{Slots: 4}); !s.UpstreamState().Accepting {
				t.Error("a valid id was not adopted")
			}
		})
	}
}

package sidecar

import (
	"strconv"
	"testing"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Guards against counting a call once per attempted sidecar, and against a demand
// that omits rejected requests.
func TestProbe(t *testing.T) {
	u := newRawUpstream(t, respond(okResponse, true))
	for _, tc := range []struct {
		desc    string
		attempt int
		slots   int
		status  int
		counted bool
	}{
		{"first attempt", 0, 2, 200, true},
		{"second attempt", 1, 2, 200, false},
		{"refused", 0, 0, 503, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			s := newSidecar(u.listener.Addr().String(), Config{})
			s.admission.SetSlots(tc.slots, false)
			r := newRequest("GET", "http://x/", nil)
			r.Header.Set(outcome.HeaderAttempt, strconv.Itoa(tc.attempt))
			r.Header.Set(outcome.HeaderQueue, outcome.QueueNoWait)
			if resp := do(s, r); resp.StatusCode != tc.status {
				t.Fatalf("status %d", resp.StatusCode)
			}
			probe := s.Probe()
			if counted := len(probe.Demand) == 1 && probe.Demand[0].PerSecond > 0; counted != tc.counted {
				t.Errorf("demand %v", probe.Demand)
			}
			if served := tc.status == 200; served != (probe.CapacityPerSecond > 0) {
				t.Errorf("capacity %v", probe.CapacityPerSecond)
			}
		})
	}
}

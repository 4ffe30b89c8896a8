package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

const (
	// quotaWindow is the window in which the requests of an organisation that run are counted.
	quotaWindow = 5 * time.Second
	// coldPerSecond is the cold rate of all services. A cold upstream gets at most
	// coldBound requests in any second.
	coldPerSecond = 12
	coldBound     = coldPerSecond*1.5 + 8
	coldTime      = 4 * time.Second
	// evacuationBound is how long upstreams of a failure domain may still receive requests after
	// the store has acknowledged its evacuation.
	evacuationBound = 5 * time.Second
	// spoofedOrganisation is what callers send in the header that only nodes may set.
	spoofedOrganisation = "spoofed"
)

var organisations = []string{"org-a", "org-b"}

// key is a key of an organisation. The times are those of the store's acknowledgement; a zero
// withdrawnAt means that the key is in force.
type key struct {
	organisation         string
	addedAt, withdrawnAt time.Time
}

// neverHeld is the index of the key that no configuration holds.
const neverHeld = 0

// keyText returns the text of the key with the index.
func keyText(index int) string { return fmt.Sprintf("soak-key-%d-text", index) }

// sentRequest is a request that a caller sent to the node of the VM.
type sentRequest struct {
	vm  *vm
	key int
}

// pickKey returns the key of a caller's request. Of five requests in turn, one has a withdrawn key, if
// there is one, and one a key that no configuration ever held.
func (s *soak) pickKey(turn int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch turn % 5 {
	case 3:
		if s.lastWithdrawn != neverHeld {
			return s.lastWithdrawn
		}
	case 4:
		return neverHeld
	}
	return s.keyInForce[organisations[turn/5%len(organisations)]]
}

// publishConfig publishes a configuration with the number of added routes, in which each of the
// organisations has a new key instead of its present one. Only the goroutine that injects faults
// calls it, after the start of the run.
func (s *soak) publishConfig(routes int, replaceKeysOf ...string) {
	s.mu.Lock()
	s.version++
	added := map[string]int{}
	for _, o := range replaceKeysOf {
		added[o] = len(s.keys)
		s.keys = append(s.keys, key{organisation: o})
	}
	config := standin.Config{Version: s.version, Services: services, AddedRoutes: routes, ColdPerSecond: coldPerSecond, ColdStartSeconds: coldTime.Seconds()}
	for _, o := range organisations {
		index, ok := added[o]
		if !ok {
			index = s.keyInForce[o]
		}
		config.Organisations = append(config.Organisations, standin.Organisation{Name: o, Keys: []string{keyText(index)}})
	}
	s.mu.Unlock()
	s.store.PutConfig(config.Encode())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if routes != s.lastRoute {
		s.lastRoute, s.lastRouteAt = routes, now
	}
	for o, index := range added {
		if old := s.keyInForce[o]; old != neverHeld {
			s.keys[old].withdrawnAt = now
			s.lastWithdrawn = old
		}
		s.keys[index].addedAt = now
		s.keyInForce[o] = index
	}
}

// settled reports whether the VM and the store had no fault for settleTime.
func (s *soak) settled(v *vm) bool {
	s.mu.Lock()
	storeSettled := time.Since(s.lastStoreFault) > settleTime
	s.mu.Unlock()
	_, sinceFault := v.state()
	return storeSettled && sinceFault > settleTime
}

// checkAccess checks the key of a request that the upstream of the VM starts to execute, and that the
// failure domain of the VM is in use.
func (s *soak) checkAccess(v *vm, e standin.Execution) {
	s.mu.Lock()
	request, sent := s.requests[e.RequestID]
	k := s.keys[request.key]
	evacuatedAt := s.evacuatedAt[v.domain]
	if request.key != neverHeld {
		s.runs[runWindow{k.organisation, e.StartedAt.UnixNano() / int64(quotaWindow)}]++
	}
	s.mu.Unlock()
	if since := e.StartedAt.Sub(evacuatedAt); !evacuatedAt.IsZero() && since > evacuationBound && s.settled(v) {
		s.violation("request %s ran at %s %v after its failure domain was evacuated", e.RequestID, e.Upstream, since)
	}
	if !sent || request.key == neverHeld {
		s.violation("request %s ran with a key that no configuration held", e.RequestID)
		return
	}
	if got := e.Header.Values(platform.HeaderNames().Organisation); !slices.Equal(got, []string{k.organisation}) {
		s.violation("request %s of %s ran with organisations %q", e.RequestID, k.organisation, got)
	}
	for name, values := range e.Header {
		if strings.Contains(strings.Join(values, ","), keyText(request.key)) {
			s.violation("request %s ran with its key in header %s", e.RequestID, name)
		}
	}
	if since := e.StartedAt.Sub(k.withdrawnAt); !k.withdrawnAt.IsZero() && since > applyBound && s.settled(v) && s.settled(request.vm) {
		s.violation("request %s ran %v after its key was withdrawn", e.RequestID, since)
	}
}

// checkKeyStatus checks the status of a response to a request that was sent with the key.
func (s *soak) checkKeyStatus(id string, v *vm, index, status int, sentAt time.Time) {
	s.mu.Lock()
	k := s.keys[index]
	s.mu.Unlock()
	switch {
	case index == neverHeld:
		if status != 0 && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
			s.violation("request %s: status %d with a key that no configuration held", id, status)
		}
	case status == http.StatusUnauthorized && k.withdrawnAt.IsZero() && sentAt.Sub(k.addedAt) > applyBound && s.settled(v):
		s.violation("request %s: status 401 %v after its key was added", id, sentAt.Sub(k.addedAt))
	}
}

// runWindow identifies a quotaWindow of an organisation.
type runWindow struct {
	organisation string
	number       int64
}

// maxRuns returns the largest number of requests of each organisation that ran in a quotaWindow.
func (s *soak) maxRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for w, n := range s.runs {
		runs[w.organisation] = max(runs[w.organisation], n)
	}
	return runs
}

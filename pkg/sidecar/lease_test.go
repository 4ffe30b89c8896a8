package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// closedAddress is an address on which nothing listens.
const closedAddress = "127.0.13.9:1"

func reasonOf(s http.Handler) outcome.Reason {
	return outcome.Reason(do(s, newRequest("GET", "http://x/", nil)).Header.Get(outcome.HeaderReason))
}

// Guards against a delayed announcement that renews the lease.
func TestDelayedAnnouncementDoesNotRenew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(closedAddress, Config{})
		time.Sleep(100 * time.Millisecond) // makes the next nonce newer than the echoed one
		a := announcement(closedAddress)
		a.Nonce = s.Announce(a).Nonce
		time.Sleep(3 * time.Second)
		s.Announce(a)
		if got := reasonOf(s); got != outcome.ReasonLeaseLapsed {
			t.Errorf("reason %q after a delayed announcement", got)
		}
		renew(s, announcement(closedAddress))
		if got := reasonOf(s); got == outcome.ReasonLeaseLapsed {
			t.Error("the lease is still expired after a renewal")
		}
	})
}

// Guards against a delayed announcement that restores an old incarnation or state.
func TestDelayedAnnouncementDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(closedAddress, Config{})
		old := announcement(closedAddress)
		old.Nonce = s.Announce(old).Nonce
		s.Announce(old)
		draining := old
		draining.State = StateDraining
		s.Announce(draining)
		s.Announce(old)
		if got := reasonOf(s); got != outcome.ReasonDraining {
			t.Errorf("reason %q, want draining", got)
		}
		next := announcement(closedAddress)
		next.Incarnation = "u2"
		renew(s, next)
		s.Announce(old)
		if a, valid := s.lease.get(time.Now()); a.Incarnation != "u2" || !valid {
			t.Errorf("incarnation %s, valid %v, want u2 and valid", a.Incarnation, valid)
		}
	})
}

// Guards against a sidecar that is paused with a queued or admitted request and
// dispatches it on resume, although the lease has expired.
func TestPausedSidecarDispatchesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(3 * time.Second)
				next.ServeHTTP(w, r)
			})
		}
		s := newSidecar(closedAddress, Config{Execute: pause})
		resp := do(s, newRequest("GET", "http://x/", nil))
		if got := resp.Header.Get(outcome.HeaderReason); got != string(outcome.ReasonLeaseLapsed) {
			t.Errorf("reason %q, want lease-lapsed", got)
		}
		if got := resp.Header.Get(outcome.HeaderOutcome); got != string(outcome.NotRun) {
			t.Errorf("outcome %q", got)
		}
	})
}

// Guards against sending a request to a draining upstream, even if the request
// already has a slot.
func TestDrainBetweenSlotAndDispatch(t *testing.T) {
	var s *Sidecar
	s = newSidecar(closedAddress, Config{Execute: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.SetDrain(true)
			next.ServeHTTP(w, r)
		})
	}})
	if got := reasonOf(s); got != outcome.ReasonDraining {
		t.Errorf("reason %q, want draining", got)
	}
	if err := s.WaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against announcements that admission or routing cannot use.
func TestServeAnnounceValidates(t *testing.T) {
	valid := `{"service":"counter","address":"127.0.13.9:1","slots":1,"incarnation":"a","state":"ready"}`
	tests := []struct {
		desc, method, body string
		status             int
		field              string
	}{
		{"valid", "POST", valid, 200, ""},
		{"method", "GET", "", 405, ""},
		{"service", "POST", strings.Replace(valid, "counter", "Counter!", 1), 400, "service"},
		{"address without port", "POST", strings.Replace(valid, ":1\"", "\"", 1), 400, "address"},
		{"address by name", "POST", strings.Replace(valid, "127.0.13.9", "host", 1), 400, "address"},
		{"no slots", "POST", strings.Replace(valid, "\"slots\":1", "\"slots\":0", 1), 400, "slots"},
		{"too many slots", "POST", strings.Replace(valid, "\"slots\":1", "\"slots\":10001", 1), 400, "slots"},
		{"slots as text", "POST", strings.Replace(valid, "\"slots\":1", "\"slots\":\"1\"", 1), 400, "slots"},
		{"incarnation", "POST", strings.Replace(valid, "\"a\"", "\"\"", 1), 400, "incarnation"},
		{"state", "POST", strings.Replace(valid, "ready", "lapsed", 1), 400, "state"},
		{"trailing data", "POST", valid + "{}", 400, "body"},
		{"too large", "POST", `{"service":"` + strings.Repeat("a", 5000), 413, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := httptest.NewRecorder()
			New(Config{}, event.Discard()).ServeAnnounce(w, httptest.NewRequest(tt.method, "/v1/announce", strings.NewReader(tt.body)))
			if w.Code != tt.status || tt.field != "" && !strings.Contains(w.Body.String(), `"field":"`+tt.field+`"`) {
				t.Errorf("status %d, body %s", w.Code, w.Body)
			}
		})
	}
}

package platformlog_test

import (
	"errors"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/configlog/httplog"
)

// Guards against a stand-in that does not inject the requested fault, and against
// a log client that reports the wrong outcome of an append.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		desc                string
		faults              platformlog.Faults
		appendErr, readErr  error
		endDuring, endAfter uint64
	}{
		{"none", platformlog.Faults{}, nil, nil, 2, 2},
		{"down", platformlog.Faults{Down: true}, configlog.ErrUnavailable, configlog.ErrUnavailable, 0, 1},
		{"reads down", platformlog.Faults{ReadsDown: true}, nil, configlog.ErrUnavailable, 0, 2},
		{"response lost", platformlog.Faults{LoseAppendResponses: true}, configlog.ErrOutcomeUnknown, nil, 2, 2},
		{"slow", platformlog.Faults{DelayMs: 400}, configlog.ErrOutcomeUnknown, configlog.ErrUnavailable, 0, 2},
		{"stale", platformlog.Faults{StaleMs: 3600000}, nil, nil, 0, 2},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			s, l, patient := start(t)
			if _, err := patient.Append(t.Context(), "config", []byte("a")); err != nil {
				t.Fatal(err)
			}
			if tc.faults.DelayMs == 0 {
				l = patient
			}
			s.SetFaults(tc.faults)
			if _, err := l.Append(t.Context(), "config", []byte("b")); !errors.Is(err, tc.appendErr) {
				t.Errorf("append: %v, want %v", err, tc.appendErr)
			}
			batch, err := l.Read(t.Context(), "config", 0, 10)
			if !errors.Is(err, tc.readErr) || batch.End != tc.endDuring || len(batch.Entries) != int(tc.endDuring) {
				t.Errorf("read: %v, end %d, %d entries", err, batch.End, len(batch.Entries))
			}
			time.Sleep(time.Duration(tc.faults.DelayMs) * time.Millisecond)
			s.SetFaults(platformlog.Faults{})
			if batch, err = patient.Read(t.Context(), "config", 0, 10); err != nil || batch.End != tc.endAfter {
				t.Errorf("afterwards: %v, end %d", err, batch.End)
			}
		})
	}
}

// Guards against a restored log that clients can't tell from the one before.
func TestRestoreStartsAnotherHistory(t *testing.T) {
	s, _, l := start(t)
	for _, data := range []string{"a", "b"} {
		if _, err := l.Append(t.Context(), "config", []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	before, err := l.Read(t.Context(), "config", 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore("config", 1)
	after, err := l.Read(t.Context(), "config", 0, 10)
	if err != nil || before.History == 0 || after.History <= before.History || after.End != 1 {
		t.Errorf("history %d, then %d with end %d, error %v", before.History, after.History, after.End, err)
	}
}

// Guards against a limit on appends that is not enforced.
func TestAppendLimit(t *testing.T) {
	s, l, _ := start(t)
	s.SetFaults(platformlog.Faults{AppendsPerSecond: 1})
	rejected := 0
	for range 10 {
		if _, err := l.Append(t.Context(), "config", []byte("a")); errors.Is(err, configlog.ErrUnavailable) {
			rejected++
		}
	}
	if rejected < 5 {
		t.Errorf("%d of 10 appends rejected", rejected)
	}
}

// Guards against an append that certainly failed (connection refused) being
// reported as unknown.
func TestNoServerIsUnavailable(t *testing.T) {
	l := httplog.New(&url.URL{Scheme: "http", Host: "127.0.11.1:1"}, time.Second)
	if _, err := l.Append(t.Context(), "config", nil); !errors.Is(err, configlog.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

// start returns a stand-in, a client with a short time limit and one with a long one.
func start(t *testing.T) (s *platformlog.Server, impatient, patient *httplog.Client) {
	t.Helper()
	s = platformlog.New(time.Hour)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	u, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	return s, httplog.New(u, 200*time.Millisecond), httplog.New(u, 10*time.Second)
}

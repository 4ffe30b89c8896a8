package logview

import (
	"strings"
	"testing"
	"time"
)

const sampleLogs = `
a {"fields":{"event":1401,"service":"s","status":200},"timestamp":"2026-04-01T06:00:01Z","message":"request answered"}
a {"fields":{"event":1401,"service":"s","status":500},"timestamp":"2026-04-01T06:00:01Z","message":"request answered"}
b {"fields":{"event":1402,"service":"s","status":503},"timestamp":"2026-04-01T06:00:01Z","message":"request refused or failed"}
b {"fields":{"event":1402,"service":"t","status":502},"timestamp":"2026-04-01T06:00:01Z","message":"request refused or failed"}
b {"fields":{"event":1403,"status":404},"timestamp":"2026-04-01T06:00:03Z","message":"request rejected"}
b {"fields":{"event":1404},"timestamp":"2026-04-01T06:00:03Z","message":"answer not delivered"}
faults {"fields":{"event":1901,"fault":"kill","vm":"vm1","lasted_ms":2000},"timestamp":"2026-04-01T06:00:03.5Z","message":"fault injected"}
b {"fields":{"event":1206},"timestamp":"2026-04-01T06:00:03.5Z","message":"member or its upstream changed state"}
a {"fields":{"event":1206},"timestamp":"2026-04-01T06:00:03.6Z","message":"member or its upstream changed state"}
not a log line
`

func TestTimelineCountsByWindowAndService(t *testing.T) {
	tl := NewTimeline(2 * time.Second)
	if err := tl.Read(strings.NewReader(sampleLogs), "file"); err != nil {
		t.Fatal(err)
	}
	windows := tl.Windows()
	if len(windows) != 2 || tl.Skipped() != 2 {
		t.Fatalf("%d windows, %d lines skipped", len(windows), tl.Skipped())
	}
	first, second := windows[0], windows[1]
	if got, want := first.Services["s"], (Counts{Answered: 1, Errors: 1, Refused: 1}); got != want {
		t.Errorf("first window, s: %+v, want %+v", got, want)
	}
	if got, want := first.Total(), (Counts{Answered: 1, Errors: 1, Refused: 1, Failed: 1}); got != want {
		t.Errorf("first window: %+v, want %+v", got, want)
	}
	if got, want := second.Total(), (Counts{Rejected: 1}); got != want {
		t.Errorf("second window: %+v, want %+v", got, want)
	}
	// The fault lasted from the first window into the second.
	if first.Faults != 1 || second.Faults != 1 || second.Describe() != "2 member or its upstream changed state, 1 fault kill vm1" {
		t.Errorf("noted: %s", second.Describe())
	}
}

package logview

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// maxFaultDuration bounds the number of windows that one line may create.
const maxFaultDuration = time.Hour

// Counts holds the number of requests by outcome.
type Counts struct {
	// Answered counts upstream responses with a status below 500, Errors those with a
	// status of 500 or more.
	Answered, Errors int
	// Refused requests did not run at an upstream. Failed requests may have run.
	Refused, Failed int
	// Rejected requests were not sent to any upstream.
	Rejected int
}

// Window holds the requests and events of one interval of the timeline.
type Window struct {
	Start time.Time
	// Services holds the counts by service. Rejected requests have no service and are
	// counted under "".
	Services map[string]Counts
	// Noted counts the other events by message: state changes and faults.
	Noted map[string]int
	// Faults is the number of injected faults that overlap the window.
	Faults int
}

// Total returns the sum of the counts of all services.
func (w Window) Total() Counts {
	var t Counts
	for _, c := range w.Services {
		t.Answered += c.Answered
		t.Errors += c.Errors
		t.Refused += c.Refused
		t.Failed += c.Failed
		t.Rejected += c.Rejected
	}
	return t
}

// Timeline collects the events of logs in windows of equal length.
type Timeline struct {
	windowLength time.Duration
	windows      map[int64]*Window
	skipped      int
}

// NewTimeline returns an empty timeline with windows of the given length.
func NewTimeline(length time.Duration) *Timeline {
	return &Timeline{windowLength: length, windows: map[int64]*Window{}}
}

// Read reads the log of a process, as Reader.Read does.
func (t *Timeline) Read(log io.Reader, process string) error {
	skipped, err := scan(log, process, t.add)
	t.skipped += skipped
	return err
}

// Skipped returns the number of lines that are not structured log lines.
func (t *Timeline) Skipped() int { return t.skipped }

// window returns the window that contains the moment. It creates missing windows.
func (t *Timeline) window(moment time.Time) *Window {
	start := moment.Truncate(t.windowLength)
	w := t.windows[start.UnixNano()]
	if w == nil {
		w = &Window{Start: start, Services: map[string]Counts{}, Noted: map[string]int{}}
		t.windows[start.UnixNano()] = w
	}
	return w
}

// addFault counts a fault in each window that it overlaps. The fault's line is logged at
// its end.
func (t *Timeline) addFault(l Line) {
	lastedMS, _ := l.Fields["lasted_ms"].(float64)
	began := l.Time.Add(-min(time.Duration(lastedMS*float64(time.Millisecond)), maxFaultDuration))
	for at := began.Truncate(t.windowLength); !at.After(l.Time); at = at.Add(t.windowLength) {
		w := t.window(at)
		w.Faults++
		w.Noted[strings.TrimSpace("fault "+l.stringField("fault")+" "+l.stringField("vm"))]++
	}
}

func (t *Timeline) add(l Line) {
	if l.Event() == event.FaultInjected.ID {
		t.addFault(l)
		return
	}
	w := t.window(l.Time)
	if !isRequestEvent(l.Event()) {
		w.Noted[l.Message]++
		return
	}
	c := w.Services[l.stringField("service")]
	status, _ := l.Fields["status"].(float64)
	switch {
	case l.Event() == event.RequestRejected.ID:
		c.Rejected++
	case l.Event() == event.AnswerNotDelivered.ID:
		return
	case l.Event() == event.RequestEnded.ID && status >= 500:
		c.Errors++
	case l.Event() == event.RequestEnded.ID:
		c.Answered++
	case status == 503:
		c.Refused++
	default:
		c.Failed++
	}
	w.Services[l.stringField("service")] = c
}

// Windows returns the windows in order of time. Windows without events are left out.
func (t *Timeline) Windows() []Window {
	var list []Window
	for _, start := range slices.Sorted(maps.Keys(t.windows)) {
		list = append(list, *t.windows[start])
	}
	return list
}

// Describe lists the messages in Noted with their counts, most frequent first.
func (w Window) Describe() string {
	messages := slices.SortedFunc(maps.Keys(w.Noted), func(a, b string) int {
		if n := w.Noted[b] - w.Noted[a]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, m := range messages {
		parts = append(parts, fmt.Sprintf("%d %s", w.Noted[m], m))
	}
	return strings.Join(parts, ", ")
}

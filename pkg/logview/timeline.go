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

// longestFault bounds the windows that one line may fill.
const longestFault = time.Hour

// Counts tells how requests ended.
type Counts struct {
	// Answered requests got an upstream's answer, Errors one with a status of 500 or more.
	Answered, Errors int
	// Refused requests have not run, Failed ones may have.
	Refused, Failed int
	// Rejected requests were not sent anywhere.
	Rejected int
}

// Window is what happened in a part of the time.
type Window struct {
	Start time.Time
	// Services holds the counts by service; that of rejected requests is empty.
	Services map[string]Counts
	// Noted counts the other events by their message: changes of belief and faults.
	Noted map[string]int
	// Faults is the number of injected faults that touch the window.
	Faults int
}

// Total returns the counts of all services.
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

// Timeline collects windows of a length.
type Timeline struct {
	length  time.Duration
	windows map[int64]*Window
	unread  int
}

// NewTimeline returns an empty timeline.
func NewTimeline(length time.Duration) *Timeline {
	return &Timeline{length: length, windows: map[int64]*Window{}}
}

// Read takes the log of a process, as Reader.Read does.
func (t *Timeline) Read(log io.Reader, process string) error {
	unread, err := scan(log, process, t.add)
	t.unread += unread
	return err
}

// Unread returns the number of lines that were no structured log lines.
func (t *Timeline) Unread() int { return t.unread }

// at returns the window of the time.
func (t *Timeline) at(moment time.Time) *Window {
	start := moment.Truncate(t.length)
	w := t.windows[start.UnixNano()]
	if w == nil {
		w = &Window{Start: start, Services: map[string]Counts{}, Noted: map[string]int{}}
		t.windows[start.UnixNano()] = w
	}
	return w
}

// noteFault notes a fault, whose line comes at its end, in each window that it touches.
func (t *Timeline) noteFault(l Line) {
	lasted, _ := l.Fields["lasted_ms"].(float64)
	began := l.Time.Add(-min(time.Duration(lasted*float64(time.Millisecond)), longestFault))
	for at := began.Truncate(t.length); !at.After(l.Time); at = at.Add(t.length) {
		w := t.at(at)
		w.Faults++
		w.Noted[strings.TrimSpace("fault "+l.text("fault")+" "+l.text("vm"))]++
	}
}

func (t *Timeline) add(l Line) {
	if l.Event() == event.FaultInjected.ID {
		t.noteFault(l)
		return
	}
	w := t.at(l.Time)
	if !ofRequest(l.Event()) {
		w.Noted[l.Message]++
		return
	}
	c := w.Services[l.text("service")]
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
	w.Services[l.text("service")] = c
}

// Windows returns the windows in the order of time. Those without a line are left out.
func (t *Timeline) Windows() []Window {
	var list []Window
	for _, start := range slices.Sorted(maps.Keys(t.windows)) {
		list = append(list, *t.windows[start])
	}
	return list
}

// Describe lists what was noted in a window, the most frequent first.
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

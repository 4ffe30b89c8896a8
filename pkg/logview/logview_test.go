package logview

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Lines of several nodes as a log collector writes them, out of order.
const collected = `
  20.300 node-b {"fields":{"event":1401,"id":"r1.c1","path":"10.0.0.3:1 cost=5ms","took_ms":20},"level":"info","timestamp":"2026-04-01T06:00:20.300Z","message":"request answered"}
   1.000 node-a {"fields":{"event":1001,"peer":"10.0.0.1:1"},"level":"info","timestamp":"2026-04-01T06:00:01Z","message":"node starting"}
   1.000 node-b {"fields":{"event":1001,"peer":"10.0.0.2:1"},"level":"info","timestamp":"2026-04-01T06:00:01Z","message":"node starting"}
   1.000 node-c {"fields":{"event":1001,"peer":"10.0.0.3:1"},"level":"info","timestamp":"2026-04-01T06:00:01Z","message":"node starting"}
   1.000 node-d {"fields":{"event":1001,"peer":"10.0.0.4:1"},"level":"info","timestamp":"2026-04-01T06:00:01Z","message":"node starting"}
  20.100 node-b {"fields":{"event":1308,"upstream":"u2"},"level":"warn","timestamp":"2026-04-01T06:00:20.100Z","message":"upstream takes no connections"}
  20.100 node-d {"fields":{"event":1308,"upstream":"u4"},"level":"warn","timestamp":"2026-04-01T06:00:20.100Z","message":"upstream takes no connections"}
  10.000 node-c {"fields":{"event":1302,"upstream":"u3"},"level":"info","timestamp":"2026-04-01T06:00:10Z","message":"upstream ready"}
  20.400 node-a {"fields":{"event":1402,"id":"r1","path":"10.0.0.2:1 cost=9ms failed:answer-lost","took_ms":300},"level":"warn","timestamp":"2026-04-01T06:00:20.400Z","message":"request refused or failed"}
  20.400 node-a {"fields":{"event":1402,"id":"r10","path":"10.0.0.4:1","took_ms":300},"level":"warn","timestamp":"2026-04-01T06:00:20.400Z","message":"request refused or failed"}
a line of something else
`

// summarize lists the process and event number of each line.
func summarize(lines []Line) string {
	var out []string
	for _, l := range lines {
		out = append(out, fmt.Sprint(l.Process, " ", l.Event()))
	}
	return strings.Join(out, ", ")
}

func TestTraceOfRequest(t *testing.T) {
	r := NewReader("r1")
	if err := r.Read(strings.NewReader(collected), "file"); err != nil {
		t.Fatal(err)
	}
	trace, err := r.Trace()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := summarize(trace.Request), "node-b 1401, node-a 1402"; got != want {
		t.Errorf("request: %s, want %s", got, want)
	}
	// The event at node-d, which did not receive the request, and the start of an upstream
	// 10 s earlier are excluded.
	if got, want := summarize(trace.NodeEvents), "node-b 1308"; got != want {
		t.Errorf("node events: %s, want %s", got, want)
	}
	// The first line is empty and the last one is not structured.
	if trace.Skipped != 2 {
		t.Errorf("%d lines skipped, want 2", trace.Skipped)
	}
}

func TestTraceOfUnknownRequest(t *testing.T) {
	r := NewReader("r")
	if err := r.Read(strings.NewReader(collected), "file"); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Trace(); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestAttemptsSplitsPath(t *testing.T) {
	l := Line{Fields: map[string]any{"path": "10.0.0.2:1 cost=9ms free=-1 refused:busy 10.0.0.3:1 cost=12ms answered"}}
	if got := strings.Join(l.Attempts(), "|"); got != "10.0.0.2:1 cost=9ms free=-1 refused:busy|10.0.0.3:1 cost=12ms answered" {
		t.Errorf("got %s", got)
	}
}

// Guards against a Reader that does not understand the format of event.Logger.
func TestReadLinesOfLogger(t *testing.T) {
	var b bytes.Buffer
	event.NewLogger(&b, event.FormatJSON, log.InfoLevel).Emit(event.RequestFailed, event.Fields{"id": "r1", "took_ms": 3})
	r := NewReader("r1")
	if err := r.Read(&b, "node-a"); err != nil {
		t.Fatal(err)
	}
	trace, err := r.Trace()
	if err != nil || summarize(trace.Request) != "node-a 1402" || trace.Request[0].Message != event.RequestFailed.Message {
		t.Errorf("%+v, %v", trace, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(collected)
	f.Fuzz(func(t *testing.T, log string) {
		r := NewReader("r1")
		if err := r.Read(strings.NewReader(log), "file"); err != nil {
			return
		}
		if trace, err := r.Trace(); err == nil && len(trace.Request) == 0 {
			t.Error("a trace without a line")
		}
	})
}

// Package logview reads the structured logs of several processes. A Reader collects the
// lines about one request: its own lines, those of the calls made for it, and the state
// changes that the involved nodes logged at that time. A Timeline counts outcomes of
// requests over time, together with injected faults and state changes.
package logview

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// ErrNotFound is returned if no line names the request.
var ErrNotFound = errors.New("no line names the request")

const (
	// lookBack extends a trace to node events before the request. An event can affect a
	// later request, because a node receives statuses only once per second from nodes that
	// it does not subscribe to.
	lookBack = 2 * time.Second
	// lookAhead extends a trace to node events after the request, such as the detection of
	// a down upstream by the request itself.
	lookAhead = 500 * time.Millisecond
	// maxLineBytes bounds one line. A longer line is an error.
	maxLineBytes = 1 << 20
)

// addressPattern matches an IP:port in the path field of a request's line.
var addressPattern = regexp.MustCompile(`(\d+(\.\d+){3}|\[[0-9a-fA-F:]+\]):\d+`)

// Line is one line of a log.
type Line struct {
	Process string         `json:"process"`
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Event returns the event number of the line, or 0.
func (l Line) Event() int {
	n, _ := l.Fields["event"].(float64)
	return int(n)
}

// stringField returns the value of a string field, or "".
func (l Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Attempts returns the part of the path field for each attempt of the request, in order.
func (l Line) Attempts() []string {
	path := l.stringField("path")
	var attempts []string
	starts := addressPattern.FindAllStringIndex(path, -1)
	for i, at := range starts {
		end := len(path)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		attempts = append(attempts, strings.TrimSpace(path[at[0]:end]))
	}
	return attempts
}

// Trace holds the log lines about one request.
type Trace struct {
	// Request holds the lines of the request and of the calls made for it.
	Request []Line `json:"request"`
	// NodeEvents holds other events that the involved nodes logged around the request.
	NodeEvents []Line `json:"around"`
	// Skipped is the number of lines that are not structured log lines.
	Skipped int `json:"unread"`
}

// Reader collects the lines about one request and the events of all nodes.
type Reader struct {
	id string
	// peers maps the peer address of a node to its process.
	peers      map[string]string
	request    []Line
	nodeEvents []Line
	skipped    int
}

// NewReader returns a reader for the request with the ID.
func NewReader(id string) *Reader { return &Reader{id: id, peers: map[string]string{}} }

// Read reads the log of a process.
func (r *Reader) Read(log io.Reader, process string) error {
	skipped, err := scan(log, process, r.add)
	r.skipped += skipped
	return err
}

// scan calls each for every structured line and returns the number of other lines. A
// line may have a prefix that ends with the name of its process, as log collectors write
// it. A line without a prefix belongs to the named process.
func scan(log io.Reader, process string, each func(Line)) (skipped int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := parseLine(lines.Text(), process); ok {
			each(l)
			continue
		}
		skipped++
	}
	if err := lines.Err(); err != nil {
		return skipped, fmt.Errorf("log of %s: %w", process, err)
	}
	return skipped, nil
}

func parseLine(text, process string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Process: process}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		l.Process = prefix[len(prefix)-1]
	}
	if err := json.Unmarshal([]byte(text[start:]), &l); err != nil || l.Event() == 0 {
		return Line{}, false
	}
	return l, true
}

func (r *Reader) add(l Line) {
	if l.Event() == event.NodeStarting.ID {
		r.peers[l.stringField("peer")] = l.Process
	}
	switch {
	case r.matchesID(l.stringField("id")):
		r.request = append(r.request, l)
	case !isRequestEvent(l.Event()):
		r.nodeEvents = append(r.nodeEvents, l)
	}
}

// matchesID reports whether the ID belongs to the request or to a call made for it.
func (r *Reader) matchesID(id string) bool { return id == r.id || strings.HasPrefix(id, r.id+".") }

// isRequestEvent reports whether the event concerns a single request.
func isRequestEvent(number int) bool {
	return number >= event.RequestEnded.ID && number <= event.AnswerNotDelivered.ID
}

// Trace returns the collected lines in order of time. It returns ErrNotFound if no line
// names the request.
func (r *Reader) Trace() (Trace, error) {
	if len(r.request) == 0 {
		return Trace{Skipped: r.skipped}, fmt.Errorf("%w: %s", ErrNotFound, r.id)
	}
	sortByTime(r.request)
	involved := r.involvedProcesses()
	from, to := r.requestStart().Add(-lookBack), r.request[len(r.request)-1].Time.Add(lookAhead)
	trace := Trace{Request: r.request, Skipped: r.skipped}
	for _, l := range r.nodeEvents {
		if involved[l.Process] && !l.Time.Before(from) && !l.Time.After(to) {
			trace.NodeEvents = append(trace.NodeEvents, l)
		}
	}
	sortByTime(trace.NodeEvents)
	return trace, nil
}

// requestStart returns the earliest arrival time of the request and its calls.
func (r *Reader) requestStart() time.Time {
	first := r.request[0].Time
	for _, l := range r.request {
		tookMS, _ := l.Fields["took_ms"].(float64)
		if at := l.Time.Add(-time.Duration(tookMS * float64(time.Millisecond))); at.Before(first) {
			first = at
		}
	}
	return first
}

// involvedProcesses returns the processes that received the request or an attempt of it.
func (r *Reader) involvedProcesses() map[string]bool {
	involved := map[string]bool{}
	for _, l := range r.request {
		involved[l.Process] = true
		for _, a := range addressPattern.FindAllString(l.stringField("path"), -1) {
			if p, ok := r.peers[a]; ok {
				involved[p] = true
			}
		}
	}
	return involved
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

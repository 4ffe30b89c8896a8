// Package logview reads the structured logs of several processes. A Reader picks what
// they tell about one request: its own lines, those of the calls made for it, and what
// the nodes that it met believed at that time. A Timeline counts how requests ended
// over time, beside the faults and changes that were noted.
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
	// before is how long before the request a change of belief counts: statuses of
	// nodes that are not followed are told each second.
	before = 2 * time.Second
	// after is how long after it one counts, such as an upstream that is found down by
	// the request itself.
	after = 500 * time.Millisecond
	// longestLine bounds one line; longer ones are an error.
	longestLine = 1 << 20
)

// address matches IP:port as it stands in the path of a request's line.
var address = regexp.MustCompile(`(\d+(\.\d+){3}|\[[0-9a-fA-F:]+\]):\d+`)

// Line is one line of a log.
type Line struct {
	Process string         `json:"process"`
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Event returns the number of the line's event, or 0.
func (l Line) Event() int {
	n, _ := l.Fields["event"].(float64)
	return int(n)
}

// text returns a field that holds text, or "".
func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Tried returns what the line tells of each node that was asked to run the request, in
// order.
func (l Line) Tried() []string {
	path := l.text("path")
	var tried []string
	starts := address.FindAllStringIndex(path, -1)
	for i, at := range starts {
		end := len(path)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		tried = append(tried, strings.TrimSpace(path[at[0]:end]))
	}
	return tried
}

// Story is what the logs tell about one request.
type Story struct {
	// Request holds the lines of the request and of the calls made for it.
	Request []Line `json:"request"`
	// Around holds what the nodes that it met believed or learned then.
	Around []Line `json:"around"`
	// Unread is the number of lines that were no structured log lines.
	Unread int `json:"unread"`
}

// Reader collects the lines that may matter for one request.
type Reader struct {
	id string
	// peers maps the address of a node to its process.
	peers   map[string]string
	request []Line
	beliefs []Line
	unread  int
}

// NewReader returns a reader for the request with the id.
func NewReader(id string) *Reader { return &Reader{id: id, peers: map[string]string{}} }

// Read takes the log of a process.
func (r *Reader) Read(log io.Reader, process string) error {
	unread, err := scan(log, process, r.add)
	r.unread += unread
	return err
}

// scan calls each for every structured line and returns the number of other lines.
// Lines may have a prefix that ends with the name of their process, as collectors of
// logs write it; others are of the named process.
func scan(log io.Reader, process string, each func(Line)) (unread int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if l, ok := parse(lines.Text(), process); ok {
			each(l)
			continue
		}
		unread++
	}
	if err := lines.Err(); err != nil {
		return unread, fmt.Errorf("log of %s: %w", process, err)
	}
	return unread, nil
}

func parse(text, process string) (Line, bool) {
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
		r.peers[l.text("peer")] = l.Process
	}
	switch {
	case r.names(l.text("id")):
		r.request = append(r.request, l)
	case !ofRequest(l.Event()):
		r.beliefs = append(r.beliefs, l)
	}
}

// names reports whether the id is that of the request or of a call made for it.
func (r *Reader) names(id string) bool { return id == r.id || strings.HasPrefix(id, r.id+".") }

// ofRequest reports whether the event is one of a single request.
func ofRequest(number int) bool {
	return number >= event.RequestEnded.ID && number <= event.AnswerNotDelivered.ID
}

// Story returns what was read, in the order of time. It returns ErrNotFound if no line
// names the request.
func (r *Reader) Story() (Story, error) {
	if len(r.request) == 0 {
		return Story{Unread: r.unread}, fmt.Errorf("%w: %s", ErrNotFound, r.id)
	}
	byTime(r.request)
	met := r.met()
	from, to := r.began().Add(-before), r.request[len(r.request)-1].Time.Add(after)
	s := Story{Request: r.request, Unread: r.unread}
	for _, l := range r.beliefs {
		if met[l.Process] && !l.Time.Before(from) && !l.Time.After(to) {
			s.Around = append(s.Around, l)
		}
	}
	byTime(s.Around)
	return s, nil
}

// began returns when the first of the lines' requests arrived.
func (r *Reader) began() time.Time {
	first := r.request[0].Time
	for _, l := range r.request {
		took, _ := l.Fields["took_ms"].(float64)
		if at := l.Time.Add(-time.Duration(took * float64(time.Millisecond))); at.Before(first) {
			first = at
		}
	}
	return first
}

// met returns the processes that took the request or were asked to run it.
func (r *Reader) met() map[string]bool {
	met := map[string]bool{}
	for _, l := range r.request {
		met[l.Process] = true
		for _, a := range address.FindAllString(l.text("path"), -1) {
			if p, ok := r.peers[a]; ok {
				met[p] = true
			}
		}
	}
	return met
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

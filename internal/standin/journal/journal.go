// Package journal writes each execution of an upstream stand-in to a file. An entry
// is written before the execution starts, so that it survives a killed process.
package journal

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// HeaderOperation is the request header that identifies the caller's operation.
const HeaderOperation = "X-Operation"

// Entry records the start of one execution.
type Entry struct {
	RequestID   string `json:"request_id"`
	Operation   string `json:"operation"`
	StartUnixUs int64  `json:"start_unix_us"`
}

// Start returns the time at which the execution started.
func (e Entry) Start() time.Time { return time.UnixMicro(e.StartUnixUs) }

// Writer appends entries to a file. It is safe for concurrent use: each entry is
// one write in append mode.
type Writer struct {
	file *os.File
}

const fileMode = 0o644

// Open opens a journal for appending and creates it if it does not exist.
func Open(path string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &Writer{file: f}, nil
}

// Add records that a request is about to be executed.
func (w *Writer) Add(r *http.Request) error {
	line, err := json.Marshal(Entry{
		RequestID: r.Header.Get(outcome.HeaderRequestID), Operation: r.Header.Get(HeaderOperation),
		StartUnixUs: time.Now().UnixMicro(),
	})
	if err != nil {
		return fmt.Errorf("journal: encode entry: %w", err)
	}
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Read returns all entries of a journal, or none if the file does not exist.
func Read(path string) ([]Entry, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	var out []Entry
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var e Entry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("journal %s: parse entry: %w", path, err)
		}
		out = append(out, e)
	}
	return out, lines.Err()
}

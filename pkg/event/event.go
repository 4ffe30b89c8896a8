// Package event writes numbered log events through apex/log. docs/events.md lists the
// same events; a test checks that both agree.
package event

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Event is one kind of log line.
type Event struct {
	// ID is the event's number. Its meaning never changes.
	ID int
	// Level is the severity of the log line.
	Level log.Level
	// Message is the constant text of the line.
	Message string
}

// Fields are the variable parts of a log line.
type Fields = log.Fields

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	entry *log.Entry
}

// Format selects how log lines are encoded.
type Format string

// Encodings of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// NewLogger returns a logger that writes events with at least the given level to w.
func NewLogger(w io.Writer, format Format, level log.Level) *Logger {
	var handler log.Handler = logfmt.New(w)
	if format == FormatJSON {
		handler = json.New(w)
	}
	l := &log.Logger{Handler: handler, Level: level}
	return &Logger{entry: log.NewEntry(l)}
}

// Discard returns a logger that drops all events.
func Discard() *Logger {
	return NewLogger(io.Discard, FormatText, log.FatalLevel)
}

// With returns a logger that adds the fields to every event.
func (l *Logger) With(f Fields) *Logger {
	return &Logger{entry: l.entry.WithFields(f)}
}

// Emit writes one event.
func (l *Logger) Emit(e Event, f Fields) {
	entry := l.entry.WithField("event", e.ID)
	if len(f) > 0 {
		entry = entry.WithFields(f)
	}
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Message)
	case log.WarnLevel:
		entry.Warn(e.Message)
	case log.ErrorLevel:
		entry.Error(e.Message)
	default:
		entry.Info(e.Message)
	}
}

// Package configlog keeps the configuration on the platform's append-only log.
//
// All nodes apply the same records in offset order and so reach the same state;
// there is no leader. The package defines the port to the log; adapters are
// subpackages.
package configlog

import (
	"context"
	"errors"
	"fmt"
)

// Streams of the log that the system uses.
const (
	StreamConfig  = "config"
	StreamMembers = "members"
)

// Errors of the log port. Adapters wrap them.
var (
	// ErrUnavailable means that the log did not take the call. An append was not done.
	ErrUnavailable = errors.New("platform log unavailable")
	// ErrUnknown means that an append may or may not have been done.
	ErrUnknown = errors.New("outcome of the append unknown")
)

// Entry is one record of a stream.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	// Earliest is the lowest offset that the log still keeps.
	Earliest uint64
	// End is the offset that the next append will get.
	End     uint64
	Entries []Entry
}

// Log is the port to the platform's log. Implementations are safe for
// concurrent use and bound each call by the context and a timeout of their own.
type Log interface {
	// Append adds a record and returns its offset. After ErrUnknown the caller
	// appends the same record id again; replay ignores duplicates.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from the offset on. A read past the end
	// returns no entries.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}

// AppendOutcome says what is known of a record whose append failed.
type AppendOutcome string

// Outcomes of an append.
const (
	// NotAppended means that the record is not on the log.
	NotAppended AppendOutcome = "not appended"
	// MaybeAppended means that the record may be on the log now or later.
	MaybeAppended AppendOutcome = "may have been appended"
	// Appended means that the record is on the log but could not be read back.
	Appended AppendOutcome = "appended, but not yet readable"
)

// AppendError is the failure of Keeper.Append.
type AppendError struct {
	RecordID string
	Outcome  AppendOutcome
	Err      error
}

// Error implements error.
func (e *AppendError) Error() string {
	return fmt.Sprintf("record %s %s: %v", e.RecordID, e.Outcome, e.Err)
}

// Unwrap returns the last error of the log.
func (e *AppendError) Unwrap() error { return e.Err }

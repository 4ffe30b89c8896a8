// Package configlog replicates the configuration through the platform's
// append-only log.
//
// All nodes apply the same records in offset order and so reach the same state;
// there is no leader. The Log interface is the port to the log; its adapters are
// in subpackages.
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
	// ErrUnavailable means that the log did not execute the call. An append had no effect.
	ErrUnavailable = errors.New("platform log unavailable")
	// ErrOutcomeUnknown means that an append may or may not have been executed.
	ErrOutcomeUnknown = errors.New("outcome of the append unknown")
)

// Entry is one record of a stream.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	// Earliest is the lowest offset that the log still retains.
	Earliest uint64
	// End is the offset of the next append.
	End     uint64
	Entries []Entry
	// History is the number of the log's history. It grows when the log is restored from an
	// earlier copy, because its offsets are then assigned again. 0 if the log has no such
	// number.
	History uint64
}

// Log is the port to the platform's log. Implementations are safe for
// concurrent use and limit each call by the context and by their own timeout.
type Log interface {
	// Append adds a record and returns its offset. After ErrOutcomeUnknown the caller
	// retries with the same record id; replay ignores duplicates.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records, starting at offset from. A read past the
	// end returns no entries.
	Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error)
}

// AppendOutcome states whether a record whose append failed may be on the log.
type AppendOutcome string

// Outcomes of an append.
const (
	// NotAppended means that the record is not on the log.
	NotAppended AppendOutcome = "not appended"
	// MaybeAppended means that the record may be on the log already or appear later.
	MaybeAppended AppendOutcome = "may have been appended"
	// Appended means that the record is on the log but could not be read back.
	Appended AppendOutcome = "appended, but not yet readable"
)

// AppendError is the error of Replica.Append.
type AppendError struct {
	RecordID string
	Outcome  AppendOutcome
	Err      error
}

func (e *AppendError) Error() string {
	return fmt.Sprintf("record %s %s: %v", e.RecordID, e.Outcome, e.Err)
}

// Unwrap returns the last error of the log.
func (e *AppendError) Unwrap() error { return e.Err }

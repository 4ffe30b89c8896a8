package configlog

import (
	"context"
	"errors"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Backoff between attempts to append or to read back the same record.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Append writes a record and waits until this node has applied it. It retries a
// failed append with the same id until the context ends; replay ignores
// duplicates. The error is an *AppendError, or a *RecordError or *StateError if the
// record is invalid.
//
// Replay detects duplicates among the last 1024 record ids only, so callers must
// not append the same record again after that many others.
func (r *Replica) Append(ctx context.Context, rec *pb.Record) error {
	data, err := EncodeRecord(rec)
	if err != nil {
		return err
	}
	if err := r.appendWithRetry(ctx, rec.Id, data); err != nil {
		return err
	}
	return r.awaitApplied(ctx, rec.Id)
}

func (r *Replica) appendWithRetry(ctx context.Context, id string, data []byte) error {
	outcome := NotAppended
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if ctx.Err() != nil {
			return &AppendError{RecordID: id, Outcome: outcome, Err: ctx.Err()}
		}
		_, err := r.log.Append(ctx, StreamConfig, data)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrUnavailable) {
			outcome = MaybeAppended
		}
		if outcome == MaybeAppended && r.Poll(ctx) == nil && r.applied(id) {
			return nil
		}
		if !sleep(ctx, withJitter(backoff)) {
			return &AppendError{RecordID: id, Outcome: outcome, Err: err}
		}
	}
}

// awaitApplied polls the log until the record is applied. The first reads may be
// served by a log replica that does not have it yet.
func (r *Replica) awaitApplied(ctx context.Context, id string) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := r.Poll(ctx)
		if r.applied(id) {
			return nil
		}
		if err == nil {
			err = errors.New("the log does not return the record")
		}
		if !sleep(ctx, withJitter(backoff)) {
			return &AppendError{RecordID: id, Outcome: Appended, Err: err}
		}
	}
}

func (r *Replica) applied(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replay.Applied(id)
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

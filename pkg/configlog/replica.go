package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// DefaultRetention is how long the platform's log is assumed to retain records
// unless the settings state another period.
const DefaultRetention = time.Hour

// Snapshot is the active configuration of a node. It is immutable.
type Snapshot struct {
	// Version is the active version. It is lower than State.Version if this node
	// cannot parse the intent of State.Version, and higher while the log has lost the
	// version by a restore from an earlier copy.
	Version uint64
	// Intent is the active intent, or nil before the first confirmed version.
	Intent *intent.Intent
	// State is the replayed state that the snapshot was made from.
	State *pb.ConfigState
	// Installed is when the version became active on this node.
	Installed time.Time

	// history is the number of the log's history that the version comes from, and yaml the
	// text of its intent.
	history uint64
	yaml    string
}

// Replica tails the log, replays its records and holds the active configuration. It
// is safe for concurrent use.
type Replica struct {
	log       Log
	events    *event.Logger
	retention time.Duration

	// pollLock is a mutex that a context can interrupt. It is held during a poll and
	// never acquired while mu is held.
	pollLock chan struct{}

	// mu guards the fields up to recent. It is not held during calls to the log.
	mu         sync.Mutex
	replay     *Replay
	checkpoint checkpointSchedule
	logErr     error
	// gap is set from a poll that fails with ErrGap until the gap is closed.
	gap bool
	// logReset is set while the log ends before the next offset to apply.
	logReset bool
	recent   recentRecords

	current atomic.Pointer[Snapshot]
}

// Option configures a Replica.
type Option func(*Replica)

// WithRetention sets how long the log retains records. The next checkpoint is due
// half of this period plus a jitter after the newest one.
func WithRetention(d time.Duration) Option {
	return func(r *Replica) { r.retention = d }
}

// NewReplica returns a Replica without a configuration.
func NewReplica(l Log, events *event.Logger, options ...Option) *Replica {
	r := &Replica{
		log: l, events: events, retention: DefaultRetention,
		pollLock: make(chan struct{}, 1), replay: NewReplay(nil),
	}
	for _, o := range options {
		o(r)
	}
	// The age of checkpoints found at the start is unknown, so the first one is due
	// after the jitter alone.
	r.checkpoint.due = time.Now().Add(r.checkpointJitter())
	r.current.Store(&Snapshot{State: &pb.ConfigState{}})
	return r
}

// Current returns the active configuration. It never blocks.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Run polls the log until the context ends and writes checkpoints when they are
// due. It calls interval before each wait.
func (r *Replica) Run(ctx context.Context, interval func() time.Duration) {
	for {
		if err := r.Poll(ctx); err == nil {
			r.maintainCheckpoint(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(withJitter(interval())):
		}
	}
}

// withJitter returns a duration between 3/4 and 5/4 of d, so that nodes started at
// the same time do not all read the log at the same time.
func withJitter(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d*3/4 + rand.N(d/2)
}

// readLimit is the maximum number of records per read.
const readLimit = 256

// Poll reads and applies all records up to the end of the log.
func (r *Replica) Poll(ctx context.Context) error {
	select {
	case r.pollLock <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("poll the log: %w", ctx.Err())
	}
	defer func() { <-r.pollLock }()
	for {
		done, err := r.pollOnce(ctx)
		if done || err != nil {
			return err
		}
	}
}

// pollOnce performs one read. It reports whether the poll is finished: the end of
// the log is reached or a gap cannot be closed.
func (r *Replica) pollOnce(ctx context.Context) (bool, error) {
	from := r.nextOffset()
	start := time.Now()
	batch, err := r.log.Read(ctx, StreamConfig, from, readLimit)
	r.recordLogResult(err)
	if err != nil {
		return false, err
	}
	if changed, err := r.observeHistory(from, batch); changed || err != nil {
		return false, err
	}
	if batch.Earliest > from {
		return r.recoverFromGap(ctx, batch)
	}
	if len(batch.Entries) > 0 {
		return false, r.apply(batch.Entries)
	}
	r.recordLogEnd(from, batch.End, start)
	return true, nil
}

func (r *Replica) nextOffset() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replay.state.NextOffset
}

// apply applies entries and installs the resulting state.
func (r *Replica) apply(entries []Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		before := r.replay.state.NextOffset
		err := r.replay.Apply(e.Offset, e.Data)
		if r.replay.state.NextOffset == before && err != nil {
			return fmt.Errorf("poll the log: %w", err)
		}
		if err != nil {
			r.events.Emit(event.RecordInvalid, event.Fields{"offset": e.Offset, "error": err.Error()})
		}
		if e.Offset >= before {
			r.recent.add(e)
		}
		if e.Offset >= before && isCheckpoint(e.Data) {
			r.checkpoint.observeCheckpoint(r.retention/2 + r.checkpointJitter())
		}
	}
	r.gap = false
	r.install()
	return nil
}

// LogError returns the error of the last read of the log, or nil.
func (r *Replica) LogError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logErr
}

func (r *Replica) recordLogResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.logErr == nil {
		r.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error()})
	}
	if err == nil && r.logErr != nil {
		r.events.Emit(event.LogReachable, nil)
	}
	r.logErr = err
}

// recordLogEnd records a read that reached the end of the log. If the log ends
// before the next offset to apply, a stale log replica responded or the log lost
// records: this is logged once and the state does not change.
func (r *Replica) recordLogEnd(from, end uint64, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reset := end < from
	if reset && !r.logReset {
		r.events.Emit(event.LogReset, event.Fields{"applied": from, "end": end})
	}
	r.logReset = reset
	if !reset {
		r.checkpoint.lastEndRead = start
	}
}

// install makes the replayed state current. The version never decreases. If the log was
// restored, a version with the number of the active one replaces it, because operators
// confirmed it later. The caller holds mu.
func (r *Replica) install() {
	old := r.Current()
	state := r.replay.State()
	restored := state.LogHistory != old.history
	if state.Version < old.Version && !restored {
		return
	}
	next := *old
	next.State = state
	switch {
	case state.Version > old.Version || state.Version == old.Version && restored && state.IntentYaml != old.yaml:
		r.installIntent(&next)
	case state.Version == old.Version:
		next.history = state.LogHistory
	}
	r.current.Store(&next)
}

// installIntent sets the snapshot's version and intent from its state. If the
// intent cannot be parsed, the previous version and intent remain active.
func (r *Replica) installIntent(next *Snapshot) {
	in, err := intent.Parse([]byte(next.State.IntentYaml))
	if err != nil {
		r.events.Emit(event.RecordInvalid, event.Fields{"version": next.State.Version, "error": err.Error()})
		return
	}
	next.Version, next.Intent, next.Installed = next.State.Version, in, time.Now()
	next.history, next.yaml = next.State.LogHistory, next.State.IntentYaml
	r.events.Emit(event.ConfigInstalled, event.Fields{"version": next.Version})
}

// MergeState replaces the state with a peer's encoded state if that has more records
// applied. If the peer's state is malformed or cannot come from the same log, it
// returns a *StateError and changes nothing.
func (r *Replica) MergeState(data []byte) error {
	if len(data) > maxStateBytes {
		return fmt.Errorf("merge snapshot of a peer: %w", stateErrorf("%d bytes, more than %d", len(data), maxStateBytes))
	}
	state := &pb.ConfigState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return fmt.Errorf("merge snapshot of a peer: %w", stateErrorf("%v", err))
	}
	if err := firstError(checkState(state), checkIntent(state)); err != nil {
		return fmt.Errorf("merge snapshot of a peer: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mergeOtherHistory(state) {
		return nil
	}
	if err := checkConsistent(r.replay.state, state); err != nil {
		return fmt.Errorf("merge snapshot of a peer: %w", err)
	}
	if state.NextOffset > r.replay.state.NextOffset {
		r.replay = NewReplay(state)
		r.recent = recentRecords{}
		r.gap = false
		r.install()
	}
	return nil
}

// RecordsFrom returns all records from the offset to the last one applied, or nil
// if any of them is no longer retained. A peer passes them to MergeRecords.
func (r *Replica) RecordsFrom(offset uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recent.from(offset, r.replay.state.NextOffset)
}

// NextOffset returns the offset of the next record to apply.
func (r *Replica) NextOffset() uint64 { return r.nextOffset() }

// MergeRecords applies records received from a peer. Records that are already
// applied are skipped. A gap is an error; records after it are not applied. Records of
// another history of the log are ignored: their offsets mean other records here.
func (r *Replica) MergeRecords(history uint64, entries []Entry) error {
	if !r.joinHistory(history) {
		return nil
	}
	if err := r.apply(entries); err != nil {
		return fmt.Errorf("merge records of a peer: %w", err)
	}
	return nil
}

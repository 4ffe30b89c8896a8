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
	// Version is the active version. State.Version is higher if this node cannot
	// parse the intent of that version.
	Version uint64
	// Intent is the active intent, or nil before the first confirmed version.
	Intent *intent.Intent
	// State is the replayed state that the snapshot was made from.
	State *pb.ConfigState
	// Installed is when the version became active on this node.
	Installed time.Time
}

// Keeper tails the log, replays its records and holds the active configuration. It
// is safe for concurrent use.
type Keeper struct {
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
	gap        bool
	logReset   bool
	recent     recentRecords

	current atomic.Pointer[Snapshot]
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithRetention sets how long the log retains records. A checkpoint is due when the
// newest one is older than half of this period plus a jitter.
func WithRetention(d time.Duration) Option {
	return func(k *Keeper) { k.retention = d }
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper(l Log, events *event.Logger, options ...Option) *Keeper {
	k := &Keeper{
		log: l, events: events, retention: DefaultRetention,
		pollLock: make(chan struct{}, 1), replay: NewReplay(nil),
	}
	for _, o := range options {
		o(k)
	}
	// The age of checkpoints found at the start is unknown, so the first one is due
	// after the jitter alone.
	k.checkpoint.due = time.Now().Add(k.checkpointJitter())
	k.current.Store(&Snapshot{State: &pb.ConfigState{}})
	return k
}

// Current returns the active configuration. It never blocks.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Run polls the log until the context ends and writes checkpoints when they are
// due. It calls interval before each wait.
func (k *Keeper) Run(ctx context.Context, interval func() time.Duration) {
	for {
		if err := k.Poll(ctx); err == nil {
			k.maintainCheckpoint(ctx)
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
func (k *Keeper) Poll(ctx context.Context) error {
	select {
	case k.pollLock <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("poll the log: %w", ctx.Err())
	}
	defer func() { <-k.pollLock }()
	for {
		done, err := k.pollOnce(ctx)
		if done || err != nil {
			return err
		}
	}
}

// pollOnce performs one read. It reports whether the poll is finished: the end of
// the log is reached or a gap cannot be closed.
func (k *Keeper) pollOnce(ctx context.Context) (bool, error) {
	from := k.nextOffset()
	start := time.Now()
	batch, err := k.log.Read(ctx, StreamConfig, from, readLimit)
	k.recordLogResult(err)
	if err != nil {
		return false, err
	}
	if batch.Earliest > from {
		return k.recoverFromGap(ctx, batch)
	}
	if len(batch.Entries) > 0 {
		return false, k.apply(batch.Entries)
	}
	k.recordLogEnd(from, batch.End, start)
	return true, nil
}

func (k *Keeper) nextOffset() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replay.state.NextOffset
}

// apply applies entries and installs the resulting state.
func (k *Keeper) apply(entries []Entry) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		before := k.replay.state.NextOffset
		err := k.replay.Apply(e.Offset, e.Data)
		if k.replay.state.NextOffset == before && err != nil {
			return fmt.Errorf("poll the log: %w", err)
		}
		if err != nil {
			k.events.Emit(event.RecordInvalid, event.Fields{"offset": e.Offset, "error": err.Error()})
		}
		if e.Offset >= before {
			k.recent.add(e)
		}
		if e.Offset >= before && isCheckpoint(e.Data) {
			k.checkpoint.observeCheckpoint(k.retention/2 + k.checkpointJitter())
		}
	}
	k.gap = false
	k.install()
	return nil
}

// LogError returns the error of the last read of the log, or nil.
func (k *Keeper) LogError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.logErr
}

func (k *Keeper) recordLogResult(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil && k.logErr == nil {
		k.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error()})
	}
	if err == nil && k.logErr != nil {
		k.events.Emit(event.LogReachable, nil)
	}
	k.logErr = err
}

// recordLogEnd records a read that reached the end of the log. If the log ends
// before the next offset to apply, a stale log replica responded or the log lost
// records: this is logged once and the state does not change.
func (k *Keeper) recordLogEnd(from, end uint64, start time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reset := end < from
	if reset && !k.logReset {
		k.events.Emit(event.LogReset, event.Fields{"applied": from, "end": end})
	}
	k.logReset = reset
	if !reset {
		k.checkpoint.lastEndRead = start
	}
}

// install makes the replayed state current. The version never decreases. The caller
// holds mu.
func (k *Keeper) install() {
	old := k.Current()
	state := k.replay.State()
	if state.Version < old.Version {
		return
	}
	next := &Snapshot{Version: old.Version, Intent: old.Intent, State: state, Installed: old.Installed}
	if state.Version > old.Version {
		k.installIntent(next)
	}
	k.current.Store(next)
}

// installIntent sets the snapshot's version and intent from its state. If the
// intent cannot be parsed, the previous version and intent remain active.
func (k *Keeper) installIntent(next *Snapshot) {
	in, err := intent.Parse([]byte(next.State.IntentYaml))
	if err != nil {
		k.events.Emit(event.RecordInvalid, event.Fields{"version": next.State.Version, "error": err.Error()})
		return
	}
	next.Version, next.Intent, next.Installed = next.State.Version, in, time.Now()
	k.events.Emit(event.ConfigInstalled, event.Fields{"version": next.Version})
}

// Merge replaces the state with a peer's encoded state if that has more records
// applied. If the peer's state is malformed or cannot come from the same log, Merge
// returns a *StateError and changes nothing.
func (k *Keeper) Merge(data []byte) error {
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
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := checkConsistent(k.replay.state, state); err != nil {
		return fmt.Errorf("merge snapshot of a peer: %w", err)
	}
	if state.NextOffset > k.replay.state.NextOffset {
		k.replay = NewReplay(state)
		k.recent = recentRecords{}
		k.gap = false
		k.install()
	}
	return nil
}

// RecordsFrom returns all records from the offset to the last one applied, or nil
// if any of them is no longer retained. A peer passes them to MergeRecords.
func (k *Keeper) RecordsFrom(offset uint64) []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.recent.from(offset, k.replay.state.NextOffset)
}

// NextOffset returns the offset of the next record to apply.
func (k *Keeper) NextOffset() uint64 { return k.nextOffset() }

// MergeRecords applies records received from a peer. Records that are already
// applied are skipped. A gap is an error; records after it are not applied.
func (k *Keeper) MergeRecords(entries []Entry) error {
	if err := k.apply(entries); err != nil {
		return fmt.Errorf("merge records of a peer: %w", err)
	}
	return nil
}

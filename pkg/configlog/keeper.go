package configlog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intent"
)

// Snapshot is the configuration in force at a node. It is immutable.
type Snapshot struct {
	Version uint64
	// Intent is nil before the first confirmed version.
	Intent *intent.Intent
	// State is the replayed state that the snapshot was made from.
	State *pb.ConfigState
	// Installed is when the node put the version in force.
	Installed time.Time
}

// Keeper follows the log and holds the configuration in force. It is safe for
// concurrent use.
type Keeper struct {
	log    Log
	events *event.Logger

	mu      sync.Mutex
	replay  *Replay
	lastErr error

	current atomic.Pointer[Snapshot]
}

// NewKeeper returns a keeper without configuration.
func NewKeeper(l Log, events *event.Logger) *Keeper {
	k := &Keeper{log: l, events: events, replay: NewReplay(nil)}
	k.current.Store(&Snapshot{State: &pb.ConfigState{}})
	return k
}

// Current returns the configuration in force. It never blocks.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Run polls the log until the context ends. The interval is asked for before each poll.
func (k *Keeper) Run(ctx context.Context, interval func() time.Duration) {
	for {
		_ = k.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval()):
		}
	}
}

// readLimit is the number of records asked for in one read.
const readLimit = 256

// Poll reads and applies all records up to the end of the log.
func (k *Keeper) Poll(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		batch, err := k.log.Read(ctx, StreamConfig, k.replay.state.NextOffset, readLimit)
		k.noteLog(err)
		if err != nil {
			return err
		}
		for _, e := range batch.Entries {
			if err := k.replay.Apply(e.Offset, e.Data); err != nil {
				k.events.Emit(event.RecordInvalid, event.Fields{"offset": e.Offset, "error": err.Error()})
			}
		}
		k.install()
		if len(batch.Entries) == 0 {
			return nil
		}
	}
}

// LogError returns the error of the last call to the log, or nil.
func (k *Keeper) LogError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastErr
}

func (k *Keeper) noteLog(err error) {
	if err != nil && k.lastErr == nil {
		k.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error()})
	}
	if err == nil && k.lastErr != nil {
		k.events.Emit(event.LogReachable, nil)
	}
	k.lastErr = err
}

// install puts the replayed state in force. The version never goes down.
func (k *Keeper) install() {
	old := k.Current()
	state := k.replay.State()
	if state.Version < old.Version {
		return
	}
	next := &Snapshot{Version: state.Version, Intent: old.Intent, State: state, Installed: old.Installed}
	if state.Version > old.Version {
		in, err := intent.Parse([]byte(state.IntentYaml))
		if err != nil {
			k.events.Emit(event.RecordInvalid, event.Fields{"version": state.Version, "error": err.Error()})
			return
		}
		next.Intent = in
		next.Installed = time.Now()
		k.events.Emit(event.ConfigInstalled, event.Fields{"version": state.Version})
	}
	k.current.Store(next)
}

// Merge adopts a peer's state if its version is higher than the one in force.
func (k *Keeper) Merge(data []byte) error {
	var state pb.ConfigState
	if err := proto.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("snapshot of a peer: %w", err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if state.NextOffset <= k.replay.state.NextOffset {
		return nil
	}
	k.replay = NewReplay(&state)
	k.install()
	return nil
}

// Append writes a record and waits until it is applied here. Appends whose
// outcome is unknown are repeated with the same id until the context ends.
func (k *Keeper) Append(ctx context.Context, rec *pb.Record) error {
	data, err := proto.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	for {
		_, err = k.log.Append(ctx, StreamConfig, data)
		if err == nil {
			return k.Poll(ctx)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

package configlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// checkpointSchedule computes when the next checkpoint is due, by the clock of this
// node. It never compares record times, because the clocks of nodes may differ.
type checkpointSchedule struct {
	due time.Time
	// lastEndRead is when the last read that reached the end of the log began.
	lastEndRead time.Time
}

// observeCheckpoint postpones the due time after a checkpoint was read from the
// log. The checkpoint is younger than the last read that reached the end of the
// log. Before the first such read its age is unknown, and the due time does not
// change.
func (c *checkpointSchedule) observeCheckpoint(wait time.Duration) {
	if !c.lastEndRead.IsZero() {
		c.due = c.lastEndRead.Add(wait)
	}
}

// checkpointJitter returns up to a quarter of the retention period. A checkpoint is
// due after half of the period plus this jitter, which leaves a quarter to retry a
// failed append.
func (k *Keeper) checkpointJitter() time.Duration {
	return rand.N(max(1, k.retention/4))
}

// checkpointTimeout limits the append of a checkpoint, including retries.
const checkpointTimeout = 10 * time.Second

// maintainCheckpoint writes a checkpoint if one is due. It first polls to the end of
// the log: nodes of a large fleet poll rarely, and another node may have written a
// checkpoint since the last poll.
func (k *Keeper) maintainCheckpoint(ctx context.Context) {
	if !k.checkpointDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if err := k.Poll(ctx); err != nil || !k.checkpointDue() {
		return
	}
	rec := &pb.Record{Id: uuid.NewString(), Body: &pb.Record_Checkpoint{
		Checkpoint: &pb.Checkpoint{State: k.state()},
	}}
	if err := k.Append(ctx, rec); err != nil {
		k.events.Emit(event.CheckpointFailed, event.Fields{"error": err.Error()})
	}
}

func (k *Keeper) state() *pb.ConfigState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replay.State()
}

// checkpointDue reports whether this node should write a checkpoint now. A node
// that has a gap or reads from a stale log replica does not have the state at the
// end of the log, so it writes none.
func (k *Keeper) checkpointDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gap || k.logReset || k.replay.state.NextOffset == 0 {
		return false
	}
	return !time.Now().Before(k.checkpoint.due)
}

func isCheckpoint(data []byte) bool {
	rec, err := DecodeRecord(data)
	return err == nil && rec.GetCheckpoint() != nil
}

// ErrGap means that the log no longer retains the next record and holds no usable
// checkpoint. The state does not change until a checkpoint or a peer's snapshot
// covers the gap.
var ErrGap = errors.New("the log no longer keeps the next record")

// recoverFromGap restarts the replay from the newest usable checkpoint on the log.
// It reports whether the poll is finished.
func (k *Keeper) recoverFromGap(ctx context.Context, first Batch) (bool, error) {
	state, err := k.findCheckpoint(ctx, first.Earliest)
	if err != nil {
		return false, err
	}
	if k.restartFrom(state, first.Earliest) {
		return false, nil
	}
	return true, ErrGap
}

// restartFrom restarts the replay from a checkpoint, which may be nil. It reports
// whether the replay is past the gap. A snapshot from a peer may have closed the
// gap in the meantime.
func (k *Keeper) restartFrom(state *pb.ConfigState, earliest uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.replay.state.NextOffset >= earliest {
		return true
	}
	if state != nil && checkConsistent(k.replay.state, state) == nil {
		k.replay = NewReplay(state)
		k.gap = false
		k.install()
		return true
	}
	if !k.gap {
		k.events.Emit(event.LogGap, event.Fields{"next": k.replay.state.NextOffset})
	}
	k.gap = true
	return false
}

// findCheckpoint reads the log from its earliest record and returns the state of
// the newest usable checkpoint, or nil. A checkpoint is usable if the log retains
// all records from the next offset of its state on.
func (k *Keeper) findCheckpoint(ctx context.Context, earliest uint64) (*pb.ConfigState, error) {
	var found *pb.ConfigState
	for from := earliest; ; {
		batch, err := k.log.Read(ctx, StreamConfig, from, readLimit)
		k.recordLogResult(err)
		if err != nil {
			return nil, err
		}
		earliest = max(earliest, batch.Earliest)
		if found != nil && found.NextOffset < earliest {
			found = nil
		}
		if len(batch.Entries) == 0 {
			return found, nil
		}
		for _, e := range batch.Entries {
			if s := checkpointState(e); s != nil && s.NextOffset >= earliest {
				found = s
			}
			from = e.Offset + 1
		}
	}
}

// checkpointState returns the state of a checkpoint record. It returns nil for other
// records, and for a state that claims to include the checkpoint or later records.
func checkpointState(e Entry) *pb.ConfigState {
	rec, err := DecodeRecord(e.Data)
	if err != nil || rec.GetCheckpoint() == nil {
		return nil
	}
	state := rec.GetCheckpoint().GetState()
	if state.NextOffset > e.Offset {
		return nil
	}
	return state
}

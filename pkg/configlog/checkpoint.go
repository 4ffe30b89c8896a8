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

// checkpointClock tells when the next checkpoint is due by the clock of this
// node. Record times are never compared, since clocks of nodes may differ.
type checkpointClock struct {
	due time.Time
	// atEnd is when the last read that reached the end of the log began.
	atEnd time.Time
}

// seen notes a checkpoint among the records just read. It is younger than the
// last read that reached the end of the log. Before the first such read its age
// is unknown, and the due time stays.
func (c *checkpointClock) seen(wait time.Duration) {
	if !c.atEnd.IsZero() {
		c.due = c.atEnd.Add(wait)
	}
}

// jitter is up to a quarter of the retention period. With the half after which a
// checkpoint is due, it leaves a quarter to repeat a failed append.
func (k *Keeper) jitter() time.Duration {
	return rand.N(max(1, k.retention/4))
}

// checkpointTimeout bounds the append of a checkpoint, its repeats included.
const checkpointTimeout = 10 * time.Second

// maintainCheckpoint writes a checkpoint if one is due. It first reads to the end
// of the log: nodes poll rarely in a large fleet, and another one may have written
// a checkpoint since the last poll.
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
// with a gap or before a stale replica does not know the state at the log's end.
func (k *Keeper) checkpointDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gap || k.reset || k.replay.state.NextOffset == 0 {
		return false
	}
	return !time.Now().Before(k.checkpoint.due)
}

func isCheckpoint(data []byte) bool {
	rec, err := DecodeRecord(data)
	return err == nil && rec.GetCheckpoint() != nil
}

// ErrGap means that the log no longer keeps the next record and holds no usable
// checkpoint. The state stays until a checkpoint or a peer's snapshot covers the gap.
var ErrGap = errors.New("the log no longer keeps the next record")

// crossGap restarts the replay from the newest usable checkpoint on the log.
func (k *Keeper) crossGap(ctx context.Context, first Batch) (bool, error) {
	state, err := k.findCheckpoint(ctx, first.Earliest)
	if err != nil {
		return false, err
	}
	if k.adopt(state, first.Earliest) {
		return false, nil
	}
	return true, ErrGap
}

// adopt restarts the replay from a checkpoint, which may be nil. It reports
// whether the replay moved past the gap, be it by a snapshot merged meanwhile.
func (k *Keeper) adopt(state *pb.ConfigState, earliest uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.replay.state.NextOffset >= earliest {
		return true
	}
	if state != nil && checkAgreement(k.replay.state, state) == nil {
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

// findCheckpoint reads the log from the earliest record on and returns the state
// of the newest checkpoint from whose valid-up-to offset all records remain.
func (k *Keeper) findCheckpoint(ctx context.Context, earliest uint64) (*pb.ConfigState, error) {
	var found *pb.ConfigState
	for from := earliest; ; {
		batch, err := k.log.Read(ctx, StreamConfig, from, readLimit)
		k.noteLog(err)
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

// checkpointState returns the state of a checkpoint record, or nil.
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

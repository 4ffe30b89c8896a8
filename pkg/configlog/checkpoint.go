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
// log. The checkpoint is younger than the start of the last read that reached the
// end of the log. Before the first such read its age is unknown, and the due time
// does not change.
func (c *checkpointSchedule) observeCheckpoint(wait time.Duration) {
	if !c.lastEndRead.IsZero() {
		c.due = c.lastEndRead.Add(wait)
	}
}

// checkpointJitter returns up to a quarter of the retention period. A checkpoint is
// due after half of the period plus this jitter, which leaves a quarter to retry a
// failed append.
func (r *Replica) checkpointJitter() time.Duration {
	return rand.N(max(1, r.retention/4))
}

// checkpointTimeout limits the append of a checkpoint, including retries.
const checkpointTimeout = 10 * time.Second

// maintainCheckpoint writes a checkpoint if one is due. It first polls to the end of
// the log: nodes of a large fleet poll rarely, and another node may have written a
// checkpoint since the last poll.
func (r *Replica) maintainCheckpoint(ctx context.Context) {
	if !r.checkpointDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	if err := r.Poll(ctx); err != nil || !r.checkpointDue() {
		return
	}
	rec := &pb.Record{Id: uuid.NewString(), Body: &pb.Record_Checkpoint{
		Checkpoint: &pb.Checkpoint{State: r.state()},
	}}
	if err := r.Append(ctx, rec); err != nil {
		r.events.Emit(event.CheckpointFailed, event.Fields{"error": err.Error()})
	}
}

func (r *Replica) state() *pb.ConfigState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replay.State()
}

// checkpointDue reports whether this node should write a checkpoint now. A node
// that has a gap or reads from a stale log replica does not have the state at the
// end of the log, so it writes none.
func (r *Replica) checkpointDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gap || r.logReset || r.replay.state.NextOffset == 0 {
		return false
	}
	return !time.Now().Before(r.checkpoint.due)
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
func (r *Replica) recoverFromGap(ctx context.Context, batch Batch) (bool, error) {
	state, err := r.findCheckpoint(ctx, batch.Earliest)
	if err != nil {
		return false, err
	}
	if r.restartFrom(state, batch.Earliest) {
		return false, nil
	}
	return true, ErrGap
}

// restartFrom restarts the replay from a checkpoint, which may be nil. It reports
// whether the replay is past the gap. A snapshot from a peer may have closed the
// gap in the meantime.
func (r *Replica) restartFrom(state *pb.ConfigState, earliest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replay.state.NextOffset >= earliest {
		return true
	}
	if state != nil && checkConsistent(r.replay.state, state) == nil {
		// The log may have been restored after the checkpoint was written.
		state.LogHistory = r.replay.state.LogHistory
		r.replay = NewReplay(state)
		r.gap = false
		r.install()
		return true
	}
	if !r.gap {
		r.events.Emit(event.LogGap, event.Fields{"next": r.replay.state.NextOffset})
	}
	r.gap = true
	return false
}

// findCheckpoint reads the log from its earliest record and returns the state of
// the newest usable checkpoint, or nil. A checkpoint is usable if the log retains
// all records from the next offset of its state on.
func (r *Replica) findCheckpoint(ctx context.Context, earliest uint64) (*pb.ConfigState, error) {
	var found *pb.ConfigState
	for from := earliest; ; {
		batch, err := r.log.Read(ctx, StreamConfig, from, readLimit)
		r.recordLogResult(err)
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

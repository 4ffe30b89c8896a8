package configlog

import (
	"fmt"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// LogHistory returns the number of the log's history that the replayed records come from,
// or 0 if it is not known.
func (r *Replica) LogHistory() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replay.state.LogHistory
}

// observeHistory compares the history of a read with that of the applied records. After a
// restore of the log it starts the replay anew and reports true: the applied offsets mean
// other records now. A read from an earlier history comes from a stale log replica and is an
// error.
func (r *Replica) observeHistory(from uint64, b Batch) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.replay.state.LogHistory
	switch {
	case b.History == own || b.History == 0:
		return false, nil
	case own == 0:
		r.replay.state.LogHistory = b.History
		return false, nil
	case b.History < own:
		return false, fmt.Errorf("poll the log: %w: history %d after history %d", ErrUnavailable, b.History, own)
	}
	r.startHistory(&pb.ConfigState{LogHistory: b.History})
	r.events.Emit(event.LogReplaced, event.Fields{"from": own, "to": b.History, "applied": from, "end": b.End})
	return true, nil
}

// mergeOtherHistory handles a peer's state that comes from another history of the log than
// the applied records. A later one replaces them, an earlier one is ignored. It reports false
// if the histories are the same or not known. The caller holds mu.
func (r *Replica) mergeOtherHistory(state *pb.ConfigState) bool {
	own := r.replay.state.LogHistory
	if own == 0 || state.LogHistory == 0 || state.LogHistory == own {
		return false
	}
	if state.LogHistory > own {
		r.startHistory(state)
		r.events.Emit(event.LogReplaced, event.Fields{"from": own, "to": state.LogHistory, "source": "peer"})
		r.install()
	}
	return true
}

// joinHistory reports whether records of the history continue the applied ones.
func (r *Replica) joinHistory(history uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.replay.state
	if s.LogHistory == 0 {
		s.LogHistory = history
	}
	return history == 0 || history == s.LogHistory
}

// startHistory restarts the replay in a later history of the log. The caller holds mu.
func (r *Replica) startHistory(state *pb.ConfigState) {
	r.replay = NewReplay(state)
	r.recent = recentRecords{}
	r.gap, r.logReset = false, false
}

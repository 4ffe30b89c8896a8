package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// followGap is the least time between two reads of the configuration, so that a
	// series of changes is read at once.
	followGap = 400 * time.Millisecond
	// readGap is the time between two reads of the fleet that start anew. The store does
	// not always end a waiting read when there is a change, and the operators want one in
	// force within 2 s.
	readGap = time.Second
	// readWait is the longest time that a read waits for a change. A silent connection
	// to the store is found after it.
	readWait = 5 * time.Second
	// rolePause is how often a node that does not read looks whether it should.
	rolePause = 300 * time.Millisecond
	// greetTime is left for the first statuses of the others after the start.
	greetTime = 60 * time.Millisecond
	// lonelyAfter without any configuration makes a node read for itself.
	lonelyAfter = time.Second
	// storeSlack is how long past its wait a read may take.
	storeSlack = 1500 * time.Millisecond
	// storeTimeout bounds other calls to the store.
	storeTimeout = 1500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call to the store.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1500 * time.Millisecond
)

// follower keeps the newest routing table in force. Versions only grow.
type follower struct {
	configs Configs
	events  *event.Logger
	install func(*route.Table)
	// spread is called when the store had a newer configuration, so that all hear of it.
	spread func()
	// role reports whether this node is one of the readers of the fleet, and its turn.
	role func() (turn, bool)

	mu      sync.Mutex
	current *route.Table
	lost    bool
}

// offer puts an encoded configuration in force if it is newer, and reports whether
// it was.
func (f *follower) offer(encoded []byte, source string) bool {
	t, err := f.configs.Decode(encoded)
	if err != nil {
		f.events.Emit(event.ConfigInvalid, event.Fields{"source": source, "error": err.Error()})
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && t.Version <= f.current.Version {
		return false
	}
	f.current = t
	f.install(t)
	f.events.Emit(event.ConfigInstalled, event.Fields{"version": t.Version, "routes": t.Len(), "source": source})
	return true
}

func (f *follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		return 0
	}
	return f.current.Version
}

func (f *follower) storeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// run follows the store until the context ends. Only the readers do; the others
// hear from them. A node that hears of no configuration reads for itself.
func (f *follower) run(ctx context.Context) {
	// changed is set while the other readers have probably just returned as well.
	known, changed, position := false, true, int64(0)
	pause, start := firstRetry, time.Now()
	// The statuses of the others tell first who the readers are.
	if !sleep(ctx, greetTime) {
		return
	}
	for ctx.Err() == nil {
		place, reader := f.role()
		if !reader && (f.version() > 0 || time.Since(start) < lonelyAfter) {
			if !sleep(ctx, rolePause) {
				return
			}
			// Whatever was read in the meantime has come from another node.
			known = false
			continue
		}
		next, err := f.read(ctx, known, position, place.wait(changed))
		switch {
		case err == nil:
			changed = !known || next != position
			known, position = true, next
			pause = followGap
		case errors.Is(err, ErrHistoryGone):
			known = false
			continue
		default:
			pause = min(lastRetry, max(firstRetry, pause*2))
		}
		f.note(err)
		if !sleep(ctx, pause) {
			return
		}
		if err == nil {
			pause = firstRetry
		}
	}
}

// wait returns how long the next read of the node waits for a change.
//
// Load pattern: a change ends the reads of all readers at once, and the store leaves
// those that begin then waiting when the next change comes. So the readers take turns:
// one read starts anew in each readGap.
func (t turn) wait(changed bool) time.Duration {
	most := int(readWait / readGap)
	n := min(max(1, t.readers), most)
	if changed {
		n = 1 + t.place%n
	}
	return time.Duration(n)*readGap - followGap
}

// read makes one call to the store, which waits for a change if the position is known,
// and returns the next position.
func (f *follower) read(ctx context.Context, known bool, position int64, wait time.Duration) (int64, error) {
	var encoded []byte
	var next int64
	var err error
	if known {
		ctx, cancel := context.WithTimeout(ctx, wait+storeSlack)
		defer cancel()
		encoded, next, err = f.configs.Changes(ctx, position, wait)
	} else {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		encoded, next, err = f.configs.Newest(ctx)
	}
	if err != nil {
		return 0, err
	}
	if encoded != nil && f.offer(encoded, "store") {
		f.spread()
	}
	return next, nil
}

// note logs when the store is lost and regained.
func (f *follower) note(err error) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error()})
	case err == nil && was:
		f.events.Emit(event.LogReachable, event.Fields{})
	}
}

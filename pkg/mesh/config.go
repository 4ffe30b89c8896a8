package mesh

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// minReadInterval is the minimum time between two reads of the configuration by one
	// node. A series of changes is then fetched with one read.
	minReadInterval = 400 * time.Millisecond
	// fleetReadInterval is the time between the starts of two reads in the fleet. The
	// store sometimes doesn't end a waiting read when there is a change, and operators
	// expect a change to be in force within 2 s.
	fleetReadInterval = time.Second
	// maxReadWait is the longest time that a read waits for a change. A dead connection
	// to the store is detected after this time.
	maxReadWait = 5 * time.Second
	// rolePollInterval is how often a node that is not a store reader checks whether it
	// has become one.
	rolePollInterval = 300 * time.Millisecond
	// firstStatusWait is the time after the start in which the first statuses of the
	// other nodes arrive.
	firstStatusWait = 60 * time.Millisecond
	// noConfigTimeout is the time without any configuration after which a node reads the
	// store even if it is not a store reader.
	noConfigTimeout = time.Second
	// readTimeoutMargin is how much longer than its wait a read may take.
	readTimeoutMargin = 1500 * time.Millisecond
	// storeTimeout is the time limit of other calls to the store.
	storeTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to the store.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// maxLoggedProblems is the number of problems of one configuration that are logged, each with at
	// most maxProblemLength characters.
	maxLoggedProblems = 8
	maxProblemLength  = 200
)

// configWatcher reads the store and puts the newest routing table in force. The version in
// force never decreases.
type configWatcher struct {
	configs Configs
	events  *event.Logger
	install func(*route.Table)
	// notifyPeers is called after a newer configuration was read from the store.
	notifyPeers func()
	// readerRole returns this node's turn and whether it is a store reader.
	readerRole func() (readTurn, bool)
	history    *storeHistory
	timing     configTiming
	// onRead is called after each read of the store, or is nil.
	onRead func()
	// onEvacuated is called with the result of each read before its configuration is installed, or
	// is nil.
	onEvacuated func(Published)

	mu               sync.Mutex
	current          *route.Table
	storeUnreachable bool
}

// installIfNewer puts an encoded configuration in force if it is newer than the current
// one, and reports whether it was.
func (w *configWatcher) installIfNewer(encoded []byte, source string) bool {
	t, err := w.configs.Decode(encoded)
	if err != nil {
		w.events.Emit(event.ConfigInvalid, event.Fields{"source": source, "error": err.Error()})
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil && t.Version <= w.current.Version {
		return false
	}
	w.current = t
	w.install(t)
	w.events.Emit(event.ConfigInstalled, event.Fields{"version": t.Version, "routes": t.Len(), "source": source})
	if len(t.Problems) > 0 {
		w.events.Emit(event.ConfigRestricted, event.Fields{"version": t.Version, "count": len(t.Problems), "problems": describeProblems(t.Problems)})
	}
	return true
}

// describeProblems returns the first problems of a table as a text.
func describeProblems(problems []*route.EntryError) string {
	var list []string
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		list = append(list, fmt.Sprintf("%.*s", maxProblemLength, p))
	}
	return strings.Join(list, "; ")
}

// problems returns the number of problems of the configuration in force.
func (w *configWatcher) problems() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		return 0
	}
	return len(w.current.Problems)
}

func (w *configWatcher) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil {
		return 0
	}
	return w.current.Version
}

func (w *configWatcher) isStoreUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeUnreachable
}

// run reads the store until the context ends. Only store readers read regularly; the
// other nodes fetch configurations from their peers. A node that gets no configuration
// from its peers reads the store as well.
func (w *configWatcher) run(ctx context.Context) {
	// changed is set if the last read returned a change: the reads of the other store
	// readers have probably ended at the same time.
	changed, start := true, time.Now()
	// last is the result of the last read, without its configuration.
	var last *Published
	retryDelay := minRetryDelay
	// The store readers are known only after the first statuses of the other nodes.
	if !sleep(ctx, firstStatusWait) {
		return
	}
	for ctx.Err() == nil {
		turn, isReader := w.readerRole()
		if !isReader && (w.version() > 0 || time.Since(start) < noConfigTimeout) {
			if !sleep(ctx, rolePollInterval) {
				return
			}
			// The position is outdated: other nodes may have read changes in the meantime.
			last = nil
			continue
		}
		next, err := w.read(ctx, last, w.timing.scale(turn.wait(changed)))
		pause := w.timing.scale(minReadInterval)
		if err != nil {
			// The store may have lost changes before the position while it was away.
			last = nil
			pause, retryDelay = retryDelay, min(maxRetryDelay, retryDelay*2)
		} else {
			changed = last == nil || next.Position != last.Position
			last, retryDelay = &next, minRetryDelay
		}
		if errors.Is(err, ErrHistoryExpired) {
			err = nil
		}
		w.logStoreState(err)
		if !sleep(ctx, pause) {
			return
		}
	}
}

// wait returns how long the node's next read waits for a change. changed reports whether
// the last read returned one.
//
// Load pattern: a change ends the waiting reads of all store readers at once, so their next
// reads start together, and the store may not end these at the next change. After a change,
// the waits are therefore staggered by the readers' indexes: one read starts in each
// fleetReadInterval.
func (t readTurn) wait(changed bool) time.Duration {
	maxTurns := int(maxReadWait / fleetReadInterval)
	turns := min(max(1, t.readers), maxTurns)
	if changed {
		turns = 1 + t.index%turns
	}
	return time.Duration(turns)*fleetReadInterval - minReadInterval
}

// read makes one call to the store and returns its result without the configuration. If there is
// an earlier result, the call waits for a change.
func (w *configWatcher) read(ctx context.Context, last *Published, wait time.Duration) (Published, error) {
	var next Published
	var err error
	if last != nil {
		ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
		defer cancel()
		next, err = w.configs.Changes(ctx, *last, wait)
	} else {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		next, err = w.configs.Newest(ctx)
	}
	if err != nil {
		return Published{}, err
	}
	w.history.observeRead(next.Position.History)
	if w.onEvacuated != nil {
		w.onEvacuated(next)
	}
	if w.onRead != nil {
		w.onRead()
	}
	if next.Encoded != nil && w.installIfNewer(next.Encoded, "store") {
		w.notifyPeers()
	}
	next.Encoded = nil
	return next, nil
}

// readNewest reads the newest configuration once, besides the regular reads.
func (w *configWatcher) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.scale(directReadTimeout))
	defer cancel()
	_, err := w.read(ctx, nil, 0)
	if err == nil {
		w.logStoreState(nil)
	}
	return err
}

// logStoreState logs when the store becomes unreachable and reachable again.
func (w *configWatcher) logStoreState(err error) {
	w.mu.Lock()
	wasUnreachable := w.storeUnreachable
	w.storeUnreachable = err != nil
	w.mu.Unlock()
	switch {
	case err != nil && !wasUnreachable:
		w.events.Emit(event.LogUnreachable, event.Fields{"error": err.Error()})
	case err == nil && wasUnreachable:
		w.events.Emit(event.LogReachable, event.Fields{})
	}
}

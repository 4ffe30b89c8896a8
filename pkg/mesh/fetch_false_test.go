package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

// A node whose status reports a newer version than its configuration has was asked
// 16 times without a pause, for each of its statuses.
func TestFalseVersionIsNotFetchedWithoutPause(t *testing.T) {
	w := &configWatcher{configs: fixedVersion{version: 7}, events: event.Discard(), install: func(*route.Table) {}}
	w.installIfNewer([]byte("configuration"), "store")
	var fetches atomic.Int32
	f := &fetcher{
		watcher: w, events: event.Discard(),
		findSource: func(uint64) (string, bool) { return "node", true },
		fetch: func(context.Context, string) ([]byte, error) {
			fetches.Add(1)
			return []byte("configuration"), nil
		},
	}
	start := time.Now()
	f.catchUp(context.Background())
	if n, took := fetches.Load(), time.Since(start); time.Duration(n-1)*meanFetchPause/2 > took {
		t.Errorf("%d fetches of a configuration that isn't newer in %v, want a pause of at least %v between them", n, took, meanFetchPause/2)
	}
}

// Guards against nodes that read the store all the time because one node reports a version that
// does not exist.
func TestFalseVersionIsRarelySoughtInTheStore(t *testing.T) {
	const watched = 4 * time.Second
	w := &configWatcher{configs: fixedVersion{version: 7}, events: event.Discard(), install: func(*route.Table) {}}
	w.installIfNewer([]byte("configuration"), "store")
	var reads atomic.Int32
	f := &fetcher{
		watcher: w, events: event.Discard(), requested: make(chan struct{}, 1),
		findSource: func(uint64) (string, bool) { return "node", true },
		fetch:      func(context.Context, string) ([]byte, error) { return []byte("configuration"), nil },
		readStore: func(context.Context) error {
			reads.Add(1)
			return nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx)
	for start := time.Now(); time.Since(start) < watched; time.Sleep(10 * time.Millisecond) {
		f.request()
	}
	// The pauses after the first reads are one and two seconds.
	if n := reads.Load(); n == 0 || n > 3 {
		t.Errorf("%d reads of the store in %v, want 1 to 3", n, watched)
	}
}

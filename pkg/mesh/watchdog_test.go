package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// lostReaders sends the node the statuses of members, of which enough read the store in its place.
// None of them runs. It returns the addresses of the readers.
func lostReaders(t *testing.T, n *testNode, members int, sequence uint64) []string {
	t.Helper()
	var readers []string
	for i := range members {
		address := fmt.Sprintf("127.0.%d.%d:9", 1+i/200, 1+i%200)
		if xxhash.Sum64String(address) < xxhash.Sum64String(n.settings.PeerAddress) {
			readers = append(readers, address)
		}
		n.gossip.receiveStatus(roster.Status{Address: address, Incarnation: 1, Sequence: sequence, Phase: roster.Serving, Domain: "d1", Service: "b", ConfigVersion: 1})
	}
	return readers
}

// startNonReader starts a node and a fleet of lost members in which it does not read the store.
func startNonReader(t *testing.T, store *memoryStore, members int) (*testNode, []string) {
	t.Helper()
	for range 100 {
		n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
		await.Eventually(t, "version 1", func() bool { return n.watcher.version() == 1 })
		readers := lostReaders(t, n, members, 1)
		if _, isReader := n.dir.storeReader(); !isReader {
			// The node's last regular read ends, and it reads no more.
			time.Sleep(startGrace + fleetReadInterval)
			return n, readers
		}
		n.stop()
	}
	t.Fatal("every node is a store reader")
	return nil, nil
}

// Guards against a configuration that is late because all nodes that read the store were lost at
// once, and another one takes over only after a time that grows with the fleet.
func TestConfigurationIsReadWhenAllReadersAreLost(t *testing.T) {
	for _, members := range []int{12, 36, 300} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) {
			t.Parallel()
			store := newMemoryStore()
			store.publish(t, 1, "a")
			n, _ := startNonReader(t, store, members)
			lostReaders(t, n, members, 2)
			store.publish(t, 2, "a")
			start := time.Now()
			for n.watcher.version() != 2 {
				if time.Since(start) > referenceConfigBound {
					t.Fatalf("version 2 is not in force after %v", referenceConfigBound)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against a configuration that is late because the store readers run, but are cut off from
// the store.
func TestConfigurationIsReadWhenReadersAreCutOff(t *testing.T) {
	const members = 36
	store := newMemoryStore()
	store.publish(t, 1, "a")
	n, readers := startNonReader(t, store, members)
	store.publish(t, 2, "a")
	start := time.Now()
	for sequence := uint64(2); n.watcher.version() != 2; sequence++ {
		age := time.Since(start)
		if age > referenceConfigBound {
			t.Fatalf("version 2 is not in force after %v", referenceConfigBound)
		}
		lostReaders(t, n, members, sequence)
		b, err := encodeReadReport(readReport{Address: readers[0], AgeMillis: age.Milliseconds()})
		if err == nil {
			err = n.gossip.receive(b)
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, isReader := n.dir.storeReader(); isReader {
		t.Error("the node became a store reader")
	}
}

// watchdogFleet connects watchdogs. Those of lost nodes send and receive no reports.
type watchdogFleet struct {
	mu    sync.Mutex
	all   []*watchdog
	lost  map[*watchdog]bool
	reads []time.Duration
	err   error
}

// startWatchdogs starts watchdogs, of which the first ones are store readers.
func startWatchdogs(t *testing.T, members, readers int) *watchdogFleet {
	t.Helper()
	f := &watchdogFleet{lost: map[*watchdog]bool{}}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	for i := range members {
		w := &watchdog{
			self: fmt.Sprintf("127.0.0.1:%d", 1+i), events: event.Discard(), now: now, changed: make(chan struct{}, 1),
			isReader: func() bool { return i < readers }, failing: func() bool { return false }, members: func() int { return members },
		}
		w.read = func(context.Context) error {
			f.mu.Lock()
			f.reads = append(f.reads, now())
			err := f.err
			f.mu.Unlock()
			if err == nil {
				w.recordRead()
			}
			return err
		}
		w.send = func(r readReport) { f.deliver(w, r) }
		f.all = append(f.all, w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, w := range f.all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.run(ctx)
		}()
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func (f *watchdogFleet) deliver(from *watchdog, r readReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.all {
		if w != from && !f.lost[w] && !f.lost[from] {
			w.receive(r)
		}
	}
}

// lose cuts the first nodes off.
func (f *watchdogFleet) lose(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.all[:n] {
		f.lost[w] = true
	}
}

func (f *watchdogFleet) readsSoFar() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reads)
}

// Guards against a fleet whose nodes all read the store at once after its readers were lost: the
// first ones that do keep the others from it.
func TestFewNodesReadInPlaceOfLostReaders(t *testing.T) {
	const members, readers, watched = 300, 20, startGrace + 4*time.Second
	f := startWatchdogs(t, members, readers)
	f.lose(readers)
	time.Sleep(watched)
	// The readers that were lost go on to read as well.
	n := f.readsSoFar()
	t.Logf("%d reads in %v", n, watched)
	if n == 0 || n > members/4*int(watched/time.Second) {
		t.Errorf("%d reads in %v", n, watched)
	}
}

// Guards against reads of the store by nodes that have just started: they receive no reports until
// the others know them.
func TestStartingNodesLeaveReadsToOthers(t *testing.T) {
	const members, starting = 300, 2 * time.Second
	f := startWatchdogs(t, members, 0)
	time.Sleep(starting)
	if n := f.readsSoFar(); n > 0 {
		t.Errorf("%d reads in %v", n, starting)
	}
}

// Guards against a store that is called by all nodes all the time while it fails.
func TestFailingStoreIsCalledRarely(t *testing.T) {
	const members, watched = 300, startGrace + 4*time.Second
	f := startWatchdogs(t, members, 0)
	f.mu.Lock()
	f.err = errors.New("store is down")
	f.mu.Unlock()
	time.Sleep(watched)
	// All nodes may make their first attempt before they hear of a failed one.
	n := f.readsSoFar()
	t.Logf("%d reads in %v", n, watched)
	if n == 0 || n > members+4*int(watched/failedReadGap) {
		t.Errorf("%d reads in %v", n, watched)
	}
}

// Guards against reports of nodes that have not read the store: during an outage, each of them made
// all nodes try at once.
func TestReportWithoutNewReadStartsNoAttempt(t *testing.T) {
	now := time.Minute
	w := &watchdog{self: "127.0.0.1:1", now: func() time.Duration { return now }, members: func() int { return 300 }, changed: make(chan struct{}, 1)}
	w.lastReport, w.lastRead = now-5*time.Second, now-5*time.Second
	w.notBefore = now + time.Hour
	w.receive(readReport{Address: "127.0.0.1:2", AgeMillis: 6000})
	if due := w.readDue(false); due != now+time.Hour {
		t.Errorf("next attempt at %v", due)
	}
	if _, mayReport := w.reportDue(now); mayReport {
		t.Error("a node that knows of no recent read reports one")
	}
	w.receive(readReport{Address: "127.0.0.1:2", AgeMillis: 10})
	if due := w.readDue(false); due > now+2*time.Second {
		t.Errorf("next attempt at %v after a read has succeeded", due)
	}
}

// Guards against reports that are changed in transit, and against other bytes that are taken for
// one.
func TestReadReportEncoding(t *testing.T) {
	want := readReport{Address: "127.0.0.1:1", AgeMillis: 250, Failed: true}
	b, err := encodeReadReport(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeReadReport(b)
	if err != nil || got != want || b[0] != readReportPrefix {
		t.Errorf("%+v, prefix %#x, error %v", got, b[0], err)
	}
	for n := range b {
		if got, err := decodeReadReport(b[:n]); err == nil {
			t.Errorf("%d of %d bytes are %+v", n, len(b), got)
		}
	}
	if _, err := decodeReadReport(append(b, 0)); !errors.Is(err, roster.ErrInvalid) {
		t.Errorf("error %v for a byte too much", err)
	}
	for _, bad := range []readReport{{AgeMillis: 1}, {Address: "127.0.0.1:1", AgeMillis: -1}, {Address: "127.0.0.1:1", AgeMillis: 1 << 60}} {
		if err := bad.validate(); !errors.Is(err, roster.ErrInvalid) {
			t.Errorf("error %v for %+v", err, bad)
		}
	}
}

// Guards against reads without a pause by the watchdog while the store rejects all of them.
func TestRejectedReadsInPlaceOfReadersArePaused(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	await.Eventually(t, "version 1", func() bool { return n.watcher.version() == 1 })
	store.mu.Lock()
	store.expired, store.reads = true, 0
	store.mu.Unlock()
	const watched = startGrace + 2*time.Second
	time.Sleep(watched)
	store.mu.Lock()
	defer store.mu.Unlock()
	if limit := 2 * int(watched/minRetryDelay); store.reads > limit {
		t.Errorf("%d reads in %v, want at most %d", store.reads, watched, limit)
	}
}

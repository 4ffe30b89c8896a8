package mesh

import (
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

// The store doesn't end waiting reads when there is a change, and the previous change has
// synchronized the reads of all store readers.
func TestChangeIsFoundWhenStoreDoesNotNotify(t *testing.T) {
	const nodes, within = 6, 2 * time.Second
	store := newMemoryStore()
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range nodes {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store}))
	}
	inForce := func(v uint64) bool {
		for _, n := range fleet {
			if n.watcher.version() != v {
				return false
			}
		}
		return true
	}
	for version := uint64(2); version <= 3; version++ {
		time.Sleep(2 * minReadInterval)
		start := time.Now()
		store.publish(t, version, "a")
		for !inForce(version) {
			if time.Since(start) > within {
				t.Fatalf("version %d is not in force everywhere after %v", version, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
		store.mu.Lock()
		store.ignoreChanges = true
		store.mu.Unlock()
	}
}

// Simulates the reads of all store readers after a change that ended all of them: one must
// start in each fleetReadInterval.
func TestStoreReadersTakeTurns(t *testing.T) {
	for _, readers := range []int{1, 2, 5, 100} {
		starts := map[time.Duration]bool{}
		for index := range readers {
			at, wait := minReadInterval, readTurn{index, readers}.wait(true)
			for at < 20*time.Second {
				starts[at.Round(time.Millisecond)] = true
				at += wait + minReadInterval
				wait = readTurn{index, readers}.wait(false)
			}
		}
		for at := minReadInterval; at < 15*time.Second; at += fleetReadInterval {
			if !starts[at] {
				t.Errorf("%d readers: no read starts at %v", readers, at)
			}
		}
		if limit := 21 * max(1, readers/5); len(starts) > limit {
			t.Errorf("%d readers: reads start at %d times", readers, len(starts))
		}
	}
}

// Guards against reads without a pause while the store rejects all of them.
func TestRejectedReadsArePaused(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	store.expired = true
	start := time.Now()
	n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	time.Sleep(time.Second)
	store.mu.Lock()
	reads, elapsed := store.reads, time.Since(start)
	store.mu.Unlock()
	if limit := 1 + int(elapsed/minRetryDelay); reads > limit {
		t.Errorf("%d reads in %v, want at most %d", reads, elapsed, limit)
	}
	if n.watcher.isStoreUnreachable() {
		t.Error("the store counts as unreachable")
	}
}

// Guards against a position that is kept while the store is away, and may have lost the changes
// before it when it is back.
func TestPositionIsNotKeptAfterFailedReads(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	client := &storeClient{memoryStore: store}
	n := startNode(t, newSettings(t, "a", 0), client)
	await.Eventually(t, "version 1", func() bool { return n.watcher.version() == 1 })
	client.setDown(true)
	await.Eventually(t, "the store is away", n.watcher.isStoreUnreachable)
	store.publish(t, 2, "a")
	store.mu.Lock()
	store.position--
	store.mu.Unlock()
	client.setDown(false)
	await.Eventually(t, "version 2", func() bool { return n.watcher.version() == 2 })
}

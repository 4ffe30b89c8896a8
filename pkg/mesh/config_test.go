package mesh

import (
	"testing"
	"time"
)

// The store leaves waiting reads without an answer when there is a change, and the
// change before it has set all readers to the same time.
func TestChangeIsFoundThoughTheStoreIsDeaf(t *testing.T) {
	const nodes, within = 6, 2 * time.Second
	store := newMemoryStore()
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range nodes {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &access{memoryStore: store}))
	}
	inForce := func(v uint64) bool {
		for _, n := range fleet {
			if n.follower.version() != v {
				return false
			}
		}
		return true
	}
	for version := uint64(2); version <= 3; version++ {
		time.Sleep(2 * followGap)
		start := time.Now()
		store.publish(t, version, "a")
		for !inForce(version) {
			if time.Since(start) > within {
				t.Fatalf("version %d is not in force everywhere after %v", version, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
		store.mu.Lock()
		store.deaf = true
		store.mu.Unlock()
	}
}

// Replays the reads after a change that ended all of them.
func TestReadersTakeTurns(t *testing.T) {
	for _, readers := range []int{1, 2, 5, 100} {
		starts := map[time.Duration]bool{}
		for place := range readers {
			at, wait := followGap, turn{place, readers}.wait(true)
			for at < 20*time.Second {
				starts[at.Round(time.Millisecond)] = true
				at += wait + followGap
				wait = turn{place, readers}.wait(false)
			}
		}
		for at := followGap; at < 15*time.Second; at += readGap {
			if !starts[at] {
				t.Errorf("%d readers: no read starts at %v", readers, at)
			}
		}
		if limit := 21 * max(1, readers/5); len(starts) > limit {
			t.Errorf("%d readers: %d times of reads", readers, len(starts))
		}
	}
}

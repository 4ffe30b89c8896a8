package mesh

import (
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
)

// restore starts the next history of the store with the given addresses, and ends the waiting
// reads. The caller holds mu.
func (s *memoryStore) restore(addresses []string) {
	s.history++
	s.addresses = addresses
	close(s.changed)
	s.changed = make(chan struct{})
}

// registered reports whether exactly the nodes are registered.
func (s *memoryStore) registered(nodes []*testNode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for _, a := range s.addresses {
		found[a] = true
	}
	for _, n := range nodes {
		if !found[n.settings.PeerAddress] {
			return false
		}
	}
	return len(s.addresses) == len(nodes)
}

// Guards against lost registrations of nodes that don't read the store: they learn of a restore
// from the statuses of the store readers.
func TestNodesThatDoNotReadRegisterAgainAfterRestore(t *testing.T) {
	store := newMemoryStore()
	store.history = 1
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range minStoreReaders + 2 {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store}))
	}
	await.Eventually(t, "registrations and statuses", func() bool {
		for _, n := range fleet {
			if n.dir.len() < len(fleet) {
				return false
			}
		}
		return store.registered(fleet)
	})
	store.mu.Lock()
	store.restore(nil)
	store.mu.Unlock()
	await.Eventually(t, "registrations after the restore", func() bool { return store.registered(fleet) })
}

// Guards against a node that counts as registered because it registered before a restore and
// read the addresses after it.
func TestRegistrationBeforeARestoreIsRepeated(t *testing.T) {
	store := newMemoryStore()
	store.history = 1
	store.publish(t, 1, "a")
	store.restoreAfterRegister = func() {
		store.restoreAfterRegister = nil
		store.restore(nil)
	}
	s := newSettings(t, "a", 0)
	s.FirstStart = true
	n := startNode(t, s, &storeClient{memoryStore: store})
	await.Eventually(t, "the second registration", func() bool { return store.registered([]*testNode{n}) })
}

// Guards against calls to the store without a reason: a node whose address is in the copy reads
// the addresses once after a restore and writes nothing.
func TestRegisteredNodeOnlyReadsAfterRestore(t *testing.T) {
	store := newMemoryStore()
	store.history = 1
	store.publish(t, 1, "a")
	n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	lists := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.lists
	}
	await.Eventually(t, "the registration", func() bool { return store.registered([]*testNode{n}) && lists() == 2 })
	store.mu.Lock()
	store.restore(store.addresses)
	store.mu.Unlock()
	await.Eventually(t, "a read of the addresses", func() bool { return lists() == 3 })
	time.Sleep(10 * registerDelayPerMember)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.lists != 3 || store.registrations != 1 {
		t.Errorf("%d reads and %d registrations, want 3 and 1", store.lists, store.registrations)
	}
}

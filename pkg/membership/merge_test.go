package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// memberGen draws entries of three nodes with small counters, so that entries often
// compete.
var memberGen = rapid.Custom(func(t *rapid.T) *pb.Member {
	return &pb.Member{
		NodeId:        fmt.Sprintf("n%d", rapid.IntRange(0, 2).Draw(t, "id")),
		Incarnation:   rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Sequence:      rapid.Uint64Range(0, 2).Draw(t, "sequence"),
		Status:        pb.MemberStatus(rapid.IntRange(1, 4).Draw(t, "status")),
		ConfigVersion: rapid.Uint64Range(0, 2).Draw(t, "version"),
		PeerAddress:   address(1),
	}
})

func mergeAll(updates ...*pb.Member) map[string]*pb.Member {
	t := newTable()
	for _, u := range updates {
		t.apply(u, time.Time{})
	}
	out := map[string]*pb.Member{}
	for id, e := range t.entries {
		out[id] = e.member
	}
	return out
}

func sameEntries(a, b map[string]*pb.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for id, m := range a {
		if !proto.Equal(m, b[id]) {
			return false
		}
	}
	return true
}

// Guards against nodes that store different entries after the same updates in a
// different order or grouping, or with duplicates.
func TestMergeRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(memberGen, 1, 12).Draw(t, "updates")
		want := mergeAll(updates...)
		shuffled := rapid.Permutation(updates).Draw(t, "order")
		if !sameEntries(want, mergeAll(shuffled...)) {
			t.Fatal("result depends on the order of updates")
		}
		if !sameEntries(want, mergeAll(append(updates, shuffled...)...)) {
			t.Fatal("result changes with duplicate updates")
		}
		cut := rapid.IntRange(0, len(updates)).Draw(t, "cut")
		var group []*pb.Member
		for _, m := range mergeAll(updates[cut:]...) {
			group = append(group, m)
		}
		if !sameEntries(want, mergeAll(append(group, updates[:cut]...)...)) {
			t.Fatal("result depends on the grouping of updates")
		}
	})
}

// Guards against a larger burst after a pause: the bucket must not exceed its burst.
func TestBudgetHasNoBurstAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(7000, 14000)
		time.Sleep(time.Hour)
		sent := 0
		for b.take(classProbe, 100) {
			sent += 100
		}
		if sent > 14000 {
			t.Errorf("%d bytes at once after a pause, allowed 14000", sent)
		}
		if b.take(classSync, 1) {
			t.Error("budget allowed a sync message with an empty bucket")
		}
		// Half a second refills a quarter of the burst, less than the reserve of 40% that
		// classSync leaves.
		time.Sleep(500 * time.Millisecond)
		if b.take(classSync, 100) || !b.take(classProbe, 100) {
			t.Error("budget must reject a list comparison and allow a probe")
		}
	})
}

// Guards against old gossip that marks a dead node as alive, and against tombstones
// whose retention restarts whenever they are gossiped.
func TestTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAgent(Config{}, &pb.Member{NodeId: "self", Incarnation: 1, PeerAddress: address(0)}, nil, event.Discard())
		entry := func(status pb.MemberStatus, age time.Duration) *pb.Member {
			return &pb.Member{NodeId: "n1", Incarnation: 1, Status: status, PeerAddress: address(1), StatusAgeS: uint32(age / time.Second)}
		}
		a.Merge(entry(dead, 2*time.Hour))
		a.Merge(entry(alive, 0))
		if got := a.Members()[0].Status; got != dead {
			t.Fatalf("status %v after old gossip, want dead", got)
		}
		time.Sleep(time.Hour + time.Minute)
		a.sweep()
		if got := len(a.Members()); got != 1 {
			t.Fatalf("%d entries after the retention, want only the node itself", got)
		}
		a.Merge(entry(dead, 3*time.Hour+time.Minute))
		if got := len(a.Members()); got != 1 {
			t.Error("a tombstone past its retention was accepted")
		}
	})
}

package mesh

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// silentFor returns the gossip of a node that heard the members that long ago.
func silentFor(d time.Duration, members ...string) *gossip {
	dir := newDirectory("127.0.0.1:1", "d1", time.Now().Add(-d))
	for _, address := range members {
		dir.roster.Observe(0, roster.Status{
			Address: address, Incarnation: 1, Sequence: 1, Domain: "d2", Service: "s", Phase: roster.Serving, Upstream: roster.Upstream{ID: "u", Open: true, Limit: 4},
		})
	}
	return newGossip(dir, nil, event.Discard())
}

// missingRounds returns how many of the rounds to silent members tell the address.
func missingRounds(g *gossip, rounds int, address string) int {
	told := 0
	for range rounds {
		g.toldMissing = g.dir.now() - missingPeriod
		if slices.ContainsFunc(g.targets(toAll), func(t target) bool { return t.address == address }) {
			told++
		}
	}
	return told
}

// Regions part for an hour. Both sides go on telling each other, so that they meet
// within minutes of the return, at little cost until then.
func TestRegionsThatWereApartMeetAgain(t *testing.T) {
	g := silentFor(time.Hour, "127.0.0.1:2")
	const rounds = 1200
	if n := missingRounds(g, rounds, "127.0.0.1:2"); n < rounds/goneRounds/2 || n > rounds/goneRounds*2 {
		t.Errorf("told in %d of %d rounds, want about %d", n, rounds, rounds/goneRounds)
	}
	if n := missingRounds(silentFor(time.Minute, "127.0.0.1:2"), 10, "127.0.0.1:2"); n != 10 {
		t.Errorf("told in %d of 10 rounds after a minute", n)
	}
}

// A whole failure domain falls silent: what it costs to knock there is bounded, and no
// member is left out.
func TestKnocksAreBounded(t *testing.T) {
	var members []string
	for i := range 400 {
		members = append(members, fmt.Sprintf("127.0.1.%d:%d", i%200, 7000+i/200))
	}
	g := silentFor(time.Minute, members...)
	told := map[string]bool{}
	for range 200 {
		g.toldMissing = g.dir.now() - missingPeriod
		list := g.targets(toAll)
		if len(list) > silentPerRound {
			t.Fatalf("%d members are told in a round", len(list))
		}
		for _, m := range list {
			told[m.address] = true
		}
	}
	if len(told) != len(members) {
		t.Errorf("%d of %d members were told in 200 rounds", len(told), len(members))
	}
}

// Nobody sends requests to a node that is gone, not even when no other is left.
func TestGoneMembersGetNoRequests(t *testing.T) {
	for silence, want := range map[time.Duration]bool{time.Minute: true, time.Hour: false} {
		d := silentFor(silence, "127.0.0.1:2").dir
		if _, ok := d.Choose("s", "c", nil); ok != want {
			t.Errorf("silent for %v: chosen %v, want %v", silence, ok, want)
		}
	}
}

// Nodes are replaced every day. What is kept of those that are gone goes in the end,
// also from the registry.
func TestForgottenMembersAreUnregistered(t *testing.T) {
	g := silentFor(25*time.Hour, "127.0.0.1:2")
	g.targets(toNear)
	if g.dir.roster.Member("127.0.0.1:2") != nil {
		t.Fatal("the member is still known after 25 h")
	}
	store := newMemoryStore()
	n := &Node{gossip: g, dir: g.dir, ports: Ports{Registry: &access{memoryStore: store}, Events: event.Discard()}}
	for _, address := range []string{"127.0.0.1:2", "127.0.0.1:3"} {
		if err := n.ports.Registry.Register(context.Background(), address); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.unregister(ctx)
	await.Eventually(t, "the address leaves the registry", func() bool {
		left, err := n.ports.Registry.Addresses(ctx)
		return err == nil && slices.Equal(left, []string{"127.0.0.1:3"})
	})
}

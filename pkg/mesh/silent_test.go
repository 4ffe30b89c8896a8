package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/relay"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// gossipAfterSilence returns the gossip of a node whose members have sent no status for the
// given time.
func gossipAfterSilence(silence time.Duration, members ...string) *gossip {
	dir := newDirectory("127.0.0.1:1", "d1", time.Now().Add(-silence))
	for _, address := range members {
		dir.roster.Observe(0, roster.Status{
			Address: address, Incarnation: 1, Sequence: 1, Domain: "d2", Service: "s", Phase: roster.Serving, Upstream: roster.Upstream{ID: "u", Accepting: true, Limit: 4},
		})
	}
	return newGossip(dir, nil, event.Discard())
}

// countSendRounds returns in how many of the rounds the address receives a status.
func countSendRounds(g *gossip, rounds int, address string) int {
	sent := 0
	for range rounds {
		g.lastSilentRound = g.dir.now() - silentSendPeriod
		if slices.ContainsFunc(g.targets(toAll), func(t target) bool { return t.address == address }) {
			sent++
		}
	}
	return sent
}

// After a network partition of an hour between regions, both sides must find each other
// within minutes. Until then, they send each other statuses at a low rate.
func TestDownMembersStillGetStatuses(t *testing.T) {
	g := gossipAfterSilence(time.Hour, "127.0.0.1:2")
	g.intN = rand.New(rand.NewPCG(1, 2)).IntN
	const rounds = 1200
	if n := countSendRounds(g, rounds, "127.0.0.1:2"); n < rounds/downSendRounds/2 || n > rounds/downSendRounds*2 {
		t.Errorf("status sent in %d of %d rounds, want about %d", n, rounds, rounds/downSendRounds)
	}
	if n := countSendRounds(gossipAfterSilence(time.Minute, "127.0.0.1:2"), 10, "127.0.0.1:2"); n != 10 {
		t.Errorf("status sent in %d of 10 rounds after a minute", n)
	}
}

// When a whole failure domain becomes silent, the rate of statuses to it is bounded, and
// each of its members still receives statuses.
func TestStatusesToSilentMembersAreBounded(t *testing.T) {
	var members []string
	for i := range 400 {
		members = append(members, fmt.Sprintf("127.0.1.%d:%d", i%200, 7000+i/200))
	}
	g := gossipAfterSilence(time.Minute, members...)
	sent := map[string]bool{}
	for range 200 {
		g.lastSilentRound = g.dir.now() - silentSendPeriod
		list := g.targets(toAll)
		if len(list) > maxSilentPerRound {
			t.Fatalf("%d members receive a status in a round", len(list))
		}
		for _, m := range list {
			sent[m.address] = true
		}
	}
	if len(sent) != len(members) {
		t.Errorf("%d of %d members received a status in 200 rounds", len(sent), len(members))
	}
}

// A node that is down gets no requests, even if no other node is left.
func TestDownMembersGetNoRequests(t *testing.T) {
	for silence, want := range map[time.Duration]bool{time.Minute: true, time.Hour: false} {
		d := gossipAfterSilence(silence, "127.0.0.1:2").dir
		if _, ok := d.Choose(relay.Demand{Service: "s", Class: "c"}, nil); ok != want {
			t.Errorf("silent for %v: chosen %v, want %v", silence, ok, want)
		}
	}
}

// Nodes are replaced every day. Replaced nodes must be removed eventually, also from the
// registry.
func TestExpiredMembersAreUnregistered(t *testing.T) {
	g := gossipAfterSilence(25*time.Hour, "127.0.0.1:2")
	g.targets(toLocalSubscribers)
	if g.dir.roster.Member("127.0.0.1:2") != nil {
		t.Fatal("the member is still in the roster after 25 h")
	}
	store := newMemoryStore()
	n := &Node{gossip: g, dir: g.dir, deps: Dependencies{Registry: &storeClient{memoryStore: store}, Events: event.Discard()}}
	for _, address := range []string{"127.0.0.1:2", "127.0.0.1:3"} {
		if _, err := n.deps.Registry.Register(context.Background(), address); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.unregister(ctx)
	await.Eventually(t, "the address is removed from the registry", func() bool {
		left, err := n.deps.Registry.Registered(ctx)
		return err == nil && slices.Equal(left.Addresses, []string{"127.0.0.1:3"})
	})
}

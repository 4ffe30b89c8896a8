package membership

import (
	"testing"
	"time"
)

// Guards against overload of the first nodes: 200 nodes start within a second, and all
// discover the first nodes in the log. runFleetWith checks
// the byte limit of each node.
func TestFirstNodesStayWithinByteBudget(t *testing.T) {
	const nodes = 200
	runFleetWith(t, nodes, time.Second/nodes, true, func(fl *fleet) {
		fl.within(2*time.Minute, "all joined", func() bool { return fl.complete(nodes) })
	})
}

// Guards against a choice that prefers the members added first.
func TestRecentMemberFavoursLateMembers(t *testing.T) {
	const members, draws = 30, 3000
	a := agentWithMembers(members)
	drawn := map[string]int{}
	for range draws {
		drawn[a.recentMember().NodeId]++
	}
	first, last := drawn[fleetMember(1).NodeId], drawn[fleetMember(members).NodeId]
	// The last member wins each draw that includes it, so it is expected twice as often
	// as with uniform draws.
	if fair := draws / members; first > fair/4 || last < fair*3/2 {
		t.Errorf("first member drawn %d times and last %d of %d draws, with %d each if drawn uniformly", first, last, draws, fair)
	}
}

// Guards against members that are left out of a round of probes when popProbeOrder
// changes the order.
func TestProbeRoundIncludesAllMembers(t *testing.T) {
	const members = 30
	a := agentWithMembers(members)
	for range 3 {
		seen := map[string]bool{}
		for range members {
			seen[a.nextProbeTarget().NodeId] = true
		}
		if len(seen) != members {
			t.Errorf("round includes %d of %d members", len(seen), members)
		}
	}
}

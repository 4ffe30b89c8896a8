package membership

import (
	"context"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	alive   = pb.MemberStatus_MEMBER_STATUS_ALIVE
	suspect = pb.MemberStatus_MEMBER_STATUS_SUSPECT
	dead    = pb.MemberStatus_MEMBER_STATUS_DEAD
	left    = pb.MemberStatus_MEMBER_STATUS_LEFT
)

const (
	fleetSize = 40
	// partitionSize is smaller because one virtual hour with -race takes 12 s with 40
	// nodes and 5 s with 16.
	partitionSize = 10
	joinBound     = 2 * time.Minute
	// detectBound covers a few periods until the probe, the suspicion timeout of 6.4 s
	// with 40 nodes, and the dissemination.
	detectBound = 20 * time.Second
	// healBound covers the seconds until a probe of a dead member reaches the other
	// side, then list comparisons and refutations.
	healBound = 3 * time.Minute
)

// Guards against a crash that some nodes do not detect.
func TestCrashIsDetectedEverywhere(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[7].crash()
		fl.list = append(fl.list[:7], fl.list[8:]...)
		fl.within(detectBound, "crash detected by all nodes", func() bool { return fl.allHaveStatus("n007", dead) })
		if got := len(fl.list[0].agent.Service("katalog")); got != fleetSize-1 {
			t.Errorf("service lists %d members, want %d", got, fleetSize-1)
		}
	})
}

// Guards against healthy members being declared dead after a false suspicion.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		claim := &pb.Member{NodeId: "n009", Incarnation: 1, Status: suspect, PeerAddress: address(9), Service: "katalog"}
		fl.list[3].agent.Merge(claim)
		if fl.list[3].status("n009") != suspect {
			t.Fatal("the claim was not accepted")
		}
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, f := range fl.list {
				if f.status("n009") == dead {
					t.Fatalf("%s declared a healthy member dead", f.addr)
				}
			}
		}
		if !fl.allHaveStatus("n009", alive) {
			t.Error("the suspicion was not refuted everywhere within 30 s")
		}
	})
}

// Guards against a partition that does not heal after its sides marked each other as
// dead.
func TestPartitionHeals(t *testing.T) {
	runFleet(t, partitionSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(partitionSize) })
		side := map[string]bool{}
		for i := range partitionSize / 2 {
			side[address(i)] = true
		}
		fl.mu.Lock()
		fl.blocked = func(from, to string) bool { return side[from] != side[to] }
		fl.mu.Unlock()
		time.Sleep(time.Hour)
		if got := fl.list[0].agent.Size(); got != partitionSize/2 {
			t.Fatalf("node has %d members during the partition, want %d", got, partitionSize/2)
		}
		fl.mu.Lock()
		fl.blocked = func(string, string) bool { return false }
		fl.mu.Unlock()
		fl.within(healBound, "healed", func() bool { return fl.complete(partitionSize) })
	})
}

// Guards against a node that suspects others because of timers that expired while it
// was frozen, and against other nodes that keep the node marked as dead.
func TestFrozenNodeRejoinsWithoutFalseSuspicion(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		f := fl.list[5]
		f.freeze()
		time.Sleep(time.Minute)
		if fl.list[0].status("n005") != dead {
			t.Fatal("the frozen node was not declared dead")
		}
		before := f.agent.metrics.suspects.Count()
		f.thaw()
		time.Sleep(3 * time.Second)
		if got := f.agent.metrics.suspects.Count(); got != before {
			t.Errorf("node suspected %d members after it resumed", got-before)
		}
		if f.agent.metrics.pauses.Count() == 0 {
			t.Error("node did not detect the pause")
		}
		fl.within(time.Minute, "alive again", func() bool { return fl.complete(fleetSize) })
	})
}

// Guards against the entry of an old incarnation that outlives a restart of the node.
func TestRestartedNodeReplacesOldEntry(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[4].crash()
		fl.list[4] = fl.start(4, "n004", 2)
		fl.within(time.Minute, "new incarnation received by all nodes", func() bool {
			for _, f := range fl.list {
				for _, m := range f.agent.Service("katalog") {
					if m.NodeId == "n004" && m.Incarnation != 2 {
						return false
					}
				}
			}
			return fl.complete(fleetSize)
		})
	})
}

// Guards against a new node at a reused address whose responses keep the old node
// alive in the list.
func TestReusedAddressDoesNotKeepOldNodeAlive(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[4].crash()
		fl.list[4] = fl.start(4, "other", 2)
		fl.within(time.Minute, "old node dead", func() bool {
			return fl.allHaveStatus("n004", dead) && fl.allHaveStatus("other", alive)
		})
	})
}

// Guards against slow joins when many nodes contact a single seed at once. When the
// seed rejected pages, the joins took 86 s.
func TestManyNodesJoinAtOnce(t *testing.T) {
	runStaggeredFleet(t, 100, 0, func(fl *fleet) {
		fl.within(time.Minute, "100 joined", func() bool { return fl.complete(100) })
	})
}

// logJoinBound is longer than the target of 15 s, which about one run in 100 misses
// by chance.
const logJoinBound = 20 * time.Second

// minuteByteLimit is the control budget of a minute without the burst.
const minuteByteLimit = 7000 * 60

// Guards against nodes that start together and stay in separate groups, and against
// first contacts that exceed a node's budget.
func TestNodesDiscoverEachOtherThroughLog(t *testing.T) {
	const n = 100
	runFleetWith(t, n, time.Second/n, true, func(fl *fleet) {
		fl.within(logJoinBound, "all joined", func() bool { return fl.complete(n) })
		time.Sleep(45 * time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, f := range fl.list {
			if f.bytes > minuteByteLimit {
				t.Errorf("%s used %d bytes in the first minute, allowed %d", f.addr, f.bytes, minuteByteLimit)
			}
		}
	})
}

// Guards against requests sent to a draining or leaving node: its peers must receive
// the change at once.
func TestLeaveAndDrainSpread(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[6].agent.UpdateSelf(func(m *pb.Member) { m.UpstreamState = pb.UpstreamState_UPSTREAM_STATE_DRAINING })
		fl.within(3*time.Second, "drain received by all nodes", func() bool {
			for _, f := range fl.list {
				for _, m := range f.agent.Service("katalog") {
					if m.NodeId == "n006" && m.UpstreamState != pb.UpstreamState_UPSTREAM_STATE_DRAINING {
						return false
					}
				}
			}
			return true
		})
		fl.list[6].agent.Leave(context.Background())
		fl.within(5*time.Second, "leave received by all nodes", func() bool { return fl.allHaveStatus("n006", left) })
	})
}

func (fl *fleet) allOnVersion(v uint64) bool {
	for _, f := range fl.list {
		if f.agent.Self().ConfigVersion != v {
			return false
		}
	}
	return true
}

// Guards against a configuration version that reaches some nodes late.
func TestConfigVersionSpreads(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[3].agent.UpdateSelf(func(m *pb.Member) { m.ConfigVersion = 1 })
		fl.within(5*time.Second, "version installed by all nodes", func() bool { return fl.allOnVersion(1) })
	})
}

// Guards against a configuration that a node cannot fetch because frequent probes use up the
// budget.
func TestFrequentProbesLeaveBudgetForFetches(t *testing.T) {
	const snapshotBytes, checkInterval, bound = 2000, 500 * time.Millisecond, 5 * time.Second
	net := newNetwork()
	net.period = 50 * time.Millisecond
	runFleetOn(t, net, 3, time.Second, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(3) })
		last, longest := time.Now(), time.Duration(0)
		for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); {
			time.Sleep(jitter(checkInterval))
			if fl.list[1].agent.AllowFetch() && fl.list[0].agent.AllowServe(snapshotBytes) {
				fl.list[1].agent.ChargeFetch(snapshotBytes)
				last = time.Now()
			}
			longest = max(longest, time.Since(last))
		}
		if longest > bound {
			t.Errorf("no fetch was possible for %v, want at most %v", longest, bound)
		}
	})
}

// Guards against a suspicion caused by a single broken path: an indirect probe through
// another member must succeed.
func TestIndirectProbeAvoidsSuspicion(t *testing.T) {
	runFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.mu.Lock()
		fl.blocked = func(from, to string) bool { return from == address(2) && to == address(8) }
		fl.mu.Unlock()
		before := fl.list[2].agent.metrics.suspects.Count()
		time.Sleep(5 * time.Minute)
		if got := fl.list[2].agent.metrics.suspects.Count(); got != before {
			t.Errorf("%d suspicions for one broken path", got-before)
		}
	})
}

// wrongResponder responds to each probe with the id of another node.
type wrongResponder struct{ unreachableTransport }

func (wrongResponder) Ping(context.Context, string, *pb.PingRequest) (*pb.PingResponse, error) {
	return &pb.PingResponse{Responder: &pb.Member{NodeId: "other", Incarnation: 1, Status: alive, PeerAddress: address(1)}}, nil
}

// Guards against a response from another node that is accepted for the probed node.
func TestPingRejectsResponseFromOtherNode(t *testing.T) {
	a := singleAgent()
	a.transport = wrongResponder{}
	target := &pb.Member{NodeId: "n1", Incarnation: 1, Status: alive, PeerAddress: address(1)}
	if err := a.ping(context.Background(), classProbe, target, 1); err != ErrWrongTarget {
		t.Errorf("got %v, want %v", err, ErrWrongTarget)
	}
}

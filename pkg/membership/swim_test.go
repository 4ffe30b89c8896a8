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
	// partitionSize is smaller, since an hour of 40 nodes takes 12 s with -race and of 16 takes 5 s.
	partitionSize = 10
	joinBound     = 2 * time.Minute
	// detectBound: a few periods to be probed, the suspicion timeout of 6.4 s at
	// 40 nodes, and the spread.
	detectBound = 20 * time.Second
	// healBound: probes of dead members meet within seconds; comparing lists and
	// refuting what the other side believed takes the rest.
	healBound = 3 * time.Minute
)

// Guards against a crash that stays unnoticed by part of the fleet.
func TestCrashIsDetectedEverywhere(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[7].crash()
		fl.list = append(fl.list[:7], fl.list[8:]...)
		fl.within(detectBound, "crash known", func() bool { return fl.allSee("n007", dead) })
		if got := len(fl.list[0].agent.Service("katalog")); got != fleetSize-1 {
			t.Errorf("service lists %d members, want %d", got, fleetSize-1)
		}
	})
}

// Guards against healthy members being declared dead after a false suspicion.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
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
		if !fl.allSee("n009", alive) {
			t.Error("the suspicion was not refuted everywhere within 30 s")
		}
	})
}

// Guards against two sides of a partition that never find each other again.
func TestPartitionHeals(t *testing.T) {
	inFleet(t, partitionSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(partitionSize) })
		side := map[string]bool{}
		for i := range partitionSize / 2 {
			side[address(i)] = true
		}
		fl.mu.Lock()
		fl.cut = func(from, to string) bool { return side[from] != side[to] }
		fl.mu.Unlock()
		time.Sleep(time.Hour)
		if got := fl.list[0].agent.Size(); got != partitionSize/2 {
			t.Fatalf("during the partition a node sees %d members, want %d", got, partitionSize/2)
		}
		fl.mu.Lock()
		fl.cut = func(string, string) bool { return false }
		fl.mu.Unlock()
		fl.within(healBound, "healed", func() bool { return fl.complete(partitionSize) })
	})
}

// Guards against a node that declares others dead by timers that ran out while
// it was frozen, and against one that stays dead for the others.
func TestFrozenNodeWakes(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		f := fl.list[5]
		f.freeze()
		time.Sleep(time.Minute)
		if fl.list[0].status("n005") != dead {
			t.Fatal("the frozen node was not declared dead")
		}
		before := f.agent.meters.suspects.Count()
		f.thaw()
		time.Sleep(3 * time.Second)
		if got := f.agent.meters.suspects.Count(); got != before {
			t.Errorf("the woken node suspected %d members", got-before)
		}
		if f.agent.meters.pauses.Count() == 0 {
			t.Error("the pause was not noticed")
		}
		fl.within(time.Minute, "alive again", func() bool { return fl.complete(fleetSize) })
	})
}

// Guards against an old incarnation that hides a restarted node.
func TestRestartedNodeReplacesOldEntry(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[4].crash()
		fl.list[4] = fl.start(4, "n004", 2)
		fl.within(time.Minute, "restarted node known", func() bool {
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

// Guards against a new node at a reused address that keeps the old one alive.
func TestReusedAddressDoesNotAnswerForOldNode(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[4].crash()
		fl.list[4] = fl.start(4, "other", 2)
		fl.within(time.Minute, "old node dead", func() bool {
			return fl.allSee("n004", dead) && fl.allSee("other", alive)
		})
	})
}

// Guards against a burst of joins that a single seed cannot serve: with refused
// pages, it took 86 s.
func TestManyNodesJoinAtOnce(t *testing.T) {
	inStaggeredFleet(t, 100, 0, func(fl *fleet) {
		fl.within(time.Minute, "100 joined", func() bool { return fl.complete(100) })
	})
}

// logJoinBound is above the goal of 15 s, which about one run in 100 misses by
// chance.
const logJoinBound = 20 * time.Second

// minuteCap is the control budget of a minute, without a burst on top.
const minuteCap = 7000 * 60

// Guards against nodes that start together and stay in small groups, and against
// a first contact that costs a node more than its budget.
func TestNodesFindEachOtherThroughLog(t *testing.T) {
	const n = 100
	inFleetVia(t, n, time.Second/n, true, func(fl *fleet) {
		fl.within(logJoinBound, "all joined", func() bool { return fl.complete(n) })
		time.Sleep(45 * time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for _, f := range fl.list {
			if f.bytes > minuteCap {
				t.Errorf("%s used %d bytes in the first minute, allowed %d", f.addr, f.bytes, minuteCap)
			}
		}
	})
}

// Guards against new work being sent to a leaving node: peers learn of it at once.
func TestLeaveAndDrainSpread(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[6].agent.UpdateSelf(func(m *pb.Member) { m.UpstreamState = pb.UpstreamState_UPSTREAM_STATE_DRAINING })
		fl.within(3*time.Second, "drain known", func() bool {
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
		fl.within(5*time.Second, "leave known", func() bool { return fl.allSee("n006", left) })
	})
}

func (fl *fleet) onVersion(v uint64) bool {
	for _, f := range fl.list {
		if f.agent.Self().ConfigVersion != v {
			return false
		}
	}
	return true
}

// Guards against a configuration that reaches part of the fleet late.
func TestConfigVersionSpreads(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.list[3].agent.UpdateSelf(func(m *pb.Member) { m.ConfigVersion = 1 })
		fl.within(5*time.Second, "version known", func() bool { return fl.onVersion(1) })
	})
}

// Guards against a suspicion that only one broken path causes: members that
// reach the target answer for it.
func TestIndirectProbeAvoidsSuspicion(t *testing.T) {
	inFleet(t, fleetSize, func(fl *fleet) {
		fl.within(joinBound, "all joined", func() bool { return fl.complete(fleetSize) })
		fl.mu.Lock()
		fl.cut = func(from, to string) bool { return from == address(2) && to == address(8) }
		fl.mu.Unlock()
		before := fl.list[2].agent.meters.suspects.Count()
		time.Sleep(5 * time.Minute)
		if got := fl.list[2].agent.meters.suspects.Count(); got != before {
			t.Errorf("%d suspicions for one broken path", got-before)
		}
	})
}

// impostor answers each probe as another node.
type impostor struct{ silent }

func (impostor) Ping(context.Context, string, *pb.PingRequest) (*pb.PingResponse, error) {
	return &pb.PingResponse{Responder: &pb.Member{NodeId: "other", Incarnation: 1, Status: alive, PeerAddress: address(1)}}, nil
}

// Guards against an answer of a different node that counts for the probed one.
func TestAnswerOfOtherNodeIsRefused(t *testing.T) {
	a := loneAgent()
	a.transport = impostor{}
	target := &pb.Member{NodeId: "n1", Incarnation: 1, Status: alive, PeerAddress: address(1)}
	if err := a.ping(context.Background(), classProbe, target, 1); err != ErrWrongTarget {
		t.Errorf("got %v, want %v", err, ErrWrongTarget)
	}
}

package membership

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// fleetMember returns an entry of typical size in a large fleet.
func fleetMember(i int) *pb.Member {
	return &pb.Member{
		NodeId: fmt.Sprintf("service%d-%d", i%45, i), Incarnation: 1796377119547575, Sequence: 3, Status: alive,
		PeerAddress: address(i), AdminAddress: address(i), Region: fmt.Sprintf("region-%d", i%4),
		FailureDomain: fmt.Sprintf("domain-%d", i%9), Service: fmt.Sprintf("service%d", i%45),
		UpstreamState: pb.UpstreamState_UPSTREAM_STATE_READY, Slots: 10, ConfigVersion: 7,
	}
}

// agentWithMembers returns an agent with n other members in its list.
func agentWithMembers(n int) *Agent {
	a := singleAgent()
	for i := 1; i <= n; i++ {
		a.Merge(fleetMember(i))
	}
	return a
}

var benchSizes = []int{10, 100, 1000, 1600}

// BenchmarkHeap reports the heap of an agent per member in its list.
func BenchmarkHeap(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const agents = 10
			for b.Loop() {
				var kept [agents]*Agent
				before := heap()
				for i := range kept {
					kept[i] = agentWithMembers(n)
				}
				b.ReportMetric(float64(heap()-before)/agents/float64(n), "heapB/member")
				if kept[agents-1].Size() != n+1 {
					b.Fatal("members are missing")
				}
			}
		})
	}
}

// BenchmarkPing reports the time to handle a probe with 8 updates, without HTTP.
func BenchmarkPing(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := agentWithMembers(n)
			req := &pb.PingRequest{Sender: fleetMember(1)}
			for i := range maxUpdates {
				req.Updates = append(req.Updates, fleetMember(i+1))
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = a.HandlePing(req)
			}
		})
	}
}

// BenchmarkSync reports the time to compute digests and to handle a comparison of
// equal lists, without HTTP.
func BenchmarkSync(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := agentWithMembers(n)
			b.ReportAllocs()
			for b.Loop() {
				req := &pb.SyncRequest{Limit: maxPageEntries, Digests: a.digests(bucketCount(a.Size()))}
				a.page(req, maxPageEntries*typicalMemberBytes)
			}
		})
	}
}

const (
	// largeFleet is limited by the real time that the test takes. lostDomainSize is the
	// size of a failure domain with 1,600 nodes in 9 domains.
	largeFleet        = 400
	lostDomainSize    = 178
	partitionDuration = time.Hour
	// partitionFleet is smaller because one virtual hour of 400 nodes took more than
	// 60 s.
	partitionFleet = 100
)

// TestMeasureLoss prints how long a fleet takes to detect the loss of a failure domain
// and to heal after a partition of an hour, and the bytes that nodes use meanwhile.
func TestMeasureLoss(t *testing.T) {
	if !*measure {
		t.Skip("prints measurements with -measure")
	}
	t.Run("domain", func(t *testing.T) {
		runFleetWith(t, largeFleet, time.Second/largeFleet, true, func(fl *fleet) {
			fl.within(10*time.Minute, "all joined", func() bool { return fl.complete(largeFleet) })
			time.Sleep(time.Minute)
			for _, f := range fl.list[largeFleet-lostDomainSize:] {
				f.crash()
			}
			fl.list = fl.list[:largeFleet-lostDomainSize]
			before, _ := fl.totals()
			start := time.Now()
			fl.within(10*time.Minute, "first node detected all crashes", func() bool {
				for _, f := range fl.list {
					if f.agent.Size() == len(fl.list) {
						return true
					}
				}
				return false
			})
			fl.within(10*time.Minute, "all nodes detected all crashes", func() bool { return fl.complete(len(fl.list)) })
			after, _ := fl.totals()
			t.Logf("RESULT %.0f bytes/s per node until all nodes detected the loss", float64(after-before)/time.Since(start).Seconds()/float64(len(fl.list)))
		})
	})
	t.Run("partition", func(t *testing.T) {
		runFleetWith(t, partitionFleet, time.Second/partitionFleet, true, func(fl *fleet) {
			fl.within(10*time.Minute, "all joined", func() bool { return fl.complete(partitionFleet) })
			side := map[string]bool{}
			for i := range partitionFleet / 4 {
				side[address(i)] = true
			}
			fl.mu.Lock()
			fl.blocked = func(from, to string) bool { return side[from] != side[to] }
			fl.mu.Unlock()
			fl.within(partitionDuration, "both sides detected the partition", func() bool {
				return fl.list[0].agent.Size() == partitionFleet/4 && fl.list[partitionFleet-1].agent.Size() == 3*partitionFleet/4
			})
			time.Sleep(partitionDuration)
			fl.mu.Lock()
			fl.blocked = func(string, string) bool { return false }
			fl.mu.Unlock()
			before, _ := fl.totals()
			start := time.Now()
			fl.within(30*time.Minute, "healed", func() bool { return fl.complete(partitionFleet) })
			after, _ := fl.totals()
			t.Logf("RESULT %.0f bytes/s per node until the partition healed", float64(after-before)/time.Since(start).Seconds()/partitionFleet)
		})
	})
}

package membership

import (
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

var measure = flag.Bool("measure", false, "print the cost of control messages in fleets of several sizes")

// measureTime is the virtual time over which a fleet is measured after all nodes
// joined.
const measureTime = 10 * time.Minute

// startInterval keeps the joins of 160 nodes through one address within the budget of
// the node at that address. When all joined at once, that node used 110,621 bytes in
// 10 s, with a limit of 87,600.
const startInterval = 250 * time.Millisecond

// TestMeasureControl prints the cost per node in fleets on the fake transport, for the
// capacity page. Besides the joins and one version update, it checks only the byte
// limit.
func TestMeasureControl(t *testing.T) {
	if !*measure {
		t.Skip("prints measurements with -measure")
	}
	for _, n := range []int{10, 20, 40, 80, 160} {
		t.Run(fmt.Sprintf("nodes=%d", n), func(t *testing.T) {
			before := heap()
			runStaggeredFleet(t, n, startInterval, func(fl *fleet) {
				fl.within(10*time.Minute, "all joined", func() bool { return fl.complete(n) })
				time.Sleep(time.Minute)
				heapPerMember := float64(heap()-before) / float64(n*n)
				bytes, messages := fl.totals()
				cpu := cpuTime()
				time.Sleep(measureTime)
				cpu = cpuTime() - cpu
				bytesAfter, messagesAfter := fl.totals()
				perNode := measureTime.Seconds() * float64(n)
				t.Logf("RESULT | %d | %.0f | %.2f | %.0f | %.0f |", n, float64(bytesAfter-bytes)/perNode, float64(messagesAfter-messages)/perNode,
					heapPerMember, float64(cpu.Microseconds())/perNode)
				fl.list[0].agent.UpdateSelf(func(m *pb.Member) { m.ConfigVersion = 1 })
				fl.within(8*time.Second, "version installed by all nodes", func() bool { return fl.allOnVersion(1) })
			})
		})
	}
}

// totals returns the bytes and the messages that all nodes sent and received.
func (fl *fleet) totals() (bytes, messages int64) {
	for _, f := range fl.list {
		m := f.agent.metrics
		bytes += m.bytesIn.Count() + m.bytesOut.Count()
		messages += m.messagesIn.Count() + m.messagesOut.Count()
	}
	return bytes, messages
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

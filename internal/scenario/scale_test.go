package scenario

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// planBytes is the size of the plan in each proposal.
const planBytes = 1000

// replayed returns the replayed state after the given number of confirmed versions.
func replayed(b *testing.B, services, versions int) *configlog.Replay {
	r := configlog.NewReplay(nil)
	offset := uint64(0)
	apply := func(rec *pb.Record) {
		data, err := configlog.EncodeRecord(rec)
		if err != nil {
			b.Fatal(err)
		}
		if err := r.Apply(offset, data); err != nil {
			b.Fatal(err)
		}
		offset++
	}
	for v := range versions {
		id := fmt.Sprintf("9afd3ae0-0434-470b-a5ae-%012d", v)
		apply(&pb.Record{Id: id, Body: &pb.Record_Proposal{Proposal: &pb.Proposal{
			BaseVersion: uint64(v), IntentYaml: scaleIntent(services, 10+v), PlanDigest: fmt.Sprintf("%064d", v), Operator: "scale",
			TimeUnixMs: 1796377119547, PlanJson: fmt.Sprintf("%0*d", planBytes, v),
		}}})
		apply(&pb.Record{Id: id + "c", Body: &pb.Record_Confirmation{Confirmation: &pb.Confirmation{
			ProposalId: id, PlanDigest: fmt.Sprintf("%064d", v), Operator: "scale", TimeUnixMs: 1796377119547,
		}}})
	}
	return r
}

// BenchmarkSnapshot reports the size of the snapshot that a node sends to a peer
// after a number of versions, and the heap size of the replayed state.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range []int{3, 15, 45} {
		for _, versions := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("services=%d/versions=%d", services, versions), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					r := replayed(b, services, versions)
					b.ReportMetric(float64(heapBytes()-before), "heapB")
					state := r.State()
					if state.Version != uint64(versions) {
						b.Fatalf("version %d, want %d", state.Version, versions)
					}
					b.ReportMetric(float64(proto.Size(state)), "snapshotB")
				}
			})
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

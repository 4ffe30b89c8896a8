package configlog_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// Guards against a node that reaches a different state through a peer's records than
// through the log. This includes checkpoints, which peers send without their state.
func TestPeerRecordsGiveSameState(t *testing.T) {
	l := &fakeLog{}
	source, target := newReplica(l), newReplica(&fakeLog{})
	for v := range uint64(200) {
		id := fmt.Sprint("p", v)
		mustAppend(t, source, proposal(id, v, intentYAML(int(v)+1)), confirmation(fmt.Sprint("c", v), id))
		if v%50 == 10 {
			mustAppend(t, source, checkpoint(fmt.Sprint("k", v), source.Current().State))
		}
		records := source.RecordsFrom(target.NextOffset())
		if len(records) == 0 {
			t.Fatalf("version %d: no records from offset %d", v+1, target.NextOffset())
		}
		if size := totalBytes(records); size > 4096 {
			t.Fatalf("version %d: %d bytes for one change", v+1, size)
		}
		if err := target.MergeRecords(source.LogHistory(), records); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(target.Current().State, source.Current().State) {
			t.Fatalf("version %d: states differ", v+1)
		}
	}
}

func totalBytes(records []configlog.Entry) int {
	n := 0
	for _, r := range records {
		n += len(r.Data)
	}
	return n
}

// Guards against records from a peer that leave a gap. They must not change the
// state.
func TestMergeRecordsRejectsGap(t *testing.T) {
	source, target := newReplica(&fakeLog{}), newReplica(&fakeLog{})
	mustAppend(t, source, proposal("p", 0, intentYAML(1)), confirmation("c", "p"))
	records := source.RecordsFrom(1)
	if len(records) != 1 {
		t.Fatalf("%d records from offset 1, want 1", len(records))
	}
	if err := target.MergeRecords(source.LogHistory(), records); err == nil {
		t.Error("a gap was accepted")
	}
	if target.NextOffset() != 0 || target.Current().Version != 0 {
		t.Errorf("offset %d, version %d after a gap, want 0 and 0", target.NextOffset(), target.Current().Version)
	}
	if got := source.RecordsFrom(2); got != nil {
		t.Errorf("%d records past the end", len(got))
	}
}

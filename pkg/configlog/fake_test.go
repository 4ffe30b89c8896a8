package configlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// fakeLog is an in-memory log with injectable faults.
type fakeLog struct {
	mu       sync.Mutex
	earliest uint64
	records  [][]byte
	// history grows when update takes records away, as a restore from an earlier copy does.
	history uint64
	appends int

	down         bool
	delay        time.Duration
	loseResponse func() bool
	// staleBy returns the number of newest records to hide from a read.
	staleBy func() int
}

func (l *fakeLog) simulateFault(ctx context.Context, timeoutErr error) error {
	l.mu.Lock()
	delay, down := l.delay, l.down
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", timeoutErr, ctx.Err())
		case <-time.After(delay):
		}
	}
	if down {
		return configlog.ErrUnavailable
	}
	return nil
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (uint64, error) {
	if err := l.simulateFault(ctx, configlog.ErrOutcomeUnknown); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.records = append(l.records, data)
	if l.loseResponse != nil && l.loseResponse() {
		return 0, configlog.ErrOutcomeUnknown
	}
	return l.earliest + uint64(len(l.records)) - 1, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int) (configlog.Batch, error) {
	if err := l.simulateFault(ctx, configlog.ErrUnavailable); err != nil {
		return configlog.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := len(l.records)
	if l.staleBy != nil {
		visible = max(0, visible-l.staleBy())
	}
	b := configlog.Batch{Earliest: l.earliest, End: l.earliest + uint64(visible), History: 1 + l.history}
	for o := max(from, l.earliest); o < b.End && len(b.Entries) < limit; o++ {
		b.Entries = append(b.Entries, configlog.Entry{Offset: o, Data: l.records[o-l.earliest]})
	}
	return b, nil
}

// expire drops all records below the offset.
func (l *fakeLog) expire(below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[below-l.earliest:]
	l.earliest = below
}

func (l *fakeLog) update(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.earliest + uint64(len(l.records))
	change(l)
	if l.earliest+uint64(len(l.records)) < end {
		l.history++
	}
}

func (l *fakeLog) checkpoints() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, data := range l.records {
		if rec, err := configlog.DecodeRecord(data); err == nil && rec.GetCheckpoint() != nil {
			count++
		}
	}
	return count
}

func newReplica(l configlog.Log) *configlog.Replica {
	return configlog.NewReplica(l, event.Discard())
}

func intentYAML(worth int) string {
	return fmt.Sprintf(`services: [{name: katalog}]
ranks: [{name: booking, target_ms: 200, worth: %d, reserve_percent: 30}]
probing: {fleet_probes_per_second: 1, max_nodes: 1}
network: {caller_one_way_ms: 3, domain_one_way_ms: 0.5}
`, worth)
}

func proposal(id string, base uint64, yaml string) *pb.Record {
	return &pb.Record{Id: id, Body: &pb.Record_Proposal{Proposal: &pb.Proposal{
		BaseVersion: base, IntentYaml: yaml, PlanDigest: "digest-" + id, Operator: "op-" + id,
	}}}
}

func confirmation(id, proposalID string) *pb.Record {
	return &pb.Record{Id: id, Body: &pb.Record_Confirmation{Confirmation: &pb.Confirmation{
		ProposalId: proposalID, PlanDigest: "digest-" + proposalID, Operator: "op-" + id,
	}}}
}

func drainOrder(id, node string, drain bool) *pb.Record {
	return &pb.Record{Id: id, Body: &pb.Record_DrainOrder{DrainOrder: &pb.DrainOrder{
		NodeId: node, Drain: drain, Operator: "op",
	}}}
}

func checkpoint(id string, state *pb.ConfigState) *pb.Record {
	return &pb.Record{Id: id, Body: &pb.Record_Checkpoint{Checkpoint: &pb.Checkpoint{State: state}}}
}

func encode(t interface{ Fatal(...any) }, rec *pb.Record) []byte {
	data, err := configlog.EncodeRecord(rec)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// mustAppend appends records through the replica and fails the test on an error.
func mustAppend(t *testing.T, replica *configlog.Replica, records ...*pb.Record) {
	t.Helper()
	for _, rec := range records {
		if err := replica.Append(t.Context(), rec); err != nil {
			t.Fatal(err)
		}
	}
}

// advanceTo confirms new versions until the given one is active.
func advanceTo(t *testing.T, replica *configlog.Replica, version uint64) {
	t.Helper()
	for v := replica.Current().Version; v < version; v++ {
		id := fmt.Sprintf("p%d", v)
		mustAppend(t, replica, proposal(id, v, intentYAML(int(v)+1)), confirmation("c"+id, id))
	}
	if got := replica.Current().Version; got != version {
		t.Fatalf("active version %d, want %d", got, version)
	}
}

// onceIn returns a function that is true once in n calls on average.
func onceIn(rng *rand.Rand, n int) func() bool {
	return func() bool { return rng.IntN(n) == 0 }
}

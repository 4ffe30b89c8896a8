package configlog_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
)

// Guards against confirmations that are applied to another version than the one
// that their plan is based on.
func TestConfirmation(t *testing.T) {
	base := []*pb.Record{proposal("p1", 0, "a"), proposal("p2", 0, "b")}
	for _, tc := range []struct {
		desc    string
		records []*pb.Record
		version uint64
		detail  string
	}{
		{"first confirmation", []*pb.Record{confirmation("c1", "p1")}, 1, ""},
		{"same record twice", []*pb.Record{confirmation("c1", "p1"), confirmation("c1", "p1")}, 1, ""},
		{"second of two conflicting confirmations", []*pb.Record{confirmation("c1", "p1"), confirmation("c2", "p2")}, 1, "confirmed by op-c1"},
		{"same proposal twice", []*pb.Record{confirmation("c1", "p1"), confirmation("c2", "p1")}, 1, "confirmed by op-c1"},
		{"unknown proposal", []*pb.Record{confirmation("c1", "p9")}, 0, "no such proposal"},
		{"stale proposal", []*pb.Record{confirmation("c1", "p1"), proposal("p3", 0, "c"), confirmation("c3", "p3")}, 1, "confirmed by op-c1"},
		{"second version", []*pb.Record{confirmation("c1", "p1"), proposal("p3", 1, "c"), confirmation("c3", "p3")}, 2, ""},
		{"wrong digest", []*pb.Record{{Id: "c1", Body: &pb.Record_Confirmation{
			Confirmation: &pb.Confirmation{ProposalId: "p1", PlanDigest: "x", Operator: "o"}}}}, 0, "digest"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := configlog.NewReplay(nil)
			for i, rec := range append(base[:2:2], tc.records...) {
				if err := r.Apply(uint64(i), encode(t, rec)); err != nil {
					t.Fatal(err)
				}
			}
			state := r.State()
			last := state.Audit[len(state.Audit)-1]
			if state.Version != tc.version || !strings.Contains(last.Detail, tc.detail) {
				t.Errorf("version %d, detail %q", state.Version, last.Detail)
			}
			if (last.Outcome == configlog.OutcomeRefused) != (tc.detail != "") {
				t.Errorf("outcome %q with detail %q", last.Outcome, last.Detail)
			}
			for _, p := range state.Pending {
				if p.Proposal.BaseVersion != state.Version {
					t.Errorf("stale proposal %s is still pending", p.Id)
				}
			}
		})
	}
}

// Guards against a state that no longer fits in a checkpoint record or in a message
// between peers after many large changes.
func TestStateStaysBounded(t *testing.T) {
	const peerMessageBytes = 4 << 20
	r := configlog.NewReplay(nil)
	long := strings.Repeat("n", configlog.MaxNameBytes-8)
	large := strings.Repeat("x", configlog.MaxIntentBytes)
	offset := uint64(0)
	apply := func(rec *pb.Record) {
		if err := r.Apply(offset, encode(t, rec)); err != nil {
			t.Fatal(err)
		}
		offset++
	}
	for v := range uint64(700) {
		yaml := large[:100]
		if v%50 == 0 || v > 690 {
			yaml = large
		}
		p := proposal(fmt.Sprintf("%s%d", long, v), v, yaml)
		p.GetProposal().Operator = long
		p.GetProposal().PlanJson = large[:configlog.MaxPlanBytes]
		p.GetProposal().PlanDigest = long
		apply(p)
		apply(drainOrder(fmt.Sprintf("d%s%d", long[1:], v), fmt.Sprintf("%s%d", long, v), true))
		c := confirmation(fmt.Sprintf("c%s%d", long[1:], v), p.Id)
		c.GetConfirmation().PlanDigest, c.GetConfirmation().Operator = long, long
		if v < 699 {
			apply(c)
		}
	}
	state := r.State()
	if state.Version != 699 {
		t.Fatalf("version %d", state.Version)
	}
	if size := proto.Size(state); size > peerMessageBytes/2 {
		t.Errorf("state has %d bytes", size)
	} else {
		t.Logf("state has %d bytes, %d audit entries, %d versions", size, len(state.Audit), len(state.History))
	}
	encode(t, checkpoint("k", state))
}

// drawRecord draws a record that often refers to another one or repeats its id, or
// bytes that are not a record.
func drawRecord(t *rapid.T, i int) []byte {
	id := fmt.Sprintf("r%d", rapid.IntRange(0, 12).Draw(t, "id"))
	other := fmt.Sprintf("r%d", rapid.IntRange(0, 12).Draw(t, "other"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0, 1:
		return encode(t, proposal(id, uint64(rapid.IntRange(0, 3).Draw(t, "base")), intentYAML(i+1)))
	case 2:
		return encode(t, confirmation(id, other))
	case 3:
		return encode(t, drainOrder(id, other, rapid.Bool().Draw(t, "drain")))
	default:
		return rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "garbage")
	}
}

// drawLog draws records and inserts checkpoints, some with a state that is one record
// old.
func drawLog(t *rapid.T) [][]byte {
	var records [][]byte
	r := configlog.NewReplay(nil)
	add := func(data []byte) {
		_ = r.Apply(uint64(len(records)), data)
		records = append(records, data)
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		add(drawRecord(t, i))
		if rapid.IntRange(0, 5).Draw(t, "checkpoint") == 0 {
			state := r.State()
			if lag := rapid.IntRange(0, 2).Draw(t, "lag"); lag > 0 {
				add(drawRecord(t, 100+i))
			}
			add(encode(t, checkpoint(fmt.Sprintf("k%d", i), state)))
		}
	}
	return records
}

// replayWithRestarts applies the records. At drawn points it continues with a new
// replay from the result of restart, as a node does that starts from a checkpoint or
// a snapshot.
func replayWithRestarts(t *rapid.T, records [][]byte, restart func(*pb.ConfigState) *pb.ConfigState) *pb.ConfigState {
	r := configlog.NewReplay(nil)
	for i, data := range records {
		_ = r.Apply(uint64(i), data)
		if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
			r = configlog.NewReplay(restart(r.State()))
		}
	}
	return r.State()
}

func roundTrip(s *pb.ConfigState) *pb.ConfigState {
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	out := &pb.ConfigState{}
	if err := proto.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

// Guards against nodes that reach different states from the same records, for
// example after a restart from a checkpoint or a snapshot.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawLog(t)
		want := replayWithRestarts(t, records, func(s *pb.ConfigState) *pb.ConfigState { return s })
		if got := replayWithRestarts(t, records, roundTrip); !proto.Equal(got, want) {
			t.Fatalf("restarted replay differs:\n%v\n%v", got, want)
		}
		for i, data := range records {
			rec, err := configlog.DecodeRecord(data)
			if err != nil || rec.GetCheckpoint() == nil {
				continue
			}
			state := rec.GetCheckpoint().GetState()
			r := configlog.NewReplay(roundTrip(state))
			for o := state.NextOffset; o < uint64(len(records)); o++ {
				_ = r.Apply(o, records[o])
			}
			if !proto.Equal(r.State(), want) {
				t.Fatalf("replay from the checkpoint at offset %d differs:\n%v\n%v", i, r.State(), want)
			}
		}
	})
}

// Verifies that the determinism check fails when a restart drops the applied record
// ids.
func TestDeterminismCheckDetectsLostRecordIDs(t *testing.T) {
	dropRecentIDs := func(s *pb.ConfigState) *pb.ConfigState {
		s.RecentIds = nil
		return s
	}
	found := false
	for seed := range 200 {
		_ = rapid.Custom(func(t *rapid.T) bool {
			records := drawLog(t)
			want := replayWithRestarts(t, records, roundTrip)
			if !proto.Equal(replayWithRestarts(t, records, dropRecentIDs), want) {
				found = true
			}
			return true
		}).Example(seed)
	}
	if !found {
		t.Error("the check did not find a replay that drops applied record ids")
	}
}

// Guards against records that are applied out of order.
func TestApplyRejectsGap(t *testing.T) {
	r := configlog.NewReplay(nil)
	err := r.Apply(3, encode(t, proposal("p", 0, "a")))
	var gap *configlog.GapError
	if !errors.As(err, &gap) || gap.Next != 0 || gap.Got != 3 || r.State().NextOffset != 0 {
		t.Errorf("got %v at offset %d", err, r.State().NextOffset)
	}
}

// Guards against records that crash the replay or grow its state without bound.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encode(f, proposal("p", 0, "a")))
	f.Add(encode(f, confirmation("c", "p")))
	f.Add(encode(f, drainOrder("d", "n", true)))
	f.Add(encode(f, checkpoint("k", &pb.ConfigState{Version: 1, NextOffset: 2, History: []*pb.Version{{Version: 1}}})))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := configlog.DecodeRecord(data)
		r := configlog.NewReplay(nil)
		if applyErr := r.Apply(0, data); (applyErr == nil) != (err == nil) {
			t.Fatalf("decode: %v, apply: %v", err, applyErr)
		}
		if err != nil {
			return
		}
		if _, err := configlog.EncodeRecord(rec); err != nil {
			t.Fatalf("a decoded record is not encodable: %v", err)
		}
	})
}

package configlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// loseNewest restores the log from a copy without the newest records.
func loseNewest(l *fakeLog, n int) {
	l.update(func(l *fakeLog) { l.records = l.records[:len(l.records)-n] })
}

// Guards against nodes that stay at a version that the restored log has lost: all nodes have to
// reach the one that operators confirm afterwards, and none may revert in the meantime.
func TestNodesConvergeAfterTheLogWasRestored(t *testing.T) {
	var out bytes.Buffer
	l := &fakeLog{}
	before := configlog.NewReplica(l, event.NewLogger(&out, event.FormatText, log.InfoLevel))
	advanceTo(t, before, 3)
	lost := before.Current().State.IntentYaml
	loseNewest(l, 2)
	if err := before.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if cur := before.Current(); cur.Version != 3 || cur.State.Version != 2 {
		t.Errorf("after the restore: version %d in force, %d on the log; want 3 and 2", cur.Version, cur.State.Version)
	}
	if !strings.Contains(out.String(), "event=1108") {
		t.Errorf("no event of the restore in %q", out.String())
	}
	after := newReplica(l)
	mustAppend(t, before, proposal("other", 2, intentYAML(7)), confirmation("confirm-other", "other"))
	for name, r := range map[string]*configlog.Replica{"before": before, "after": after} {
		if err := r.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		cur := r.Current()
		if cur.Version != 3 || cur.State.IntentYaml == lost || cur.Intent.Ranks[0].Worth != 7 {
			t.Errorf("%s: version %d, intent %q", name, cur.Version, cur.State.IntentYaml)
		}
	}
}

// Guards against a node that takes lost records or a lost version from a node that has not
// read the restored log yet.
func TestLostVersionsAreNotTakenFromOtherNodes(t *testing.T) {
	l := &fakeLog{}
	behind := newReplica(l)
	advanceTo(t, behind, 3)
	loseNewest(l, 2)
	r := newReplica(l)
	if err := r.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := r.MergeState(mustMarshal(t, behind.Current().State)); err != nil {
		t.Error(err)
	}
	if err := r.MergeRecords(behind.LogHistory(), behind.RecordsFrom(r.NextOffset())); err != nil {
		t.Error(err)
	}
	if cur := r.Current(); cur.Version != 2 || cur.State.Version != 2 {
		t.Errorf("version %d, %d on the log; want 2", cur.Version, cur.State.Version)
	}
	// The other way round, the state of the restored log replaces the lost one.
	mustAppend(t, r, proposal("other", 2, intentYAML(7)), confirmation("confirm-other", "other"))
	if err := behind.MergeState(mustMarshal(t, r.Current().State)); err != nil {
		t.Error(err)
	}
	if cur := behind.Current(); cur.Version != 3 || cur.Intent.Ranks[0].Worth != 7 {
		t.Errorf("version %d with worth %v, want 3 with worth 7", cur.Version, cur.Intent.Ranks[0].Worth)
	}
}

// Guards against a read from a log replica that was not restored yet.
func TestEarlierHistoryIsNotApplied(t *testing.T) {
	l := &fakeLog{history: 4}
	r := newReplica(l)
	advanceTo(t, r, 2)
	l.update(func(l *fakeLog) { l.history = 3 })
	if err := r.Poll(t.Context()); err == nil {
		t.Error("a read from an earlier history has no error")
	}
	if cur := r.Current(); cur.Version != 2 || r.LogHistory() != 5 {
		t.Errorf("version %d in history %d, want 2 in history 5", cur.Version, r.LogHistory())
	}
}

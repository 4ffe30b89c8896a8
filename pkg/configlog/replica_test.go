package configlog_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an append that reports the wrong outcome while the log has faults.
func TestAppendOutcome(t *testing.T) {
	always := func() bool { return true }
	hideAll := func() int { return 1000 }
	for _, tc := range []struct {
		desc    string
		fault   func(*fakeLog)
		outcome configlog.AppendOutcome
	}{
		{"no fault", func(*fakeLog) {}, ""},
		{"down", func(l *fakeLog) { l.down = true }, configlog.NotAppended},
		{"slower than the deadline", func(l *fakeLog) { l.delay = time.Minute }, configlog.MaybeAppended},
		{"response lost, readable", func(l *fakeLog) { l.loseResponse = always }, ""},
		{"response lost, not readable", func(l *fakeLog) { l.loseResponse, l.staleBy = always, hideAll }, configlog.MaybeAppended},
		{"appended, not readable", func(l *fakeLog) { l.staleBy = hideAll }, configlog.Appended},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLog{}
				tc.fault(l)
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				err := newReplica(l).Append(ctx, proposal("p", 0, intentYAML(1)))
				var failure *configlog.AppendError
				if errors.As(err, &failure); tc.outcome == "" && err != nil {
					t.Fatal(err)
				}
				if tc.outcome != "" && (failure == nil || failure.Outcome != tc.outcome) {
					t.Fatalf("got %v, want outcome %q", err, tc.outcome)
				}
			})
		})
	}
}

// Guards against a change that is applied twice because the response to its append
// was lost and the append was retried.
func TestRepeatedAppendAppliesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		replica := newReplica(l)
		appendCalls := 0
		l.loseResponse = func() bool { appendCalls++; return appendCalls <= 3 }
		l.staleBy = func() int {
			if appendCalls <= 3 {
				return len(l.records)
			}
			return 0
		}
		mustAppend(t, replica, proposal("p", 0, intentYAML(1)))
		if l.appends != 4 {
			t.Errorf("%d appends, want 4", l.appends)
		}
		if n := len(replica.Current().State.Pending); n != 1 {
			t.Errorf("%d pending proposals, want 1", n)
		}
	})
}

// Guards against reads of the configuration that block, and against a lost
// configuration, while the log is slow or down.
func TestConfigurationSurvivesLogFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		replica := newReplica(l)
		advanceTo(t, replica, 2)
		l.update(func(l *fakeLog) { l.delay = time.Hour })
		done := make(chan error)
		go func() { done <- replica.Poll(t.Context()) }()
		synctest.Wait()
		start := time.Now()
		if v := replica.Current().Version; v != 2 || replica.LogError() != nil {
			t.Errorf("version %d, error %v", v, replica.LogError())
		}
		if err := replica.MergeState(mustMarshal(t, replica.Current().State)); err != nil {
			t.Error(err)
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("reads of the configuration blocked for %v", waited)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := replica.Poll(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("second poll: %v", err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.update(func(l *fakeLog) { l.delay, l.down = 0, true })
		if err := replica.Poll(t.Context()); !errors.Is(err, configlog.ErrUnavailable) || replica.LogError() == nil {
			t.Errorf("got %v, log error %v", err, replica.LogError())
		}
		if v := replica.Current().Version; v != 2 {
			t.Errorf("version %d", v)
		}
	})
}

// Guards against a node whose version decreases, or that stops applying records,
// after reads from a log replica that is behind.
func TestStaleLogReadKeepsState(t *testing.T) {
	var out bytes.Buffer
	l := &fakeLog{}
	replica := configlog.NewReplica(l, event.NewLogger(&out, event.FormatText, log.InfoLevel))
	advanceTo(t, replica, 3)
	l.update(func(l *fakeLog) { l.staleBy = func() int { return 3 } })
	for range 2 {
		if err := replica.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n := strings.Count(out.String(), "event=1106"); n != 1 || replica.Current().Version != 3 {
		t.Errorf("%d LogReset events, version %d", n, replica.Current().Version)
	}
	l.update(func(l *fakeLog) { l.staleBy = nil })
	advanceTo(t, replica, 4)
}

// Guards against the use of a checkpoint after which records are missing, and
// against a lost configuration when records expire.
func TestGap(t *testing.T) {
	for _, tc := range []struct {
		desc string
		// validUpTo is the next offset of the state in the checkpoint at offset 6.
		validUpTo, expireBelow uint64
		usable                 bool
	}{
		{"all records after the checkpoint remain", 6, 6, true},
		{"records between the valid offset and the checkpoint remain", 4, 4, true},
		{"a record after the valid offset has expired", 4, 5, false},
		{"the checkpoint has expired", 6, 7, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var out bytes.Buffer
			l := &fakeLog{}
			writer := newReplica(l)
			advanceTo(t, writer, 2)
			behind := configlog.NewReplica(l, event.NewLogger(&out, event.FormatText, log.InfoLevel))
			if err := behind.Poll(t.Context()); err != nil {
				t.Fatal(err)
			}
			mustAppend(t, writer, drainOrder("d1", "n1", true), drainOrder("d2", "n2", true))
			mustAppend(t, writer, checkpoint("k", stateAt(l, tc.validUpTo)))
			advanceTo(t, writer, 3)
			l.expire(tc.expireBelow)
			fresh := newReplica(l)
			err := fresh.Poll(t.Context())
			if (err == nil) != tc.usable || !tc.usable && !errors.Is(err, configlog.ErrGap) {
				t.Fatalf("got %v", err)
			}
			if tc.usable && !proto.Equal(fresh.Current().State, writer.Current().State) {
				t.Errorf("state from the checkpoint differs")
			}
			err = behind.Poll(t.Context())
			gap := strings.Contains(out.String(), "event=1107")
			if v := behind.Current().Version; gap != (err != nil) || err != nil && v != 2 {
				t.Errorf("version %d, error %v, LogGap %v", v, err, gap)
			}
			if err := fresh.MergeState(mustMarshal(t, writer.Current().State)); err != nil {
				t.Fatal(err)
			}
			advanceTo(t, fresh, 4)
		})
	}
}

// stateAt replays the records below the offset.
func stateAt(l *fakeLog, offset uint64) *pb.ConfigState {
	r := configlog.NewReplay(nil)
	for o := range offset {
		_ = r.Apply(o, l.records[o])
	}
	return r.State()
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against accepting a peer's snapshot that decreases the version, has an
// invalid intent, or comes from another log.
func TestMergeState(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		change func(*pb.ConfigState)
		// have is the local version. The snapshot has version 3 before the change.
		have, want uint64
		rejected   bool
	}{
		{"newer", func(*pb.ConfigState) {}, 2, 3, false},
		{"to an empty node", func(*pb.ConfigState) {}, 0, 3, false},
		{"older", func(*pb.ConfigState) {}, 4, 4, false},
		{"same", func(*pb.ConfigState) {}, 3, 3, false},
		{"same version, more records", func(s *pb.ConfigState) { s.NextOffset++; s.DrainedNodes = []string{"n"} }, 3, 3, false},
		{"higher version, fewer records", func(s *pb.ConfigState) { s.NextOffset = 3 }, 2, 2, true},
		{"lower version, more records", func(s *pb.ConfigState) { s.NextOffset = 100 }, 4, 4, true},
		{"same version, other intent", func(s *pb.ConfigState) { s.NextOffset++; s.IntentYaml = intentYAML(9) }, 3, 3, true},
		{"other history", func(s *pb.ConfigState) { s.History[0].ProposalId = "x" }, 2, 2, true},
		{"history with a hole", func(s *pb.ConfigState) { s.History[1].Version = 9 }, 2, 2, true},
		{"no history", func(s *pb.ConfigState) { s.History = nil }, 2, 2, true},
		{"invalid intent", func(s *pb.ConfigState) { s.IntentYaml = "services: [" }, 2, 2, true},
		{"more versions than records", func(s *pb.ConfigState) { s.NextOffset = 1 }, 0, 0, true},
		{"pending proposal of another base", func(s *pb.ConfigState) { s.Pending = []*pb.PendingProposal{{Id: "p"}} }, 2, 2, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			l := &fakeLog{}
			writer := newReplica(l)
			advanceTo(t, writer, 3)
			snapshot := proto.Clone(writer.Current().State).(*pb.ConfigState)
			advanceTo(t, writer, 4)
			local := newReplica(&fakeLog{records: l.records[:2*tc.have]})
			if err := local.Poll(t.Context()); err != nil {
				t.Fatal(err)
			}
			tc.change(snapshot)
			err := local.MergeState(mustMarshal(t, snapshot))
			var stateErr *configlog.StateError
			if errors.As(err, &stateErr) != tc.rejected {
				t.Errorf("got %v", err)
			}
			if v := local.Current().Version; v != tc.want {
				t.Errorf("version %d, want %d", v, tc.want)
			}
		})
	}
}

// Guards against checkpoints that are written too late for the retention period,
// and against every node writing one.
func TestCheckpointRateOfFleet(t *testing.T) {
	const nodes = 50
	const retention = time.Hour
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		advanceTo(t, newReplica(l), 2)
		ctx, cancel := context.WithCancel(t.Context())
		for range nodes {
			replica := configlog.NewReplica(l, event.Discard(), configlog.WithRetention(retention))
			go replica.Run(ctx, func() time.Duration { return 80 * time.Second })
		}
		for _, interval := range []time.Duration{retention / 2, 2 * retention, 4 * retention} {
			time.Sleep(interval)
			t.Logf("%d checkpoints", l.checkpoints())
		}
		cancel()
		synctest.Wait()
		// In 6.5 h there is at least one checkpoint per 3/4 h and at most one per 1/2 h,
		// with some margin.
		if n := l.checkpoints(); n < 8 || n > 16 {
			t.Errorf("%d checkpoints in 6.5 h, want 8 to 16", n)
		}
	})
}

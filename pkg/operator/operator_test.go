package operator_test

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/operator"
)

// memoryLog is an in-memory log whose appends fail with err if it is set.
type memoryLog struct {
	mu      sync.Mutex
	records []configlog.Entry
	err     error
}

func (l *memoryLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, l.err
	}
	l.records = append(l.records, configlog.Entry{Offset: uint64(len(l.records)), Data: data})
	return uint64(len(l.records)) - 1, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from uint64, _ int) (configlog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records))
	return configlog.Batch{End: end, Entries: l.records[min(from, end):]}, nil
}

func service(l configlog.Log) *operator.Service {
	return operator.New(configlog.NewReplica(l, event.Discard()), nil)
}

func deployed(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../deploy/liegewerk/intent.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against accepting two confirmations of the same base version, and against
// a rejection that does not name the operator who replaced the version.
func TestConflictingConfirmations(t *testing.T) {
	l := &memoryLog{}
	nodes := map[string]*operator.Service{"anna": service(l), "bela": service(l)}
	proposals := map[string]*pb.ProposeResponse{}
	for who, s := range nodes {
		resp, err := s.Propose(t.Context(), connect.NewRequest(&pb.ProposeRequest{IntentYaml: deployed(t), Operator: who}))
		if err != nil {
			t.Fatal(err)
		}
		proposals[who] = resp.Msg
	}
	results := map[string]*pb.ConfirmResponse{}
	for _, who := range []string{"anna", "bela"} {
		p := proposals[who]
		resp, err := nodes[who].Confirm(t.Context(), connect.NewRequest(&pb.ConfirmRequest{
			ProposalId: p.ProposalId, PlanDigest: p.PlanDigest, Operator: who,
		}))
		if err != nil {
			t.Fatal(err)
		}
		results[who] = resp.Msg
	}
	if !results["anna"].Accepted || results["bela"].Accepted || !strings.Contains(results["bela"].Reason, "anna") {
		t.Errorf("got %v", results)
	}
}

// Guards against appending invalid input to the log, and against errors without a
// reason.
func TestProposeRejectsInvalidInput(t *testing.T) {
	for _, tc := range []struct{ desc, yaml, operator, want string }{
		{"unknown field", "extra: 1\n", "anna", "line 1: syntax"},
		{"no operator", deployed(t), "", "operator"},
		{"long operator", deployed(t), strings.Repeat("a", 65), "operator"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			l := &memoryLog{}
			_, err := service(l).Propose(t.Context(), connect.NewRequest(&pb.ProposeRequest{IntentYaml: tc.yaml, Operator: tc.operator}))
			if connect.CodeOf(err) != connect.CodeInvalidArgument || !strings.Contains(err.Error(), tc.want) || len(l.records) > 0 {
				t.Errorf("got %v with %d records", err, len(l.records))
			}
		})
	}
}

// Guards against calls that block for long, and against errors that do not state
// whether the record may be on the log, while the log fails.
func TestLogFailureIsReported(t *testing.T) {
	for _, tc := range []struct {
		desc string
		err  error
		want string
	}{
		{"down", configlog.ErrUnavailable, string(configlog.NotAppended)},
		{"response lost", configlog.ErrOutcomeUnknown, string(configlog.MaybeAppended)},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := service(&memoryLog{err: tc.err}).Propose(t.Context(), connect.NewRequest(&pb.ProposeRequest{IntentYaml: deployed(t), Operator: "anna"}))
				if connect.CodeOf(err) != connect.CodeUnavailable || !strings.Contains(err.Error(), tc.want) {
					t.Errorf("got %v", err)
				}
				if waited := time.Since(start); waited > 5*time.Second {
					t.Errorf("waited %v", waited)
				}
			})
		})
	}
}

package node

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
)

// Guards against a drain order that waits for the target's next poll of the log, which
// takes longer than 3 s in a large fleet. In this test no node polls a second time.
func TestOrderReachesTarget(t *testing.T) {
	log, logURL := newLog(t)
	pollHourly := func() time.Duration { return time.Hour }
	first := newNode(t, "katalog-1", logURL)
	first.poll = pollHourly
	first.start(t)
	second := newNode(t, "katalog-2", logURL, first.settings.PeerAddress)
	second.poll = pollHourly
	second.start(t)
	second.startUpstream(t, "katalog")
	waitFor(t, "membership", func() bool { return len(first.Candidates("katalog")) == 1 })
	for _, drain := range []bool{true, false} {
		started := time.Now()
		resp := first.setDrain(t, "katalog-2", drain)
		if took := time.Since(started); !resp.Applied || took > 3*time.Second {
			t.Fatalf("drain %v: %v after %v", drain, resp, took)
		}
		if state := second.sidecar.Load().State; (state == pb.UpstreamState_UPSTREAM_STATE_DRAINING) != drain {
			t.Errorf("drain %v: state %v", drain, state)
		}
	}
	if resp := first.setDrain(t, "katalog-9", true); resp.Applied || !strings.Contains(resp.Detail, errNoMember.Error()) {
		t.Errorf("unknown node: %v", resp)
	}
	log.SetFaults(platformlog.Faults{ReadsDown: true})
	if _, err := second.handleReadLog(t.Context(), &pb.ReadLogRequest{TargetNodeId: "katalog-2", NextOffset: 99}); err == nil {
		t.Error("an order that could not be read was acknowledged")
	}
}

// fakeSender holds the reachable addresses. Requests to other addresses time out.
type fakeSender map[string]bool

func (f fakeSender) ReadLog(ctx context.Context, address string, _ *pb.ReadLogRequest) (*pb.ReadLogResponse, error) {
	if f[address] {
		return &pb.ReadLogResponse{}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a drain order that is lost on one broken link, and against an operator
// who waits longer than the bound for a drain.
func TestDeliver(t *testing.T) {
	for _, tc := range []struct {
		desc      string
		reachable fakeSender
		delivered bool
	}{
		{"target", fakeSender{"target": true}, true},
		{"relay only", fakeSender{"relay-2": true}, true},
		{"nobody", fakeSender{}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				relays := []*pb.Member{{PeerAddress: "relay-1"}, {PeerAddress: "relay-2"}}
				err := deliver(t.Context(), tc.reachable, &pb.Member{NodeId: "n", PeerAddress: "target"}, relays, 1)
				if (err == nil) != tc.delivered || !tc.delivered && !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("got %v", err)
				}
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

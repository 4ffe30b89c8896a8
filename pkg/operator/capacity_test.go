package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/configlog"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/operator"
	"github.com/mulberrytray/mulberrytray/pkg/peer"
	"github.com/mulberrytray/mulberrytray/pkg/plan"
)

// fakeSidecars responds by address. An address without a response never responds.
type fakeSidecars struct {
	responses         map[string]*pb.ProbeLoadResponse
	delay             time.Duration
	active, maxActive atomic.Int32
}

func (f *fakeSidecars) ProbeLoad(ctx context.Context, address string, _ *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	n := f.active.Add(1)
	defer f.active.Add(-1)
	for old := f.maxActive.Load(); n > old && !f.maxActive.CompareAndSwap(old, n); old = f.maxActive.Load() {
	}
	resp := f.responses[address]
	if resp == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(f.delay)
	return resp, nil
}

func loadResponse(capacity float64, rank string, perSecond float64) *pb.ProbeLoadResponse {
	return &pb.ProbeLoadResponse{CapacityPerSecond: capacity, Demand: []*pb.RankDemand{{Rank: rank, PerSecond: perSecond}}}
}

func readyMember(id, service string) *pb.Member {
	return &pb.Member{
		NodeId: id, Service: service, PeerAddress: id, Status: pb.MemberStatus_MEMBER_STATUS_ALIVE,
		UpstreamState: pb.UpstreamState_UPSTREAM_STATE_READY, Incarnation: 7,
	}
}

// Guards against plans that present a part of the fleet as the whole, and against
// one unresponsive upstream that delays the operator.
func TestMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead, drained := readyMember("katalog-8", "katalog"), readyMember("katalog-9", "katalog")
		dead.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
		drained.UpstreamState = pb.UpstreamState_UPSTREAM_STATE_DRAINING
		members := []*pb.Member{
			readyMember("katalog-2", "katalog"), readyMember("katalog-1", "katalog"), readyMember("katalog-3", "katalog"),
			readyMember("buchung-1", "buchung"), readyMember("kasse-1", "kasse"), dead, drained,
		}
		source := &fakeSidecars{responses: map[string]*pb.ProbeLoadResponse{
			"katalog-1": loadResponse(100, "browse", 30), "katalog-2": loadResponse(50, "browse", 20),
			"buchung-1": loadResponse(80, "booking", 5), "kasse-1": loadResponse(0, "booking", 1),
		}}
		start := time.Now()
		got := operator.Measure(t.Context(), members, source)
		want := plan.Fleet{
			Services: []plan.ServiceState{
				{Name: "buchung", CapacityPerSecond: 80, Demand: map[string]float64{"booking": 5}},
				{Name: "katalog", CapacityPerSecond: 150, Demand: map[string]float64{"browse": 50}},
			},
			NotIncluded: []string{"kasse-1 (kasse): no completed call yet", "katalog-3 (katalog): no answer in time"},
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("took %v, more than 2 s", took)
		}
	})
}

// Guards against a burst of concurrent connections from one node to the whole fleet.
func TestMeasureBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSidecars{responses: map[string]*pb.ProbeLoadResponse{}, delay: 5 * time.Millisecond}
		var members []*pb.Member
		for i := range 1600 {
			m := readyMember(fmt.Sprintf("katalog-%04d", i), "katalog")
			source.responses[m.PeerAddress] = loadResponse(10, "browse", 1)
			members = append(members, m)
		}
		start := time.Now()
		got := operator.Measure(t.Context(), members, source)
		if len(got.NotIncluded) > 0 || got.Services[0].CapacityPerSecond != 16000 {
			t.Errorf("got %+v", got)
		}
		if most, took := source.maxActive.Load(), time.Since(start); most > 64 || took > time.Second {
			t.Errorf("%d concurrent calls, %v in total", most, took)
		}
	})
}

// Guards against losing capacity and demand between the sidecar and the plan. The
// messages go over real connections.
func TestPlanFromFleet(t *testing.T) {
	mux := http.NewServeMux()
	(&peer.Handler{OnProbeLoad: func(_ context.Context, r *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
		if r.TargetIncarnation != 7 {
			return nil, connect.NewError(connect.CodeFailedPrecondition, nil)
		}
		return loadResponse(100, "browse", 40), nil
	}}).Mount(mux)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	up, replaced := readyMember("katalog-1", "katalog"), readyMember("katalog-2", "katalog")
	up.PeerAddress, replaced.PeerAddress = strings.TrimPrefix(srv.URL, "http://"), strings.TrimPrefix(srv.URL, "http://")
	replaced.Incarnation = 6
	s := operator.New(configlog.NewReplica(&memoryLog{}, event.Discard()), nil, operator.WithCapacity(func(ctx context.Context) plan.Fleet {
		return operator.Measure(ctx, []*pb.Member{up, replaced}, peer.NewClient(time.Second))
	}))
	resp, err := s.Propose(t.Context(), connect.NewRequest(&pb.ProposeRequest{IntentYaml: deployed(t), Operator: "anna"}))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"not_included":["katalog-2 (katalog): no answer"]`, `"unknown_capacity":["buchung","kasse"]`,
		`"rank":"browse","demand":40,"now":0,"proposed":40`,
	} {
		if !strings.Contains(resp.Msg.PlanJson, want) {
			t.Errorf("the plan does not contain %s: %s", want, resp.Msg.PlanJson)
		}
	}
}

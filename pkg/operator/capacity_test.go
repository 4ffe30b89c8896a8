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

// fakeSidecars answers by address. An address without an answer never answers.
type fakeSidecars struct {
	answers      map[string]*pb.ProbeLoadResponse
	delay        time.Duration
	active, most atomic.Int32
}

func (f *fakeSidecars) ProbeLoad(ctx context.Context, address string, _ *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
	n := f.active.Add(1)
	defer f.active.Add(-1)
	for old := f.most.Load(); n > old && !f.most.CompareAndSwap(old, n); old = f.most.Load() {
	}
	answer := f.answers[address]
	if answer == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(f.delay)
	return answer, nil
}

func answer(capacity float64, rank string, perSecond float64) *pb.ProbeLoadResponse {
	return &pb.ProbeLoadResponse{CapacityPerSecond: capacity, Demand: []*pb.RankDemand{{Rank: rank, PerSecond: perSecond}}}
}

func ready(id, service string) *pb.Member {
	return &pb.Member{
		NodeId: id, Service: service, PeerAddress: id, Status: pb.MemberStatus_MEMBER_STATUS_ALIVE,
		UpstreamState: pb.UpstreamState_UPSTREAM_STATE_READY, Incarnation: 7,
	}
}

// Guards against plans that pass off a part of the fleet as the whole, and
// against one silent upstream that holds up the operator.
func TestMeasure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead, drained := ready("katalog-8", "katalog"), ready("katalog-9", "katalog")
		dead.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
		drained.UpstreamState = pb.UpstreamState_UPSTREAM_STATE_DRAINING
		members := []*pb.Member{
			ready("katalog-2", "katalog"), ready("katalog-1", "katalog"), ready("katalog-3", "katalog"),
			ready("buchung-1", "buchung"), ready("kasse-1", "kasse"), dead, drained,
		}
		source := &fakeSidecars{answers: map[string]*pb.ProbeLoadResponse{
			"katalog-1": answer(100, "browse", 30), "katalog-2": answer(50, "browse", 20),
			"buchung-1": answer(80, "booking", 5), "kasse-1": answer(0, "booking", 1),
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

// Guards against a burst of connections from one node to the whole fleet.
func TestMeasureBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSidecars{answers: map[string]*pb.ProbeLoadResponse{}, delay: 5 * time.Millisecond}
		var members []*pb.Member
		for i := range 1600 {
			m := ready(fmt.Sprintf("katalog-%04d", i), "katalog")
			source.answers[m.PeerAddress] = answer(10, "browse", 1)
			members = append(members, m)
		}
		start := time.Now()
		got := operator.Measure(t.Context(), members, source)
		if len(got.NotIncluded) > 0 || got.Services[0].CapacityPerSecond != 16000 {
			t.Errorf("got %+v", got)
		}
		if most, took := source.most.Load(), time.Since(start); most > 64 || took > time.Second {
			t.Errorf("%d calls at once, %v in all", most, took)
		}
	})
}

// Guards against capacity and demand that are lost between the sidecar and the
// plan: the messages go over real connections.
func TestPlanFromFleet(t *testing.T) {
	mux := http.NewServeMux()
	(&peer.Handler{OnProbeLoad: func(_ context.Context, r *pb.ProbeLoadRequest) (*pb.ProbeLoadResponse, error) {
		if r.TargetIncarnation != 7 {
			return nil, connect.NewError(connect.CodeFailedPrecondition, nil)
		}
		return answer(100, "browse", 40), nil
	}}).Mount(mux)
	srv := httptest.NewServer(mux)
	defer srv.Close()
	up, replaced := ready("katalog-1", "katalog"), ready("katalog-2", "katalog")
	up.PeerAddress, replaced.PeerAddress = strings.TrimPrefix(srv.URL, "http://"), strings.TrimPrefix(srv.URL, "http://")
	replaced.Incarnation = 6
	s := operator.New(configlog.NewKeeper(&memoryLog{}, event.Discard()), nil, operator.WithCapacity(func(ctx context.Context) plan.Fleet {
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
			t.Errorf("the plan lacks %s: %s", want, resp.Msg.PlanJson)
		}
	}
}

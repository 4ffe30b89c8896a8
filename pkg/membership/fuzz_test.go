package membership

import (
	"context"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// unreachableTransport is a Transport whose calls all fail.
type unreachableTransport struct{}

func (unreachableTransport) Ping(context.Context, string, *pb.PingRequest) (*pb.PingResponse, error) {
	return nil, errUnreachable
}

func (unreachableTransport) PingIndirect(context.Context, string, *pb.PingIndirectRequest) (*pb.PingIndirectResponse, error) {
	return nil, errUnreachable
}

func (unreachableTransport) Sync(context.Context, string, *pb.SyncRequest) (*pb.SyncResponse, error) {
	return nil, errUnreachable
}

func singleAgent() *Agent {
	return NewAgent(Config{}, &pb.Member{NodeId: "self", Incarnation: 1, PeerAddress: address(0)}, unreachableTransport{}, event.Discard())
}

// Guards against panics and stored invalid entries caused by arbitrary messages.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&pb.PingRequest{},
		&pb.PingRequest{Sender: &pb.Member{NodeId: "x", Incarnation: 1, Status: alive, PeerAddress: "127.0.12.1:0"}},
		&pb.SyncRequest{Limit: 1 << 31, Digests: make([]uint32, 300)},
		&pb.PingIndirectRequest{Target: &pb.Member{NodeId: "x", PeerAddress: "host:80"}},
	} {
		data, _ := proto.Marshal(m)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a := singleAgent()
		var ping pb.PingRequest
		if proto.Unmarshal(data, &ping) == nil {
			_, _ = a.HandlePing(&ping)
		}
		var sync pb.SyncRequest
		if proto.Unmarshal(data, &sync) == nil {
			_, _ = a.HandleSync(&sync)
		}
		var indirect pb.PingIndirectRequest
		if proto.Unmarshal(data, &indirect) == nil {
			_, _ = a.HandlePingIndirect(context.Background(), &indirect)
		}
		for _, m := range a.Members() {
			if err := Validate(m); err != nil {
				t.Errorf("agent stored an invalid entry: %v", err)
			}
		}
	})
}

// Guards against entries from peers that would make this node call an invalid address
// or overflow a counter.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		desc  string
		field string
		edit  func(*pb.Member)
	}{
		{"valid", "", func(*pb.Member) {}},
		{"no id", "node_id", func(m *pb.Member) { m.NodeId = "" }},
		{"no incarnation", "incarnation", func(m *pb.Member) { m.Incarnation = 0 }},
		{"sequence near overflow", "sequence", func(m *pb.Member) { m.Sequence = 1 << 63 }},
		{"unknown status", "status", func(m *pb.Member) { m.Status = 9 }},
		{"host name", "peer_address", func(m *pb.Member) { m.PeerAddress = "localhost:80" }},
		{"no port", "peer_address", func(m *pb.Member) { m.PeerAddress = "127.0.12.1" }},
		{"port zero", "peer_address", func(m *pb.Member) { m.PeerAddress = "127.0.12.1:0" }},
		{"unspecified address", "peer_address", func(m *pb.Member) { m.PeerAddress = "0.0.0.0:80" }},
		{"unknown state", "upstream_state", func(m *pb.Member) { m.UpstreamState = -1 }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			m := &pb.Member{NodeId: "n1", Incarnation: 1, Status: alive, PeerAddress: address(1)}
			c.edit(m)
			err := Validate(m)
			var invalid *InvalidMemberError
			if c.field == "" && err != nil || c.field != "" && (!errors.As(err, &invalid) || invalid.Field != c.field) {
				t.Errorf("got %v, want field %q", err, c.field)
			}
		})
	}
}

// Guards against a node that responds to a probe for a previous owner of its address
// or for another incarnation.
func TestHandlePingChecksTarget(t *testing.T) {
	for _, c := range []struct {
		desc        string
		id          string
		incarnation uint64
		want        error
	}{
		{"this node", "self", 1, nil},
		{"any incarnation", "self", 0, nil},
		{"other node", "other", 1, ErrWrongTarget},
		{"other incarnation", "self", 2, ErrWrongTarget},
	} {
		t.Run(c.desc, func(t *testing.T) {
			_, err := singleAgent().HandlePing(&pb.PingRequest{TargetNodeId: c.id, TargetIncarnation: c.incarnation})
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

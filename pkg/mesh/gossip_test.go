package mesh

import (
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// A node that has just read addresses from the registry announces itself to them
// immediately, although silent members otherwise receive a status only once per
// silentSendPeriod.
func TestAnnouncementReachesMembersWithoutStatus(t *testing.T) {
	// The directory's clock starts before its first round, as in a node.
	d := newDirectory("127.0.0.1:1", "d1", time.Now().Add(-silentSendPeriod))
	g := newGossip(d, nil, event.Discard())
	g.targets(toAll)
	d.roster.Add(d.now(), "127.0.0.1:2")
	if n := len(g.targets(toAll)); n != 0 {
		t.Fatalf("%d silent members receive a status in a round right after another", n)
	}
	g.announce()
	if list := g.targets(toAll); len(list) != 1 || list[0].address != "127.0.0.1:2" {
		t.Errorf("targets %v; want only 127.0.0.1:2", list)
	}
	select {
	case <-g.urgent:
	default:
		t.Error("the announcement waits for the next round")
	}
}

// Local rounds leave out members of other failure domains.
func TestLocalRoundsGoToOwnFailureDomain(t *testing.T) {
	d := newDirectory("127.0.0.1:1", "d1", time.Now())
	g := newGossip(d, nil, event.Discard())
	for address, domain := range map[string]string{"127.0.0.1:2": "d1", "127.0.0.1:3": "d2"} {
		d.roster.Observe(d.now(), roster.Status{Address: address, Incarnation: 1, Sequence: 1, Domain: domain})
	}
	d.updateRecipients()
	if list := g.targets(toLocalSubscribers); len(list) != 1 || list[0].address != "127.0.0.1:2" {
		t.Errorf("local round to %v; want only 127.0.0.1:2", list)
	}
	for _, to := range []scope{toSubscribers, toAll} {
		if list := g.targets(to); len(list) != 2 {
			t.Errorf("round of scope %d to %v; want both members", to, list)
		}
	}
}

// An encoded status decodes to the same status, and other bytes are rejected.
func TestStatusEncoding(t *testing.T) {
	want := roster.Status{Address: "10.0.0.1:7600", Incarnation: 5, Sequence: 9, Phase: roster.Serving, Domain: "d", Service: "s", ConfigVersion: 7,
		Upstream: roster.Upstream{ID: "u", Accepting: true, Limit: 7, Running: 3, SlowdownPercent: 400}}
	b, err := encodeStatus(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 120 {
		t.Errorf("encoded status has %d bytes, want at most 120", len(b))
	}
	got, err := decodeStatus(b)
	if err != nil || got.Upstream != want.Upstream || got.Address != want.Address || got.ConfigVersion != 7 {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"", "x", "\xff\xff", string(b[:10])} {
		if _, err := decodeStatus([]byte(bad)); err == nil {
			t.Errorf("%q was decoded", bad)
		}
	}
}

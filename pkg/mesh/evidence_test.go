package mesh

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberrytray/mulberrytray/internal/await"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/suspect"
)

// crashesOf returns evidence of three crashes for the request.
func crashesOf(fingerprint uint64) []suspect.Evidence {
	return []suspect.Evidence{{Fingerprint: fingerprint, Start: 1}, {Fingerprint: fingerprint, Start: 2}, {Fingerprint: fingerprint, Start: 3}}
}

// Guards against a planned restart of the nodes in turn after which the fleet has forgotten the
// requests that crash upstreams.
func TestEvidenceOutlivesRestartsInTurn(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	var fleet []*testNode
	for range 3 {
		fleet = append(fleet, startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store}))
	}
	known := func(n *testNode) func() bool { return func() bool { return n.sidecar.EvidenceCount() == 3 } }
	await.Eventually(t, "all nodes know each other", func() bool { return fleet[0].dir.len() == 3 && fleet[1].dir.len() == 3 && fleet[2].dir.len() == 3 })
	for i, e := range crashesOf(7) {
		fleet[i].sidecar.MergeEvidence([]suspect.Evidence{e})
	}
	for _, n := range fleet {
		await.Eventually(t, "the evidence is known", known(n))
	}
	for i, n := range fleet {
		n.stop()
		fleet[i] = startNode(t, n.settings, n.store)
		await.Eventually(t, "the new process knows the evidence", known(fleet[i]))
	}
	for i, n := range fleet {
		if !known(n)() {
			t.Errorf("node %d has %d pieces of evidence", i, n.sidecar.EvidenceCount())
		}
	}
}

// Guards against evidence that the version before can't read, that doesn't fit beside the other
// fields, or that is lost on the way.
func TestEvidenceEncoding(t *testing.T) {
	want := evacuatedStatus("d1")
	want.Evidence = append(crashesOf(math.MaxUint64), suspect.Evidence{Fingerprint: 5, Start: math.MaxUint64, Age: 90 * time.Second, Cleared: true})
	b, err := encodeStatus(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeStatus(b); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
	want.Evacuated = nil
	if b, err = encodeStatus(want); err != nil {
		t.Fatal(err)
	}
	if got, err := decodeStatus(b); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("without other extensions: %+v, %v; want %+v", got, err, want)
	}
	for range 100 {
		want.Evidence = append(want.Evidence, suspect.Evidence{Fingerprint: math.MaxUint64, Start: math.MaxUint64, Age: 24 * time.Hour})
	}
	b, err = encodeStatus(want)
	if err != nil || len(b) > maxStatusBytes || len(b) < maxStatusBytes-2*maxEvidenceBytes {
		t.Errorf("status of %d bytes, %v; want it to fill a datagram of %d", len(b), err, maxStatusBytes)
	}
	if got, err := decodeStatus(b); err != nil || len(got.Evidence) < 30 {
		t.Errorf("%d pieces of evidence, %v", len(got.Evidence), err)
	}
}

// Guards against a crash that counts once by the evidence of a node and once more by the list of
// suspects that the node sends to those of the version before.
func TestSuspectsOfThisVersionAreNotCounted(t *testing.T) {
	store := newMemoryStore()
	store.publish(t, 1, "a")
	n := startNode(t, newSettings(t, "a", 0), &storeClient{memoryStore: store})
	s := evacuatedStatus()
	s.Evacuated, s.Suspects = nil, []suspect.Entry{{Fingerprint: 7, Crashes: 1}}
	receive := func(evidence []suspect.Evidence) int64 {
		s.Evidence = evidence
		b, err := encodeStatus(s)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeStatus(b)
		if err != nil {
			t.Fatal(err)
		}
		n.handleStatus(decoded, roster.Refreshed)
		return n.sidecar.EvidenceCount()
	}
	if got := receive([]suspect.Evidence{}); got != 0 {
		t.Errorf("a status to subscribers added %d pieces of evidence", got)
	}
	if got := receive(crashesOf(7)[:1]); got != 1 {
		t.Errorf("%d pieces of evidence for one crash", got)
	}
	for range 3 {
		if got := receive(nil); got != 2 {
			t.Errorf("%d pieces of evidence after a status of the version before, want 2", got)
		}
	}
	n.sidecar.MergeEvidence(nil)
	if own := n.status(); own.Evidence != nil || own.Suspects != nil {
		t.Errorf("status of a node without crashes: %+v", own)
	}
}

// Guards against one odd piece of evidence that costs the whole status, and against datagrams that
// claim more evidence than they have room for.
func TestOddEvidence(t *testing.T) {
	s := evacuatedStatus()
	s.Evacuated = nil
	plain, err := encodeStatus(s)
	if err != nil {
		t.Fatal(err)
	}
	extension := func(pieces ...[]any) []byte {
		var b bytes.Buffer
		if err := msgpack.NewEncoder(&b).Encode(map[int]any{extensionEvidence: pieces}); err != nil {
			t.Fatal(err)
		}
		return append(bytes.Clone(plain), b.Bytes()...)
	}
	got, err := decodeStatus(extension([]any{1, 2, -5, false}, []any{1, 2, int64(math.MaxInt64), false}, []any{1, 2, 500, true, "later"}))
	want := []suspect.Evidence{{Fingerprint: 1, Start: 2, Age: 500 * time.Millisecond, Cleared: true}}
	if err != nil || !reflect.DeepEqual(got.Evidence, want) {
		t.Errorf("%+v, %v; want %+v", got.Evidence, err, want)
	}
	for _, bad := range []string{"\x81\x03\xdd\x7f\xff\xff\xff", "\x81\x03\x91\x93\x01\x02\x03", "\x81\x03\x91\xdd\x7f\xff\xff\xff", "\x81\x03\x91\x94\x01"} {
		if got, err := decodeStatus(append(bytes.Clone(plain), bad...)); err == nil {
			t.Errorf("%q: %+v", bad, got.Evidence)
		}
	}
}

// Guards against statuses to subscribers, which are many, that carry evidence.
func TestOnlyRoundsToAllCarryEvidence(t *testing.T) {
	asked := 0
	d := newDirectory("127.0.0.1:1", "d1", time.Now())
	g := newGossip(d, nil, nil)
	g.status = func() roster.Status { return roster.Status{Address: "127.0.0.1:1"} }
	g.evidence = func(bool) []suspect.Evidence { asked++; return nil }
	for _, to := range []scope{toLocalSubscribers, toSubscribers, toAll} {
		g.broadcast(to)
	}
	if asked != 1 {
		t.Errorf("asked for evidence %d times, want once", asked)
	}
}

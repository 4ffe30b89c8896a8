package intake

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// member is a request of the replayed crowd.
type member struct {
	*Body
	isOrdinary, gone bool
}

// Replays a crowd whose bodies of 1 MB stop one byte short or trickle, beside uploads of 360 KB at 1 MB/s, in a
// node with 100 places. Guards against an upload that gives way while it makes progress, and against stalled
// bodies that keep uploads out.
func TestStalledBodiesGiveWayToUploads(t *testing.T) {
	const places, step, uploadBytes, bytesPerSecond = 100, 10 * time.Millisecond, 360 << 10, 1 << 20
	random := rand.New(rand.NewPCG(1, 2))
	table := NewTable(Limits{BytesPerSecond: 32 << 10, Pause: 500 * time.Millisecond})
	held := map[*member]bool{}
	// begin takes a place, for which another request may give way.
	begin := func(now time.Duration, isOrdinary bool) *member {
		if len(held) == places && !table.Evict(now, Place) {
			return nil
		}
		m := &member{isOrdinary: isOrdinary}
		m.Body = table.Begin(now, now+10*time.Second, func() {
			m.gone = true
			delete(held, m)
		})
		held[m] = true
		return m
	}
	received := map[*member]int{}
	offered, served := 0, 0
	for now := time.Duration(0); now < time.Minute; now += step {
		// The crowd takes every place that is free, and sends all but the last byte at once or one byte a step.
		for len(held) < places {
			if m := begin(now, false); random.IntN(2) == 0 {
				m.Progress(now, 1<<20-1)
			}
		}
		for m := range held {
			switch {
			case !m.isOrdinary:
				m.Progress(now, 1)
			case received[m] >= uploadBytes:
				if m.End() {
					t.Fatal("whole upload gave way")
				}
				delete(held, m)
				served++
			default:
				n := int(bytesPerSecond * step / time.Second)
				received[m] += n
				m.Progress(now, n)
			}
		}
		if now > time.Second && now < 59*time.Second && now%(20*time.Millisecond) == 0 {
			offered++
			if m := begin(now, true); m == nil {
				t.Fatalf("no place for an upload at %v", now)
			}
		}
		for m := range received {
			if m.gone {
				t.Fatalf("upload gave way after %d bytes at %v", received[m], now)
			}
		}
	}
	if served != offered {
		t.Errorf("%d of %d uploads served", served, offered)
	}
	if table.Evicted() == 0 {
		t.Error("no stalled body gave way")
	}
}

// Guards against requests that give way for something that they do not hold, more than once, or after their
// body is complete.
func TestOnlyHoldersOfTheResourceGiveWay(t *testing.T) {
	table := NewTable(DefaultLimits)
	evicted := map[string]int{}
	begin := func(name string, now time.Duration, resources ...Resource) *Body {
		b := table.Begin(now, time.Hour, func() { evicted[name]++ })
		for _, r := range resources {
			b.Hold(r)
		}
		return b
	}
	plain, slot, header, done := begin("plain", 0), begin("slot", 1, Slot), begin("header", 2, Header), begin("done", 0, Slot, Header)
	done.End()
	late := 10 * time.Second
	for _, r := range []Resource{Slot, Header} {
		if !table.Evict(late, r) || table.Evict(late, r) {
			t.Errorf("resource %d: want one request to give way", r)
		}
	}
	if !table.Evict(late, Place) || table.Evict(late, Place) {
		t.Error("want one more request to give way for its place")
	}
	for name, b := range map[string]*Body{"plain": plain, "slot": slot, "header": header} {
		if evicted[name] != 1 || !b.End() || b.Hold(Slot) {
			t.Errorf("%s: gave way %d times", name, evicted[name])
		}
	}
	if evicted["done"] != 0 || done.End() {
		t.Error("request with a complete body gave way")
	}
}

// Guards against a stop that waits for bodies which do not come, and one that ends a request which may still be
// served.
func TestStopEndsBodiesThatCannotBeServed(t *testing.T) {
	table := NewTable(DefaultLimits)
	evicted := map[string]bool{}
	begin := func(name string, deadline time.Duration) *Body {
		return table.Begin(0, deadline, func() { evicted[name] = true })
	}
	begin("late", 9*time.Second)
	sent := begin("sent", 9*time.Second)
	sent.Hold(Slot)
	served := begin("served", 3*time.Second)
	now := DefaultLimits.Pause + time.Second
	stalled := begin("stalled", 3*time.Second)
	extended := begin("extended", 3*time.Second)
	extended.SetDeadline(9 * time.Second)
	for _, b := range []*Body{sent, served, extended} {
		b.Progress(now, 1<<20)
	}
	table.EvictAfter(now, 5*time.Second)
	if !evicted["late"] || !evicted["extended"] || !evicted["stalled"] || evicted["sent"] || evicted["served"] || !stalled.End() {
		t.Errorf("gave way: %v", evicted)
	}
}

// Guards against a table that is required.
func TestNilTableTracksNothing(t *testing.T) {
	var table *Table
	b := table.Begin(0, 0, nil)
	b.Progress(time.Hour, 1)
	b.SetDeadline(time.Hour)
	if !b.Hold(Slot) || b.End() || table.Evict(time.Hour, Place) {
		t.Error("a nil table tracks a body")
	}
	table.EvictAfter(time.Hour, 0)
}

// Guards against limits with which every body is stalled or none.
func TestLimitsAreChecked(t *testing.T) {
	for _, l := range []Limits{{}, {BytesPerSecond: 1}, {Pause: 1}, {BytesPerSecond: -1, Pause: 1}, {BytesPerSecond: 1, Pause: -1}} {
		if err := l.Validate(); !errors.Is(err, ErrLimits) {
			t.Errorf("%+v: error %v", l, err)
		}
	}
	if err := DefaultLimits.Validate(); err != nil {
		t.Error(err)
	}
}

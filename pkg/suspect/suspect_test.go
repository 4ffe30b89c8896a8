package suspect

import (
	"testing"
	"time"
)

func TestCrashesAddUpOverTheFleet(t *testing.T) {
	a, b := New(), New()
	a.RecordCrash(0, []uint64{1, 2})
	a.RecordCrash(time.Second, []uint64{1})
	b.RecordCrash(time.Second, []uint64{1})
	if b.Blocked(time.Second, 1) {
		t.Error("blocked after one crash")
	}
	b.SetNodeEntries(time.Second, "a", a.OwnEntries(time.Second))
	if !b.Blocked(time.Second, 1) {
		t.Error("not blocked after three crashes in the fleet")
	}
	if b.Blocked(time.Second, 2) {
		t.Error("blocked a request that was in flight during only one crash")
	}
	if b.Blocked(time.Second+crashTTL+1, 1) {
		t.Error("still blocked after the crashes expired")
	}
}

func TestCompletedRequestIsCleared(t *testing.T) {
	a := New()
	for i := range maxCrashes {
		a.RecordCrash(time.Duration(i), []uint64{1})
	}
	a.Clear(1)
	if a.Blocked(time.Second, 1) || len(a.OwnEntries(time.Second)) != 0 {
		t.Error("a completed request is still a suspect")
	}
}

func TestEntriesAreBounded(t *testing.T) {
	a := New()
	for i := range 100 {
		a.RecordCrash(time.Duration(i), []uint64{uint64(i)})
	}
	if n := len(a.OwnEntries(100)); n != maxEntries {
		t.Errorf("%d entries, want maxEntries", n)
	}
}

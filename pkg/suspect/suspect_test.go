package suspect

import (
	"testing"
	"time"
)

func TestCrashesAddUpOverTheFleet(t *testing.T) {
	a, b := New(), New()
	a.Crashed(0, []uint64{1, 2})
	a.Crashed(time.Second, []uint64{1})
	b.Crashed(time.Second, []uint64{1})
	if b.Blocked(time.Second, 1) {
		t.Error("blocked after one crash")
	}
	b.Told(time.Second, "a", a.Own(time.Second))
	if !b.Blocked(time.Second, 1) {
		t.Error("not blocked after three crashes in the fleet")
	}
	if b.Blocked(time.Second, 2) {
		t.Error("a request that was in flight once is blocked")
	}
	if b.Blocked(time.Second+crashTTL+1, 1) {
		t.Error("still blocked after the crashes expired")
	}
}

func TestCompletedRequestIsCleared(t *testing.T) {
	a := New()
	for i := range maxCrashes {
		a.Crashed(time.Duration(i), []uint64{1})
	}
	a.Answered(1)
	if a.Blocked(time.Second, 1) || len(a.Own(time.Second)) != 0 {
		t.Error("a completed request is still a suspect")
	}
}

func TestEntriesAreBounded(t *testing.T) {
	a := New()
	for i := range 100 {
		a.Crashed(time.Duration(i), []uint64{uint64(i)})
	}
	if n := len(a.Own(100)); n != maxEntries {
		t.Errorf("%d entries", n)
	}
}

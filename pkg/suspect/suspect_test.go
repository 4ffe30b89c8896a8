package suspect

import (
	"slices"
	"testing"
	"time"
)

// fleet is a number of tables that exchange all their evidence.
type fleet []*Table

func newFleet(n int) fleet {
	var f fleet
	for range n {
		f = append(f, New())
	}
	return f
}

func (f fleet) exchange(now time.Duration) {
	for _, from := range f {
		for _, to := range f {
			to.Merge(now, from.ReportAll(now))
		}
	}
}

func TestCrashesAddUpOverTheFleet(t *testing.T) {
	f := newFleet(2)
	f[0].RecordCrash(0, 10, []uint64{1, 2})
	f[0].RecordCrash(time.Second, 11, []uint64{1})
	f[1].RecordCrash(time.Second, 20, []uint64{1})
	if f[1].Crashes(time.Second, 1) != 1 || f[1].Admit(time.Second, 1) != Allowed {
		t.Error("blocked after one crash")
	}
	f.exchange(time.Second)
	if n := f[1].Crashes(time.Second, 1); n != 3 {
		t.Errorf("%d crashes in the fleet, want 3", n)
	}
	if f[1].Admit(time.Second, 2) != Allowed {
		t.Error("blocked a request that was in flight during only one crash")
	}
	if n := f[1].Crashes(time.Second+evidenceTTL+1, 1); n != 0 {
		t.Errorf("%d crashes count after they have expired", n)
	}
}

// Guards against one crash that counts several times: for each request in flight, for each lost
// response and for each report.
func TestCrashCountsOnceHoweverOftenItIsReported(t *testing.T) {
	f := newFleet(4)
	for range 5 {
		f[0].RecordCrash(0, 10, []uint64{1, 1, 1, 1})
		f.exchange(0)
	}
	for i, table := range f {
		if n := table.Crashes(0, 1); n != 1 || table.Admit(0, 1) != Allowed {
			t.Errorf("table %d: %d crashes, want 1", i, n)
		}
	}
}

// Guards against restarts in turn that let a request run again.
func TestEvidenceOutlivesTheNodesThatRecordedIt(t *testing.T) {
	f := newFleet(6)
	for i := range maxCrashes {
		f[i].RecordCrash(0, uint64(i), []uint64{1})
	}
	now := time.Second
	f.exchange(now)
	for range 3 {
		for i := range f {
			now += 2 * time.Second
			f[i] = New()
			f.exchange(now)
		}
	}
	for i, table := range f {
		if v := table.Admit(now, 1); v != Blocked {
			t.Errorf("table %d: verdict %v, want blocked", i, v)
		}
	}
}

// Guards against a cut between two halves, and a late report of a process that has ended, that change
// what is known.
func TestMergeIsAUnion(t *testing.T) {
	f := newFleet(4)
	late := []Evidence{{Fingerprint: 1, Start: 9, Age: 500 * time.Millisecond}}
	f[0].RecordCrash(0, 1, []uint64{1})
	f[3].RecordCrash(0, 2, []uint64{1})
	f[:2].exchange(time.Second)
	f[2:].exchange(time.Second)
	f.exchange(2 * time.Second)
	for _, table := range f {
		table.Merge(2*time.Second, late)
		table.Merge(3*time.Second, late)
		table.Merge(3*time.Second, nil)
		if n := table.Crashes(3*time.Second, 1); n != 3 {
			t.Errorf("%d crashes, want 3", n)
		}
	}
	f[1].RecordCompletion(4*time.Second, 1)
	f.exchange(4 * time.Second)
	f[0].Merge(5*time.Second, []Evidence{{Fingerprint: 1, Start: 1, Age: 5 * time.Second}})
	if n := f[0].Crashes(5*time.Second, 1); n != 0 {
		t.Errorf("%d crashes count again after a late report", n)
	}
}

// Guards against a popular request that is blocked because upstreams crash for other reasons while
// they run it.
func TestPopularRequestIsNotBlocked(t *testing.T) {
	for _, gap := range []time.Duration{0, 100 * time.Millisecond, 4 * time.Second} {
		f := newFleet(4)
		now := time.Duration(0)
		// Each upstream completes the request every 200 ms.
		run := func(d time.Duration) {
			for end := now + d; now < end; now += 200 * time.Millisecond {
				for _, table := range f {
					if table.Admit(now, 1) != Allowed {
						t.Fatalf("gap %v: rejected at %v", gap, now)
					}
					table.RecordCompletion(now, 1)
				}
				f.exchange(now)
			}
		}
		run(3 * time.Second)
		for i := range 3 {
			f[i].RecordCrash(now, uint64(i), []uint64{1})
			f.exchange(now)
			run(gap)
		}
		run(3 * time.Second)
	}
}

// Guards against a request that nothing can clear, and against more trials than the fleet may make.
func TestTrialsOfBlockedRequest(t *testing.T) {
	// trials lets each table offer the request ten times and returns the number of trials.
	trials := func(f fleet, now time.Duration) (n int, last *Table) {
		for range 10 {
			for _, table := range f {
				if table.Admit(now, 1) == Trial {
					n, last = n+1, table
				}
			}
		}
		return n, last
	}
	crashed := func() fleet {
		f := newFleet(8)
		for i := range 5 {
			f[i].RecordCrash(0, uint64(10-i), []uint64{1})
		}
		f.exchange(0)
		return f
	}
	f := crashed()
	if n, _ := trials(f, trialDelay-1); n != 0 {
		t.Errorf("%d trials before trialDelay", n)
	}
	n, last := trials(f, 5*time.Second)
	if n != maxTrials {
		t.Fatalf("%d trials, want %d", n, maxTrials)
	}
	last.RecordCompletion(6*time.Second, 1)
	f.exchange(6 * time.Second)
	for i, table := range f {
		if v := table.Admit(6*time.Second, 1); v != Allowed {
			t.Errorf("table %d after a completed trial: verdict %v", i, v)
		}
	}
	// The trials crash, and all nodes that have made them start again.
	f = crashed()
	total, _ := trials(f, 5*time.Second)
	for i := range f {
		f[i].RecordCrash(6*time.Second, uint64(20+i), []uint64{1})
		f.exchange(6 * time.Second)
	}
	for i := range f {
		f[i] = New()
		f.exchange(7 * time.Second)
		n, _ := trials(f, 7*time.Second)
		total += n
	}
	if total > maxTrials {
		t.Errorf("%d trials in the whole fleet, want at most %d", total, maxTrials)
	}
}

// Guards against a request that is excused for ever because it completed before it began to crash
// upstreams.
func TestRequestThatBeginsToCrashUpstreamsIsBlocked(t *testing.T) {
	f := newFleet(12)
	f[0].RecordCompletion(0, 1)
	now, crashes := time.Duration(0), 0
	for ; crashes < len(f); crashes++ {
		if f[crashes].Admit(now, 1) == Blocked {
			break
		}
		f[crashes].RecordCrash(now, uint64(crashes), []uint64{1})
		f.exchange(now)
		now += 500 * time.Millisecond
	}
	if most := int(completionWindow/(500*time.Millisecond)) + 1 + maxCrashes; crashes > most {
		t.Errorf("%d crashes before the request is blocked, want at most %d", crashes, most)
	}
}

// Guards against evidence that grows without bound, and against many innocent requests that displace
// the one that crashes upstreams.
func TestEvidenceIsBounded(t *testing.T) {
	a := New()
	for i := range maxCrashes {
		a.Merge(0, []Evidence{{Fingerprint: 1, Start: uint64(i)}})
	}
	for i := range 1000 {
		a.RecordCrash(time.Duration(i), 7, []uint64{uint64(100 + i)})
		a.RecordCompletion(time.Duration(i), uint64(100_000+i))
	}
	if n := a.Len(); n != maxEvidence {
		t.Errorf("%d pieces of evidence, want %d", n, maxEvidence)
	}
	if a.Admit(1000, 1) != Blocked {
		t.Error("the request with the most crashes was dropped")
	}
	for range 10 {
		if n := len(a.Report(1000)); n > maxOwnReports+maxOtherReports {
			t.Errorf("%d pieces of evidence in a status", n)
		}
	}
	if n := len(a.OwnEntries(1000)); n != maxEntries {
		t.Errorf("%d entries for the version before, want %d", n, maxEntries)
	}
	if n := len(a.completed) + len(a.completedBefore); n > 2*maxCompletions {
		t.Errorf("%d completions", n)
	}
}

// Guards against evidence of other nodes that is never passed on.
func TestReportsPassOnAllEvidence(t *testing.T) {
	a := New()
	for i := range 9 {
		a.Merge(0, []Evidence{{Fingerprint: uint64(i), Start: 1}})
	}
	var seen []uint64
	for range 9 {
		for _, e := range a.Report(0) {
			seen = append(seen, e.Fingerprint)
		}
	}
	slices.Sort(seen)
	if n := len(slices.Compact(seen)); n != 9 {
		t.Errorf("%d of 9 were passed on", n)
	}
}

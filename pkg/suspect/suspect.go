// Package suspect detects requests that crash the upstreams that run them.
//
// Load pattern: occasionally a request crashes every upstream that starts to run it, and
// its caller sends it again to any node. Innocent requests are in flight at the same
// crashes, a popular one at nearly all of them. The two differ in their completed runs: a
// request that crashes upstreams has none.
//
// When an upstream crashes, its node records evidence for each request in flight: the
// request and the start of the upstream that has ended. Nodes exchange their evidence, and
// a merge is a union, so it doesn't matter how often and by whom a crash is reported, or
// whether the node that saw it still runs. A completed run clears the evidence for its
// request. A request with uncleared evidence of too many starts is rejected, except for a
// few trials, because nothing else could clear an innocent one.
//
// The package has no clock, socket or log. A Table is not safe for concurrent use.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is the number of crashes in the fleet from which a request is blocked.
	maxCrashes = 3
	// maxTrials is the number of runs of a blocked request over the whole fleet, each at an upstream
	// that has crashed with it. Users allow three after the third crash; the last one is left for a
	// node that doesn't know of all crashes.
	maxTrials = 2
	// trialDelay is the least time from the last crash to a trial. All nodes have the evidence by then.
	trialDelay = 2 * time.Second
	// evidenceTTL is how long a crash counts. Callers that send a request again and again may go on
	// for longer than a single one waits.
	evidenceTTL = 10 * time.Minute
	// reportTime is how long evidence of a single crash is reported, which is most of it.
	reportTime = time.Minute
	// completionWindow is how long before a crash a completed run of the request clears it. Upstreams
	// of a rack crash at the same time, and a popular request is rejected before it can complete
	// again. A request that begins to crash upstreams is blocked that much later.
	completionWindow = 2 * time.Second
	// maxEvidence bounds the evidence that a node stores.
	maxEvidence = 64
	// maxOwnReports and maxOtherReports bound the evidence in a status, from the node itself and from
	// others. Nodes pass on that of others a little at a time, for those that have missed it.
	maxOwnReports   = 16
	maxOtherReports = 2
	// maxEntries bounds the requests that are reported to nodes of the version before.
	maxEntries = 8
	// maxCompletions bounds the completed runs that are remembered for completionWindow.
	maxCompletions = 2048
)

// Entry is a request with the number of crashes during which it was in flight, as nodes of the
// version before report it.
type Entry struct {
	Fingerprint uint64
	Crashes     int
}

// Evidence says that a request was in flight when a start of an upstream ended in a crash.
type Evidence struct {
	// Fingerprint identifies the request and Start the start of the upstream.
	Fingerprint, Start uint64
	// Age is the time since the crash.
	Age time.Duration
	// Cleared is set once the request has completed at an upstream. It is never taken back.
	Cleared bool
}

// record is what a node knows of a piece of evidence.
type record struct {
	at      time.Duration
	cleared bool
	// own is set if the upstream beside this node has crashed.
	own bool
}

// Verdict is the decision on a request that is about to run.
type Verdict int

// Verdicts.
const (
	// Allowed requests run.
	Allowed Verdict = iota
	// Trial requests run although they are suspected of crashing upstreams.
	Trial
	// Blocked requests don't run.
	Blocked
)

// Table holds the evidence that a node knows, by fingerprint and start.
type Table struct {
	evidence map[uint64]map[uint64]*record
	// tried holds the requests of which this node has made a trial.
	tried map[uint64]bool
	// completed and completedBefore hold the completed runs of this completionWindow and of the one
	// before, with the time of the last one.
	completed, completedBefore map[uint64]time.Duration
	windowStart                time.Duration
	// next is where the reports of the evidence of other nodes go on.
	next int
}

// New returns an empty table.
func New() *Table {
	return &Table{
		evidence: map[uint64]map[uint64]*record{}, tried: map[uint64]bool{}, completed: map[uint64]time.Duration{}, completedBefore: map[uint64]time.Duration{},
	}
}

// RecordCrash records that the start of the upstream beside the node has crashed with the requests
// in flight. Repeated reports of a crash change nothing.
func (t *Table) RecordCrash(now time.Duration, start uint64, fingerprints []uint64) {
	for _, f := range fingerprints {
		t.add(now, Evidence{Fingerprint: f, Start: start}, true)
	}
}

// Merge adds the evidence that another node has reported.
func (t *Table) Merge(now time.Duration, list []Evidence) {
	for _, e := range list {
		if e.Age >= 0 && e.Age < evidenceTTL {
			t.add(now, e, false)
		}
	}
}

func (t *Table) add(now time.Duration, e Evidence, own bool) {
	starts := t.evidence[e.Fingerprint]
	if starts == nil {
		starts = map[uint64]*record{}
		t.evidence[e.Fingerprint] = starts
	}
	r := starts[e.Start]
	if r == nil {
		r = &record{at: now - e.Age, own: own}
		starts[e.Start] = r
	}
	r.cleared = r.cleared || e.Cleared || t.completedSince(e.Fingerprint, r.at-completionWindow)
	for t.Len() > maxEvidence {
		t.dropWeakest(now)
	}
}

// Len returns the number of pieces of evidence.
func (t *Table) Len() int {
	n := 0
	for _, starts := range t.evidence {
		n += len(starts)
	}
	return n
}

// dropWeakest deletes the oldest evidence for one of the requests with the least of it.
func (t *Table) dropWeakest(now time.Duration) {
	list := t.list(now, true)
	weakest := list[len(list)-1]
	t.remove(weakest.Fingerprint, weakest.Start)
}

func (t *Table) remove(fingerprint, start uint64) {
	delete(t.evidence[fingerprint], start)
	if len(t.evidence[fingerprint]) == 0 {
		delete(t.evidence, fingerprint)
		delete(t.tried, fingerprint)
	}
}

// expire deletes evidence that no longer counts.
func (t *Table) expire(now time.Duration) {
	for f, starts := range t.evidence {
		for start, r := range starts {
			if now-r.at > evidenceTTL {
				t.remove(f, start)
			}
		}
	}
}

// RecordCompletion records that the upstream beside the node has completed the request. It clears all
// evidence for the request and reports whether there was some.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) bool {
	if now-t.windowStart >= completionWindow {
		t.completed, t.completedBefore, t.windowStart = t.completedBefore, t.completed, now
		clear(t.completed)
	}
	if len(t.completed) < maxCompletions {
		t.completed[fingerprint] = now
	}
	cleared := false
	for _, r := range t.evidence[fingerprint] {
		cleared = cleared || !r.cleared
		r.cleared = true
	}
	return cleared
}

// completedSince reports whether the node remembers that the request has completed at the time or
// later.
func (t *Table) completedSince(fingerprint uint64, since time.Duration) bool {
	for _, completions := range []map[uint64]time.Duration{t.completed, t.completedBefore} {
		if at, ok := completions[fingerprint]; ok && at >= since {
			return true
		}
	}
	return false
}

// Crashes returns the number of crashes that count against the request.
func (t *Table) Crashes(now time.Duration, fingerprint uint64) int {
	n := 0
	for _, r := range t.evidence[fingerprint] {
		if !r.cleared && now-r.at <= evidenceTTL {
			n++
		}
	}
	return n
}

// Admit decides whether the request may run at the upstream beside the node. It is called once for
// each run.
func (t *Table) Admit(now time.Duration, fingerprint uint64) Verdict {
	switch {
	case len(t.evidence) == 0 || t.Crashes(now, fingerprint) < maxCrashes:
		return Allowed
	case !t.tried[fingerprint] && t.mayTry(now, fingerprint):
		t.tried[fingerprint] = true
		return Trial
	}
	return Blocked
}

// mayTry reports whether the upstream beside the node is one of the few that may try the request
// again: those of the lowest starts. More evidence only takes that right away, so that all nodes
// together keep to maxTrials once they have heard of each other's crashes.
func (t *Table) mayTry(now time.Duration, fingerprint uint64) bool {
	starts := t.evidence[fingerprint]
	for _, r := range starts {
		if now-r.at < trialDelay {
			return false
		}
	}
	for i, start := range slices.Sorted(maps.Keys(starts)) {
		if i < maxTrials && starts[start].own {
			return true
		}
	}
	return false
}

// Report returns the evidence for the next status: that of the node itself, and in turn some of that
// of other nodes.
func (t *Table) Report(now time.Duration) []Evidence {
	t.expire(now)
	var own, others []Evidence
	for _, e := range t.list(now, false) {
		if t.evidence[e.Fingerprint][e.Start].own {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	own = own[:min(len(own), maxOwnReports)]
	for range min(len(others), maxOtherReports) {
		t.next = (t.next + 1) % len(others)
		own = append(own, others[t.next])
	}
	return own
}

// ReportAll returns all evidence that is reported, for a node that has started.
func (t *Table) ReportAll(now time.Duration) []Evidence {
	t.expire(now)
	return t.list(now, false)
}

// OwnEntries returns the crashes of the upstream beside the node for nodes of the version before,
// which add up the numbers of all nodes.
func (t *Table) OwnEntries(now time.Duration) []Entry {
	var list []Entry
	for _, e := range t.list(now, false) {
		if r := t.evidence[e.Fingerprint][e.Start]; !r.own || r.cleared || now-r.at > reportTime {
			continue
		}
		i := slices.IndexFunc(list, func(known Entry) bool { return known.Fingerprint == e.Fingerprint })
		switch {
		case i >= 0:
			list[i].Crashes++
		case len(list) < maxEntries:
			list = append(list, Entry{e.Fingerprint, 1})
		}
	}
	return list
}

// list returns the evidence in a fixed order: that of the requests with the most crashes first, and
// of equal ones the newest. Unless all is set, evidence of a single crash is left out after
// reportTime.
func (t *Table) list(now time.Duration, all bool) []Evidence {
	var list []Evidence
	crashes := map[uint64]int{}
	for f, starts := range t.evidence {
		crashes[f] = t.Crashes(now, f)
		for start, r := range starts {
			if all || crashes[f] > 1 || now-r.at <= reportTime {
				list = append(list, Evidence{Fingerprint: f, Start: start, Age: max(0, now-r.at), Cleared: r.cleared})
			}
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(
			cmp.Compare(crashes[b.Fingerprint], crashes[a.Fingerprint]), cmp.Compare(a.Age, b.Age),
			cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Start, b.Start),
		)
	})
	return list
}

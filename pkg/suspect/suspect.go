// Package suspect detects requests that crash the upstreams that run them.
//
// Load pattern: occasionally a request crashes every upstream that starts to run it,
// and its caller sends it again to any node. When an upstream crashes, its node counts
// one crash for each request in flight; these requests are suspects. When an upstream
// completes a suspect, its node clears its own count. Nodes exchange their counts, and
// a request with too many crashes in the fleet is rejected.
//
// The package has no clock, socket or log. A Table is not safe for concurrent use.
package suspect

import "time"

const (
	// maxCrashes is the number of crashes in the fleet from which a request is blocked.
	maxCrashes = 3
	// crashTTL is how long a crash counts. Callers time out long before it expires.
	crashTTL = time.Minute
	// maxEntries bounds the suspects that a node stores and reports.
	maxEntries = 8
)

// Entry is a request, identified by its fingerprint, and the number of crashes
// during which it was in flight.
type Entry struct {
	Fingerprint uint64
	Crashes     int
}

// crashRecord is the number of crashes of a request and the time of the last one.
type crashRecord struct {
	crashes int
	at      time.Duration
}

// Table holds the suspects of one node and those reported by other nodes.
type Table struct {
	own    map[uint64]crashRecord
	byNode map[string]nodeEntries
}

// nodeEntries is the latest report of another node.
type nodeEntries struct {
	entries []Entry
	at      time.Duration
}

func New() *Table { return &Table{own: map[uint64]crashRecord{}, byNode: map[string]nodeEntries{}} }

// RecordCrash counts a crash of the local upstream for the requests in flight.
func (t *Table) RecordCrash(now time.Duration, fingerprints []uint64) {
	for _, f := range fingerprints {
		r := t.own[f]
		t.own[f] = crashRecord{r.crashes + 1, now}
	}
	for len(t.own) > maxEntries {
		t.dropOldest()
	}
}

// dropOldest deletes the suspect with the oldest last crash; if there are several, one
// with the fewest crashes.
func (t *Table) dropOldest() {
	var oldest uint64
	first := true
	for f, r := range t.own {
		if first || r.at < t.own[oldest].at || (r.at == t.own[oldest].at && r.crashes < t.own[oldest].crashes) {
			oldest, first = f, false
		}
	}
	delete(t.own, oldest)
}

// Clear removes a request that the local upstream has completed.
func (t *Table) Clear(fingerprint uint64) { delete(t.own, fingerprint) }

// OwnEntries returns the entries that the node reports to other nodes.
func (t *Table) OwnEntries(now time.Duration) []Entry {
	var list []Entry
	for f, r := range t.own {
		if now-r.at > crashTTL {
			delete(t.own, f)
			continue
		}
		list = append(list, Entry{f, r.crashes})
	}
	return list
}

// SetNodeEntries replaces the entries of another node.
func (t *Table) SetNodeEntries(now time.Duration, node string, entries []Entry) {
	if len(entries) == 0 {
		delete(t.byNode, node)
		return
	}
	t.byNode[node] = nodeEntries{entries, now}
}

// Blocked reports whether the request has crashed too many upstreams.
func (t *Table) Blocked(now time.Duration, fingerprint uint64) bool {
	crashes := 0
	if r, ok := t.own[fingerprint]; ok && now-r.at <= crashTTL {
		crashes = r.crashes
	}
	for node, o := range t.byNode {
		if now-o.at > crashTTL {
			delete(t.byNode, node)
			continue
		}
		for _, e := range o.entries {
			if e.Fingerprint == fingerprint {
				crashes += e.Crashes
			}
		}
	}
	return crashes >= maxCrashes
}

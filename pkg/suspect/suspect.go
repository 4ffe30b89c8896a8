// Package suspect finds requests that crash the upstreams which run them.
//
// Load pattern: now and then one request crashes each upstream that begins to run
// it, and its caller sends it again to any node. When an upstream ends with requests
// in flight, each of them is a suspect once; a suspect that an upstream answers is
// cleared there. Nodes tell each other their counts, and a request with too many
// crashes in the fleet is refused.
//
// The package has no clock, socket or log. A Table is not safe for concurrent use.
package suspect

import "time"

const (
	// maxCrashes of one request in the fleet block it.
	maxCrashes = 3
	// keep is how long a crash counts. Callers give up a request long before.
	keep = time.Minute
	// maxEntries bounds the requests that a node holds and tells of.
	maxEntries = 8
)

// Entry is a request by its fingerprint and the crashes it was in flight for.
type Entry struct {
	Fingerprint uint64
	Crashes     int
}

type record struct {
	crashes int
	at      time.Duration
}

// Table holds what one node knows.
type Table struct {
	own    map[uint64]record
	others map[string]told
}

// told is what another node said last.
type told struct {
	entries []Entry
	at      time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{own: map[uint64]record{}, others: map[string]told{}} }

// Crashed notes that the upstream ended with the requests in flight.
func (t *Table) Crashed(now time.Duration, fingerprints []uint64) {
	for _, f := range fingerprints {
		r := t.own[f]
		t.own[f] = record{r.crashes + 1, now}
	}
	for len(t.own) > maxEntries {
		t.dropOldest()
	}
}

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

// Answered clears a request that the upstream has run to its end.
func (t *Table) Answered(fingerprint uint64) { delete(t.own, fingerprint) }

// Own returns what the node tells the others.
func (t *Table) Own(now time.Duration) []Entry {
	var list []Entry
	for f, r := range t.own {
		if now-r.at > keep {
			delete(t.own, f)
			continue
		}
		list = append(list, Entry{f, r.crashes})
	}
	return list
}

// Told takes the entries of another node in place of its earlier ones.
func (t *Table) Told(now time.Duration, node string, entries []Entry) {
	if len(entries) == 0 {
		delete(t.others, node)
		return
	}
	t.others[node] = told{entries, now}
}

// Blocked reports whether the request has crashed too many upstreams.
func (t *Table) Blocked(now time.Duration, fingerprint uint64) bool {
	crashes := 0
	if r, ok := t.own[fingerprint]; ok && now-r.at <= keep {
		crashes = r.crashes
	}
	for node, o := range t.others {
		if now-o.at > keep {
			delete(t.others, node)
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

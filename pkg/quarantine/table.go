// Package quarantine prevents a request that crashes its upstream from crashing
// more than two upstreams of a service.
//
// When an upstream crashes, the requests in flight become suspects. They are
// reported to all sidecars of the service before any of these requests gets its
// response. A suspect runs in a trial: alone, on one designated sidecar. It is cleared
// if the upstream survives, and blocked if the upstream crashes again.
package quarantine

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// Defaults of TableConfig.
const (
	DefaultMaxEntries = 4096
	DefaultSuspectTTL = 30 * time.Second
	DefaultBlockedTTL = 10 * time.Minute
)

// State is the quarantine state of a fingerprint.
type State = pb.QuarantineState

// States of a fingerprint.
const (
	// StateNone means that the fingerprint has no entry.
	StateNone    = pb.QuarantineState_QUARANTINE_STATE_UNSPECIFIED
	StateSuspect = pb.QuarantineState_QUARANTINE_STATE_SUSPECT
	StateCleared = pb.QuarantineState_QUARANTINE_STATE_CLEARED
	StateBlocked = pb.QuarantineState_QUARANTINE_STATE_BLOCKED
)

// TableConfig holds the settings of a Table. Zero values select the defaults.
type TableConfig struct {
	// MaxEntries bounds the number of fingerprints. Default 4096.
	MaxEntries int
	// SuspectTTL is how long a fingerprint remains suspect or cleared. Default 30 s.
	SuspectTTL time.Duration
	// BlockedTTL is how long a fingerprint remains blocked. Default 10 min.
	BlockedTTL time.Duration
}

type record struct {
	state State
	// crashes is the number of crashes with the fingerprint in flight.
	crashes uint32
	expires time.Time
}

// Table holds the state of fingerprints. It is safe for concurrent use.
type Table struct {
	cfg TableConfig

	mu      sync.Mutex
	records map[uint64]record
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.SuspectTTL <= 0 {
		cfg.SuspectTTL = DefaultSuspectTTL
	}
	if cfg.BlockedTTL <= 0 {
		cfg.BlockedTTL = DefaultBlockedTTL
	}
	return &Table{cfg: cfg, records: map[uint64]record{}}
}

// State returns the state of a fingerprint. It is StateNone after expiry.
func (t *Table) State(fingerprint uint64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(fingerprint, time.Now()).state
}

// Len returns the number of fingerprints, including expired ones not yet removed.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Apply merges the entries that a peer reports. A blocked fingerprint remains blocked
// until it expires. A cleared report applies to suspects only. A suspect report applies
// to every fingerprint that is not blocked: if it is late, it costs only a trial, but
// ignoring it could crash an upstream.
func (t *Table) Apply(entries []*pb.QuarantineEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range entries {
		cur := t.get(e.GetFingerprint(), now)
		ttl := time.Duration(e.GetTtlMs()) * time.Millisecond
		switch e.GetState() {
		case StateBlocked:
			t.set(e.GetFingerprint(), StateBlocked, max(cur.crashes, e.GetCrashes()), ttl, now)
		case StateSuspect:
			if cur.state != StateBlocked {
				t.set(e.GetFingerprint(), StateSuspect, max(cur.crashes, e.GetCrashes()), ttl, now)
			}
		case StateCleared:
			if cur.state == StateSuspect {
				t.set(e.GetFingerprint(), StateCleared, cur.crashes, ttl, now)
			}
		}
	}
}

// Entries returns all unexpired entries, for peers that missed reports.
func (t *Table) Entries() []*pb.QuarantineEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []*pb.QuarantineEntry
	for f, r := range t.records {
		if now.Before(r.expires) {
			out = append(out, entry(f, r, now))
		}
	}
	return out
}

// recordCrash counts a crash with the fingerprint in flight and sets its state. A blocked
// fingerprint remains blocked.
func (t *Table) recordCrash(fingerprint uint64, s State) *pb.QuarantineEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cur := t.get(fingerprint, now)
	if cur.state == StateBlocked {
		s = StateBlocked
	}
	return entry(fingerprint, t.set(fingerprint, s, cur.crashes+1, 0, now), now)
}

// clear marks a suspect as cleared. It returns nil if the fingerprint is not a suspect.
func (t *Table) clear(fingerprint uint64) *pb.QuarantineEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cur := t.get(fingerprint, now)
	if cur.state != StateSuspect {
		return nil
	}
	return entry(fingerprint, t.set(fingerprint, StateCleared, cur.crashes, 0, now), now)
}

func entry(fingerprint uint64, r record, now time.Time) *pb.QuarantineEntry {
	return &pb.QuarantineEntry{
		Fingerprint: fingerprint, State: r.state, Crashes: r.crashes, TtlMs: uint32(r.expires.Sub(now).Milliseconds()),
	}
}

// get returns the record, or a zero record if there is none or it has expired. The caller
// holds mu.
func (t *Table) get(fingerprint uint64, now time.Time) record {
	r, ok := t.records[fingerprint]
	if ok && !now.Before(r.expires) {
		delete(t.records, fingerprint)
		return record{}
	}
	return r
}

// set stores a record. A TTL of 0 selects the maximum for the state, which also bounds
// the TTL of reports from peers. The caller holds mu.
func (t *Table) set(fingerprint uint64, s State, crashes uint32, ttl time.Duration, now time.Time) record {
	limit := t.cfg.SuspectTTL
	if s == StateBlocked {
		limit = t.cfg.BlockedTTL
	}
	if ttl <= 0 || ttl > limit {
		ttl = limit
	}
	cur, known := t.records[fingerprint]
	if !known && len(t.records) >= t.cfg.MaxEntries {
		t.evict()
	}
	r := record{s, crashes, now.Add(ttl)}
	if cur.state == s && cur.expires.After(r.expires) {
		r.expires = cur.expires
	}
	t.records[fingerprint] = r
	return r
}

// evict removes one record: a cleared one if there is any, a blocked one last. Among
// records of the same state it removes the one that expires first. The caller holds mu.
func (t *Table) evict() {
	order := map[State]int{StateCleared: 0, StateSuspect: 1, StateBlocked: 2}
	var victim uint64
	var worst record
	for f, r := range t.records {
		older := order[r.state] == order[worst.state] && r.expires.Before(worst.expires)
		if worst.state == StateNone || order[r.state] < order[worst.state] || older {
			victim, worst = f, r
		}
	}
	delete(t.records, victim)
}

// PrefixBytes is the length of the body prefix that the fingerprint covers.
const PrefixBytes = 4 << 10

// Fingerprint returns a hash that is the same for each attempt of a request. Length is
// the Content-Length or -1. Only the first PrefixBytes of the body are used.
func Fingerprint(service, method, path string, length int64, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, method, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(length)))
	_, _ = d.Write(body[:min(len(body), PrefixBytes)])
	return d.Sum64()
}

// Designate selects the node that runs a suspect, by rendezvous hashing. It returns ""
// if there are no nodes. The result does not depend on the order of the nodes.
func Designate(fingerprint uint64, nodeIDs []string) string {
	best, bestWeight := "", uint64(0)
	for _, id := range nodeIDs {
		weight := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), fingerprint))
		if best == "" || weight > bestWeight || weight == bestWeight && id < best {
			best, bestWeight = id, weight
		}
	}
	return best
}

package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

// recentCandidates is the number of random members of which the one added last is
// chosen. While a fleet starts, all nodes have the first nodes in their lists and few
// have the others. With a uniform choice, the first nodes receive several times the
// mean number of requests. With three candidates, all nodes send requests to the
// newest node at once, which exceeded its byte budget when 100 nodes joined through
// one.
const recentCandidates = 2

// entry is the stored state of another node. The member is immutable.
type entry struct {
	member *pb.Member
	// since is when this node recorded the member's status.
	since time.Time
	// added is the number of entries added before this one.
	added int
}

// table holds the entries of other nodes. It is not safe for concurrent use.
type table struct {
	entries map[string]*entry
	// live is the number of entries that are not dead or left.
	live int
	// added is the number of entries ever added.
	added int
}

func newTable() *table { return &table{entries: map[string]*entry{}} }

// apply stores the update if it supersedes the entry. It returns the previous entry,
// or nil, and whether the update was stored.
func (t *table) apply(u *pb.Member, since time.Time) (old *pb.Member, changed bool) {
	e := t.entries[u.NodeId]
	if e == nil {
		if len(t.entries) >= maxMembers {
			return nil, false
		}
		t.entries[u.NodeId] = &entry{member: u, since: since, added: t.added}
		t.added++
		if !isTombstone(u) {
			t.live++
		}
		return nil, true
	}
	old = e.member
	if !Supersedes(u, old) {
		return old, false
	}
	if u.Incarnation != old.Incarnation || u.Status != old.Status || u.Sequence != old.Sequence {
		e.since = since
	}
	if isTombstone(old) && !isTombstone(u) {
		t.live++
	} else if !isTombstone(old) && isTombstone(u) {
		t.live--
	}
	e.member = u
	return old, true
}

// addedBefore returns the number of entries added before the node's, or -1 if the
// table has no entry of the node.
func (t *table) addedBefore(id string) int {
	if e := t.entries[id]; e != nil {
		return e.added
	}
	return -1
}

// dropTombstones removes tombstones that are older than ttl.
func (t *table) dropTombstones(ttl time.Duration) {
	for id, e := range t.entries {
		if isTombstone(e.member) && time.Since(e.since) > ttl {
			delete(t.entries, id)
		}
	}
}

// random returns up to n different random members that satisfy ok.
func (t *table) random(n int, ok func(*pb.Member) bool) []*pb.Member {
	var out []*pb.Member
	seen := 0
	for _, e := range t.entries {
		if !ok(e.member) {
			continue
		}
		seen++
		if len(out) < n {
			out = append(out, e.member)
		} else if i := rand.IntN(seen); i < n {
			out[i] = e.member
		}
	}
	return out
}

// recentMember chooses recentCandidates random members that are alive and returns the
// one added last, or nil if no member is alive.
func (t *table) recentMember() *pb.Member {
	var out *entry
	for _, m := range t.random(recentCandidates, func(m *pb.Member) bool { return m.Status == pb.MemberStatus_MEMBER_STATUS_ALIVE }) {
		if e := t.entries[m.NodeId]; out == nil || e.added > out.added {
			out = e
		}
	}
	if out == nil {
		return nil
	}
	return out.member
}

// Parameters of the 32-bit FNV-1a hash. Comparing 1,600 entries takes 0.75 ms with
// the hash computed here and 0.88 ms with package hash/fnv.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

func hashString(s string) uint32 {
	h := uint32(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * fnvPrime
	}
	return h
}

// bucketOf returns which of n buckets a node id belongs to.
func bucketOf(id string, n int) int { return int(hashString(id) % uint32(n)) }

// digestOf hashes the fields that decide between two versions of an entry. It omits
// the configuration version, which each node sends as part of its own entry.
func digestOf(m *pb.Member) uint32 {
	h := hashString(m.NodeId)
	for _, v := range [...]uint64{m.Incarnation, m.Sequence, uint64(m.Status)} {
		for shift := 0; shift < 64; shift += 8 {
			h = (h ^ uint32(byte(v>>shift))) * fnvPrime
		}
	}
	return h
}

// view is an immutable index of the members that are not dead or left, by service.
type view struct {
	services map[string][]*pb.Member
}

// with returns a copy of the view in which m replaces the node's entry in the
// service. If m is nil, the entry is removed.
func (v *view) with(service, id string, m *pb.Member) *view {
	if service == "" {
		return v
	}
	next := &view{services: make(map[string][]*pb.Member, len(v.services)+1)}
	for name, list := range v.services {
		next.services[name] = list
	}
	list := slices.Clone(next.services[service])
	at, found := slices.BinarySearchFunc(list, id, func(e *pb.Member, id string) int {
		return strings.Compare(e.NodeId, id)
	})
	switch {
	case m != nil && found:
		list[at] = m
	case m != nil:
		list = slices.Insert(list, at, m)
	case found:
		list = slices.Delete(list, at, at+1)
	}
	next.services[service] = list
	if len(list) == 0 {
		delete(next.services, service)
	}
	return next
}

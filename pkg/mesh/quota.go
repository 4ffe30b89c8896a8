package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/quota"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
	"github.com/mulberrytray/mulberrytray/pkg/route"
)

const (
	// quotaTick is the time between two looks for messages that are due.
	quotaTick = 10 * time.Millisecond
	// quotaMemberInterval is the time between two updates of the members.
	quotaMemberInterval = 250 * time.Millisecond
	// statusJitter is how late a periodic status may arrive.
	statusJitter = 300 * time.Millisecond
	// idlePoll is how often a node without limits looks for some.
	idlePoll = 300 * time.Millisecond
)

// quotas limits the requests of organisations over all nodes. It implements relay.Quotas with a
// quota.Node, to which it gives the time and the messages. Without limits it sends nothing.
type quotas struct {
	dir    *directory
	gossip *gossip
	events *event.Logger

	admitted, refused, waited, bytes metrics.Counter

	mu   sync.Mutex
	node *quota.Node
	// names are those of the organisations with a limit.
	names map[quota.Key]string
	// changed is closed and replaced when a message has arrived.
	changed chan struct{}
	// wake makes the loop look for messages that are due.
	wake chan struct{}
}

func newQuotas(dir *directory, g *gossip, bound QuotaBound, events *event.Logger, registry metrics.Registry) *quotas {
	q := &quotas{
		dir: dir, gossip: g, events: events, names: map[quota.Key]string{}, changed: make(chan struct{}), wake: make(chan struct{}, 1),
		admitted: metrics.GetOrRegisterCounter("quota.admitted", registry), refused: metrics.GetOrRegisterCounter("quota.refused", registry),
		waited: metrics.GetOrRegisterCounter("quota.waited", registry), bytes: metrics.GetOrRegisterCounter("quota.report_bytes", registry),
	}
	q.node = quota.NewNode(dir.now(), dir.self, max(1, g.incarnation), quota.Bound(bound))
	for name, value := range map[string]func(owned, metered int) int{
		"quota.owned": func(owned, _ int) int { return owned }, "quota.metered": func(_, metered int) int { return metered },
	} {
		metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			return int64(value(q.node.Owned()))
		})
	}
	return q
}

// install takes the limits of a table.
func (q *quotas) install(t *route.Table) {
	limits, names := map[quota.Key]quota.Limit{}, map[quota.Key]string{}
	for _, o := range t.Organisations() {
		if o.Limited() {
			key := quota.KeyOf(o.Name)
			limits[key], names[key] = quota.Limit{Rate: o.RatePerSecond, Burst: o.Burst}, o.Name
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.names) == 0 && len(names) > 0 {
		q.updateMembers()
	}
	q.names = names
	q.node.Install(q.dir.now(), limits)
	notify(q.wake)
}

// Admit implements relay.Quotas.
func (q *quotas) Admit(ctx context.Context, o *route.Organisation) (time.Duration, bool) {
	key := quota.KeyOf(o.Name)
	q.mu.Lock()
	result, retryAfter := q.node.Admit(q.dir.now(), key)
	changed := q.changed
	q.mu.Unlock()
	// A report is due at once if a request waits, or if much is unreported.
	notify(q.wake)
	if result == quota.Pending {
		q.waited.Inc(1)
		timer := time.NewTimer(quota.MaxWait)
		defer timer.Stop()
		for last := false; result == quota.Pending; {
			select {
			case <-changed:
			case <-timer.C:
				last = true
			case <-ctx.Done():
				last = true
			}
			q.mu.Lock()
			result, retryAfter = q.node.Retry(q.dir.now(), key, last)
			changed = q.changed
			q.mu.Unlock()
		}
	}
	if result == quota.Refused {
		q.refused.Inc(1)
		return retryAfter, false
	}
	q.admitted.Inc(1)
	return 0, true
}

// Refund implements relay.Quotas.
func (q *quotas) Refund(o *route.Organisation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.Refund(q.dir.now(), quota.KeyOf(o.Name))
}

// recordContact records that a status of another node has arrived.
func (q *quotas) recordContact(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.RecordContact(q.dir.now(), address)
}

// receive processes a message of another node.
func (q *quotas) receive(m *quota.Message) {
	q.mu.Lock()
	list := q.node.Handle(q.dir.now(), m)
	if len(m.Replies) > 0 {
		close(q.changed)
		q.changed = make(chan struct{})
	}
	q.mu.Unlock()
	q.send(list)
}

// run sends the messages that are due until the context ends.
func (q *quotas) run(ctx context.Context) {
	var membersAt time.Duration
	for {
		q.mu.Lock()
		pause := quotaTick
		var list []quota.Outbound
		if len(q.names) == 0 {
			pause = idlePoll
		} else {
			now := q.dir.now()
			if now-membersAt >= quotaMemberInterval {
				membersAt = now
				q.updateMembers()
			}
			list = q.node.Outgoing(now)
		}
		q.logTransitions()
		q.mu.Unlock()
		q.send(list)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-q.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// updateMembers passes the members to the quota node. A member that was stopping when it was last
// heard of has left. The caller holds mu.
func (q *quotas) updateMembers() {
	q.dir.mu.Lock()
	now, count := q.dir.now(), q.dir.roster.Len()
	reachableWithin, liveWithin := statusPeriod(count)+statusJitter, silenceThreshold(count)
	serving := true
	var list []quota.Member
	q.dir.roster.Each(func(m *roster.Member) {
		s, silence := m.Status, now-m.LastSeen
		switch {
		case s.Address == q.dir.self:
			serving = s.Phase != roster.Stopping
		case s.Phase != roster.Stopping || silence <= liveWithin:
			list = append(list, quota.Member{Address: s.Address, Reachable: silence <= reachableWithin, Live: silence <= liveWithin, Serving: s.Phase == roster.Serving})
		}
	})
	q.dir.mu.Unlock()
	q.node.SetMembers(now, serving, list)
}

// logTransitions logs which organisations have become metered or open. The caller holds mu.
func (q *quotas) logTransitions() {
	for _, t := range q.node.Transitions() {
		e := event.OrganisationOpen
		if t.Metered {
			e = event.OrganisationMetered
		}
		q.events.Emit(e, event.Fields{"organisation": q.names[t.Key], "level": t.Level})
	}
}

// send sends the messages.
func (q *quotas) send(list []quota.Outbound) {
	for i := range list {
		b, err := encodeQuota(&list[i].Message)
		q.bytes.Inc(int64(len(b)))
		q.gossip.sendDatagram(b, err, list[i].To)
	}
}

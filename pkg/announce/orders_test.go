package announce

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step = 50 * time.Millisecond
	// drainBound is the time after an acknowledged departure from which on no request may reach
	// the upstream.
	drainBound = 2 * time.Second
	// holdTime is how long a new process leaves its upstream unused without the records.
	holdTime = 500 * time.Millisecond
)

// simulatedStart is one start of an upstream at the address.
type simulatedStart struct {
	id          string
	startMillis int64
	from, until time.Duration
	// leaveAt is when it begins to leave, or zero if it crashes at the end.
	leaveAt time.Duration
	// drains is set if it reports that it drains before it deregisters.
	drains bool
	// goesOn is set if it goes on to announce that it is ready after it has deregistered.
	goesOn bool

	sequence int64
	nextSend time.Duration
	// ackedAt is when its departure was acknowledged, and deregistered is set once the message
	// was that it is gone.
	ackedAt      time.Duration
	deregistered bool
}

// message is a message on its way.
type message struct {
	from      *simulatedStart
	a         Announcement
	arrivesAt time.Duration
}

// simulation plays starts of upstreams at one address and processes of the node beside it.
type simulation struct {
	t      *rapid.T
	starts []*simulatedStart
	sent   []message
	// storeAway and nodeDown are the times without the store and without a process.
	storeAway, nodeDown []span
	// stored are the departures in the store, known those of which other nodes have heard.
	stored, known []Departure
	// recordsAfter is how long after its start a process learns of the departures.
	recordsAfter time.Duration
	healthChecks bool

	now time.Duration
	// tracker is that of the current process, nil while there is none, and began its start.
	tracker  *Tracker
	began    time.Duration
	recorded bool
	// heard are the starts of which the process has heard, and when.
	heard map[*simulatedStart]time.Duration
}

type span struct{ from, until time.Duration }

func inside(spans []span, at time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return at >= s.from && at < s.until })
}

func drawDuration(t *rapid.T, label string, least, most time.Duration) time.Duration {
	return least + time.Duration(rapid.IntRange(0, int((most-least)/step)).Draw(t, label))*step
}

func drawSpans(t *rapid.T, label string, end, most time.Duration) []span {
	var list []span
	for range rapid.IntRange(0, 3).Draw(t, label) {
		from := drawDuration(t, label+" from", 0, end)
		list = append(list, span{from, from + drawDuration(t, label+" for", 4*step, most)})
	}
	return list
}

// drawSimulation draws starts whose clocks are put back or ahead by up to a day.
func drawSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, healthChecks: rapid.Bool().Draw(t, "health checks"), recordsAfter: drawDuration(t, "records after", 0, holdTime)}
	const day = int64(24 * time.Hour / time.Millisecond)
	at := time.Duration(0)
	used := map[int64]bool{}
	for range rapid.IntRange(1, 5).Draw(t, "starts") {
		u := &simulatedStart{
			id: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), from: at + drawDuration(t, "gap", step, 4*time.Second),
			startMillis: 2*day + rapid.SampledFrom([]int64{0, -3000, 3000, -3_600_000, 3_600_000, -day, day}).Draw(t, "clock"),
			drains:      rapid.Bool().Draw(t, "drains"), goesOn: rapid.Bool().Draw(t, "goes on"),
		}
		u.startMillis += u.from.Milliseconds()
		for used[u.startMillis] {
			u.startMillis++
		}
		used[u.startMillis] = true
		life := drawDuration(t, "life", 4*step, 30*time.Second)
		u.until, u.nextSend = u.from+life, u.from+step
		if rapid.Bool().Draw(t, "leaves") {
			u.leaveAt = u.until
			u.until += drawDuration(t, "serves on", drainBound, 12*time.Second)
		}
		s.starts, at = append(s.starts, u), u.until
	}
	end := at
	s.nodeDown = drawSpans(t, "node down", end, 2*time.Second)
	s.storeAway = drawSpans(t, "store away", end, 10*time.Second)
	// The last start goes on for long enough to check the bound.
	last := s.starts[len(s.starts)-1]
	if last.leaveAt == 0 {
		last.until += 4 * DefaultMaxDelay
	}
	return s
}

// alive returns the start that runs, or nil.
func (s *simulation) alive() *simulatedStart {
	for _, u := range s.starts {
		if s.now >= u.from && s.now < u.until {
			return u
		}
	}
	return nil
}

func (s *simulation) run() {
	end := s.starts[len(s.starts)-1].until + DefaultMaxDelay
	for ; s.now < end; s.now += step {
		s.updateProcess()
		s.send()
		s.deliver()
		s.checkHealth()
		s.checkDeparted()
	}
}

// updateProcess starts and ends processes of the node.
func (s *simulation) updateProcess() {
	if inside(s.nodeDown, s.now) {
		s.tracker = nil
		return
	}
	if s.tracker == nil {
		s.tracker, s.began, s.recorded, s.heard = &Tracker{}, s.now, false, map[*simulatedStart]time.Duration{}
		s.tracker.RequireConfirmation(true)
	}
	if s.recorded || s.now < s.began+s.recordsAfter {
		return
	}
	records := s.known
	if !inside(s.storeAway, s.now) {
		records = append(slices.Clone(s.stored), s.known...)
		s.tracker.RequireConfirmation(false)
		s.recorded = true
	}
	for _, d := range records {
		s.tracker.ObserveDeparture(d)
	}
}

// send sends the message of the start that runs, if one is due.
func (s *simulation) send() {
	u := s.alive()
	if u == nil || s.now < u.nextSend {
		return
	}
	u.sequence++
	u.nextSend = s.now + drawDuration(s.t, "period", 26*step, 34*step)
	m := message{from: u, a: ready(u.id, u.startMillis, u.sequence), arrivesAt: s.now}
	if u.leaveAt > 0 && s.now >= u.leaveAt {
		switch {
		case u.drains && s.now < u.leaveAt+drainBound:
			m.a.State = Draining
		case u.deregistered && u.goesOn:
		default:
			m.a.State = Gone
		}
	}
	if rapid.IntRange(0, 4).Draw(s.t, "late") == 0 {
		m.arrivesAt += drawDuration(s.t, "delay", 0, DefaultMaxDelay)
	}
	s.sent = append(s.sent, m)
}

// deliver delivers the messages that are due to the process, if there is one.
func (s *simulation) deliver() {
	var later []message
	for _, m := range s.sent {
		switch {
		case m.arrivesAt > s.now:
			later = append(later, m)
		case s.tracker != nil:
			s.handle(m)
		}
	}
	s.sent = later
}

func (s *simulation) handle(m message) {
	if _, ok := s.heard[m.from]; !ok {
		s.heard[m.from] = s.now
	}
	at, verdict := s.now-s.began, Refused
	if m.a.State == Gone {
		verdict = s.tracker.ObserveStop(m.a.ID, m.a.StartUnixMillis, at)
	} else {
		verdict = s.tracker.Observe(m.a, at)
	}
	s.known = union(s.known, s.tracker.Departures())
	if !inside(s.storeAway, s.now) {
		s.stored = s.tracker.Departures()
	}
	switch {
	case m.a.State == Ready:
		s.checkUsed(m.from)
	case verdict != Refused && slices.Equal(s.stored, s.tracker.Departures()):
		m.from.ackedAt = cmp.Or(m.from.ackedAt, s.now)
		m.from.deregistered = m.from.deregistered || m.a.State == Gone
	}
}

func union(a, b []Departure) []Departure {
	for _, d := range b {
		if !slices.Contains(a, d) {
			a = append(a, d)
		}
	}
	return a
}

func (s *simulation) checkHealth() {
	u := s.alive()
	if s.healthChecks && s.tracker != nil && u != nil && (u.leaveAt == 0 || s.now < u.leaveAt) {
		s.tracker.ObserveHealth(u.id, 4, s.now-s.began)
	}
}

// checkDeparted checks that no request reaches a start whose departure is acknowledged.
func (s *simulation) checkDeparted() {
	u := s.alive()
	if s.tracker == nil || u == nil || u.ackedAt == 0 || s.now <= u.ackedAt+drainBound || s.now < s.began+s.recordsAfter {
		return
	}
	if cur := s.tracker.Current(); cur.State == Ready && cur.ID == u.id {
		s.t.Fatalf("at %v requests reach %s %d, whose departure was acknowledged at %v", s.now, u.id, u.startMillis, u.ackedAt)
	}
}

// checkUsed checks that a start that has announced itself is in use, unless it leaves or another
// start or process was new within the bound.
func (s *simulation) checkUsed(u *simulatedStart) {
	if u != s.alive() || u.leaveAt > 0 && s.now >= u.leaveAt || !s.recorded || s.now <= s.began+DefaultMaxDelay {
		return
	}
	for other, at := range s.heard {
		if other != u && s.now <= at+DefaultMaxDelay {
			return
		}
	}
	if cur := s.tracker.Current(); cur.State != Ready || cur.ID != u.id {
		s.t.Fatalf("at %v %s %d lives and is not in use: %+v", s.now, u.id, u.startMillis, cur)
	}
}

// Guards against requests that reach an upstream after its acknowledged departure, and against an
// upstream that lives and stays out of use, in any order of announcements within DefaultMaxDelay,
// whatever the clocks of the VM, with restarts of the node and without the store.
func TestOrdersOfAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSimulation(t).run() })
}

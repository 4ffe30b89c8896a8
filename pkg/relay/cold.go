package relay

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/announce"
	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/gate"
	"github.com/mulberrytray/mulberrytray/pkg/roster"
)

// maxColdTime bounds the time for which an upstream reports that it stays cold.
const maxColdTime = 24 * time.Hour

// maxColdRate is the highest cold rate that is used. No node makes as many starts per second, and each
// start within a second takes memory.
const maxColdRate = 4096

// coldness is what the sidecar knows of cold upstreams of its service.
type coldness struct {
	state gate.ColdState
	// rate is the highest number of starts per second at a cold upstream, or 0 if the service has
	// no such limit. duration is how long an upstream is cold after its start.
	rate     float64
	duration time.Duration
	// overage and slack are the bound in the settings.
	overage, slack float64
	// configured is set once the rate comes from a configuration.
	configured bool
	// limited is set while the gate limits the starts.
	limited bool
	// delayed is the number of delayed starts when the limit began.
	delayed int64
}

// SetColdBound sets the bound of requests per second at a cold upstream: its cold rate x overage +
// slack. Until the first configuration, the rate is unknown and at most slack starts are made in a
// second, which keeps within the bound at any rate even if an earlier process of the node had used
// the rate. It must be called before the first call. Without a bound, nothing is limited until then.
func (s *Sidecar) SetColdBound(overage, slack float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.overage, s.cold.slack = overage, slack
	if overage > 0 || slack > 0 {
		s.cold.rate = max(1, min(slack, maxColdRate))
	}
	s.applyCold("start")
}

// SetColdRate sets the cold rate and the time for which an upstream is cold after its start, as the
// configuration has them for the service. A rate of 0 sets no limit.
func (s *Sidecar) SetColdRate(rate float64, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, duration = min(rate, maxColdRate), min(duration, maxColdTime)
	if s.cold.rate == rate && s.cold.duration == duration && s.cold.configured {
		return
	}
	s.cold.rate, s.cold.duration = rate, duration
	if rate > 0 && !s.cold.configured {
		s.gate.CountEarlierStarts(0, s.cold.withheldStarts())
	}
	s.cold.configured = true
	s.applyCold("configuration")
}

// withheldStarts returns how many starts of the rate are not available in the first second of the
// process, because an earlier process of the node may have used the whole rate and both together
// must stay within the bound.
func (c *coldness) withheldStarts() int {
	bound := max(c.rate, c.rate*c.overage+c.slack)
	return int(math.Ceil(max(0, 2*c.rate-bound)))
}

// AssumeCold makes the upstream count as cold until it says otherwise in a later message. It is for
// an upstream that has not been used for a while, such as one whose failure domain is taken back
// into use.
func (s *Sidecar) AssumeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assumeCold("taken back into use")
}

// startAnew forgets the failures of the upstream, counts the start and makes the upstream count as
// cold, because another process of it runs now. The source is the cause for the log. The lock must be held.
func (s *Sidecar) startAnew(source string) {
	s.failures.reset(s.now())
	s.upstreamStarts++
	s.assumeCold(source)
}

// assumeCold is AssumeCold with the lock held. The source is the cause for the log.
func (s *Sidecar) assumeCold(source string) {
	s.cold.state.Assume(s.now())
	s.applyCold(source)
}

func sameStart(a, b announce.Announcement) bool {
	return a.ID == b.ID && a.StartUnixMillis == b.StartUnixMillis
}

// newStart reports whether the upstream in use has started anew. A start that was known from a
// health check only has no start time, so the first announcement counts as that of a new one.
func newStart(before, after announce.Announcement) bool {
	return before.ID != "" && (!sameStart(before, after) || after.Sequence < before.Sequence)
}

// observeColdAnnouncement processes the time for which the upstream stays cold in its newest
// announcement.
func (s *Sidecar) observeColdAnnouncement(remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.state.ObserveAnnouncement(s.now(), remaining)
	s.applyCold("announcement")
}

// ColdProbeDue reports whether the upstream should be probed to learn whether it is cold.
func (s *Sidecar) ColdProbeDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.rate > 0 && s.cold.state.ProbeDue(s.now())
}

// requestColdProbe makes a probe due at once after a lost answer. The upstream may have crashed and
// accept connections again already.
func (s *Sidecar) requestColdProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.state.RequestProbe()
}

// beginColdProbe records that a probe is sent and returns the time.
func (s *Sidecar) beginColdProbe() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.cold.state.ProbeSent(now)
	return now
}

// observeColdHealth processes the cold header of a health response. sent is when the request was
// sent, and id the upstream that the response names. Only a response of the current upstream can end
// the cold state.
func (s *Sidecar) observeColdHealth(sent time.Duration, id, header string) {
	remaining, ok := parseColdTime(header)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if remaining > 0 || id == "" || id == s.tracker.Current().ID {
		s.cold.state.ObserveHealth(s.now(), sent, remaining)
		s.applyCold("health")
	}
}

// parseColdTime parses the milliseconds for which an upstream stays cold. A part of a millisecond
// counts as cold. Upstreams that are not cold send no header.
func parseColdTime(header string) (time.Duration, bool) {
	if header == "" {
		return 0, true
	}
	millis, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	// The negated comparison is also true for NaN.
	if err != nil || !(millis >= 0) {
		return 0, false
	}
	return time.Duration(math.Ceil(min(millis, float64(maxColdTime.Milliseconds())))) * time.Millisecond, true
}

// applyCold passes the cold state to the gate and reports a change. The lock must be held.
func (s *Sidecar) applyCold(source string) {
	c := &s.cold
	now := s.now()
	limited := c.rate > 0 && c.state.Cold()
	rate := 0.0
	if limited {
		rate = c.rate
	}
	s.deliver(s.gate.SetColdRate(now, rate))
	if limited == c.limited || !c.configured {
		return
	}
	c.limited = limited
	fields := event.Fields{"upstream": s.tracker.Current().ID, "source": source}
	if limited {
		c.delayed = s.gate.DelayedByRate()
		fields["cold_ms"], fields["per_s"] = c.remainingMillis(now), c.rate
		s.events.Emit(event.UpstreamCold, fields)
	} else {
		fields["after_ms"], fields["delayed"] = (now - c.state.Since()).Milliseconds(), s.gate.DelayedByRate()-c.delayed
		s.events.Emit(event.UpstreamWarm, fields)
	}
	s.loadChanged()
}

// remainingMillis returns the milliseconds for which the upstream stays cold: the last report, or
// the time after a start if there is none. It is at least 1 while the upstream counts as cold, and 0
// while it does not or the service has no cold rate.
func (c *coldness) remainingMillis(now time.Duration) int {
	if !c.configured || c.rate == 0 || !c.state.Cold() {
		return 0
	}
	remaining := c.state.Remaining(now)
	if remaining == 0 {
		remaining = c.duration - (now - c.state.Since())
	}
	return int(max(1, remaining.Milliseconds()))
}

// ColdMillis returns the milliseconds for which the upstream is expected to stay cold, or 0 if it is
// not cold or no configuration sets a cold rate for its service.
func (s *Sidecar) ColdMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.cold.remainingMillis(s.now()))
}

// DelayedByColdRate returns the number of calls that waited because of the cold rate.
func (s *Sidecar) DelayedByColdRate() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.DelayedByRate()
}

// coldSeparator separates the time for which an upstream stays cold from the other fields of an
// encoded state. Earlier versions ignore what follows these.
const coldSeparator = ",cold="

// encodeCold returns what follows the encoded state of a cold upstream.
func encodeCold(u roster.Upstream) string {
	if u.ColdMillis == 0 {
		return ""
	}
	return coldSeparator + strconv.Itoa(u.ColdMillis)
}

// decodeCold splits an encoded state into the part that all versions have and the time for which the
// upstream stays cold.
func decodeCold(s string) (state string, coldMillis int, err error) {
	state, cold, found := strings.Cut(s, coldSeparator)
	if found {
		coldMillis, err = strconv.Atoi(cold)
	}
	return state, coldMillis, err
}

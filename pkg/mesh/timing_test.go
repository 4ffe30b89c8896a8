package mesh

import (
	"bytes"
	"strings"
	"testing"
	"time"

	apexlog "github.com/apex/log"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// Guards against time limits that add up to more than the bound of the configuration, in small
// and in large fleets.
func TestConfigurationBoundIsKeptBySmallAndLargeFleets(t *testing.T) {
	for _, members := range []int{1, 12, 36, 300} {
		if worst := (configTiming{referenceConfigBound}).worstDelay(members); worst > referenceConfigBound {
			t.Errorf("%d members: %v, bound %v", members, worst, referenceConfigBound)
		}
	}
}

// Guards against time limits that stay longer than a shorter bound of the settings, and against
// a bound that no time limits can keep and that is accepted silently.
func TestTimeLimitsFollowTheBound(t *testing.T) {
	if got := (configTiming{referenceConfigBound / 2}).scale(directReadDelay); got != directReadDelay/2 {
		t.Errorf("%v for half of the bound, want %v", got, directReadDelay/2)
	}
	for _, bound := range []time.Duration{0, referenceConfigBound, time.Hour} {
		if got := (configTiming{bound}).scale(directReadDelay); got != directReadDelay {
			t.Errorf("%v for bound %v, want %v", got, bound, directReadDelay)
		}
	}
	for bound, reported := range map[time.Duration]bool{referenceConfigBound: false, 200 * time.Millisecond: true} {
		var log bytes.Buffer
		configTiming{bound}.check(event.NewLogger(&log, event.FormatJSON, apexlog.InfoLevel))
		if got := strings.Contains(log.String(), "1109"); got != reported {
			t.Errorf("bound %v: event %q, want one: %t", bound, log.String(), reported)
		}
	}
}

package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/platform"
	"github.com/mulberrytray/mulberrytray/platform/standin"
)

// seeds run in CI: seed 1 as a short run, and each seed that has failed, with the cause.
//
// Seed 130 failed once: while a node was down, another node got its port, so the callers
// of vm4 sent requests to the wrong node. Ports are now outside the kernel's range.
//
// Seed 309 failed once: the check could read the number of a new route before the time
// at which the route was added.
//
// Seeds 955 and 979 failed once, at a load average of 48 on 6 cores: after the faults the
// nodes logged nothing for up to 12 s and served no requests. Both pass without other load.
// Before the faults "withdraw key", "evacuate", "take back", "cold", "crowd", "crowd and stop" and "signals"
// were added, these seeds injected others than today.
var seeds = []uint64{1, 130, 309, 955, 979}

func TestSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "mtmesh")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/mtmesh")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			report, err := Run(Options{Binary: binary, Dir: t.TempDir(), Seed: seed, InjectFor: 10 * time.Second, VMs: 6})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served, %d rejected, faults: %v", report.Requests, report.Served, report.Rejected, report.Faults)
			for _, v := range report.Violations {
				t.Error(v)
			}
		})
	}
}

// The checks must report a rejected request that ran, and too few requests served after the
// faults.
func TestChecksDetectViolations(t *testing.T) {
	s := &soak{executions: map[string]int{"once-a": 1}, rejectedBy: map[string]string{"once-a": "vm0"}, sentAfterFaults: 100, servedAfterFaults: 10}
	s.checkHistory()
	if len(s.report.Violations) != 2 {
		t.Errorf("violations %q", s.report.Violations)
	}
}

// Guards against checks of keys, organisations and evacuations that report nothing or report allowed cases.
func TestChecksOfKeysAndEvacuations(t *testing.T) {
	organisation, late := platform.HeaderNames().Organisation, time.Now().Add(-time.Minute)
	for _, tt := range []struct {
		desc        string
		key         int
		header      http.Header
		withdrawnAt time.Time
		evacuatedAt time.Time
		faultAt     time.Time
		violations  int
	}{
		{desc: "allowed", key: 1, header: http.Header{organisation: {"org-a"}}},
		{desc: "key that was never held", key: neverHeld, header: http.Header{organisation: {"org-a"}}, violations: 1},
		{desc: "organisation of the caller", key: 1, header: http.Header{organisation: {spoofedOrganisation}}, violations: 1},
		{desc: "no organisation", key: 1, violations: 1},
		{desc: "key at the upstream", key: 1, header: http.Header{organisation: {"org-a"}, "X": {"Token " + keyText(1)}}, violations: 1},
		{desc: "key withdrawn", key: 1, header: http.Header{organisation: {"org-a"}}, withdrawnAt: late, violations: 1},
		{desc: "key withdrawn just now", key: 1, header: http.Header{organisation: {"org-a"}}, withdrawnAt: time.Now()},
		{desc: "key withdrawn, VM with a fault", key: 1, header: http.Header{organisation: {"org-a"}}, withdrawnAt: late, faultAt: time.Now()},
		{desc: "evacuated", key: 1, header: http.Header{organisation: {"org-a"}}, evacuatedAt: late, violations: 1},
		{desc: "evacuated just now", key: 1, header: http.Header{organisation: {"org-a"}}, evacuatedAt: time.Now()},
		{desc: "evacuated, VM with a fault", key: 1, header: http.Header{organisation: {"org-a"}}, evacuatedAt: late, faultAt: time.Now()},
	} {
		s, v := newSoak(Options{}), &vm{domain: "z0", lastFault: tt.faultAt}
		s.keys = append(s.keys, key{organisation: "org-a", withdrawnAt: tt.withdrawnAt})
		if !tt.evacuatedAt.IsZero() {
			s.evacuatedAt["z0"] = tt.evacuatedAt
		}
		s.recordSent("safe-a", sentRequest{v, tt.key})
		s.checkAccess(v, standin.Execution{RequestID: "safe-a", Upstream: "u", StartedAt: time.Now(), Header: tt.header})
		if len(s.report.Violations) != tt.violations {
			t.Errorf("%s: violations %q", tt.desc, s.report.Violations)
		}
	}
}

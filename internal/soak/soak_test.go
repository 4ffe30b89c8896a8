package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
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

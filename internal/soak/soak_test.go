package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are played in CI: one short run, and each seed that ever failed, with a line
// on its cause.
//
// Seed 130 failed once: the port of one node was given to another while it was free,
// so the callers of vm4 asked a stranger. Ports now lie outside the kernel's range.
//
// Seed 309 failed once: the number of a new route was visible to the check before the
// time at which it was added.
//
// Seeds 955 and 979 failed once, at a load of 48 on 6 cores: after the faults the nodes
// wrote no line for up to 12 s and served nothing. Both pass without other load.
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
			report, err := Run(Options{Binary: binary, Dir: t.TempDir(), Seed: seed, Faults: 10 * time.Second, VMs: 6})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served, %d refused, faults: %v", report.Requests, report.Served, report.Refused, report.Faults)
			for _, v := range report.Violations {
				t.Error(v)
			}
		})
	}
}

// The checks must reject a broken history.
func TestChecksRejectBrokenHistories(t *testing.T) {
	s := &soak{runs: map[string]int{"once-a": 1}, refused: map[string]string{"once-a": "vm0"}, lateAsked: 100, lateServed: 10}
	s.judge()
	if len(s.report.Violations) != 2 {
		t.Errorf("violations %q", s.report.Violations)
	}
}

package prove

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
)

const testIntent = `
services: [{name: katalog}, {name: buchung, require_token: true}]
ranks:
  - {name: urgent, target_ms: 50, worth: 10, reserve_percent: 40, urgent: true}
  - {name: rest, target_ms: 500, worth: 1, reserve_percent: 20}
probing: {fleet_probes_per_second: 10, max_nodes: 10}
network: {caller_one_way_ms: 1, domain_one_way_ms: 0.5}
`

// Checks the history of real processes that are killed and frozen while the log fails.
// The rules checked here do not depend on the speed of the machine.
func TestFaultsOnProcesses(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	d := &fleet.Deployment{Name: "test", Region: "r", AddressPrefix: "127.41.0", Slots: 10}
	for _, service := range []string{"katalog", "buchung"} {
		for _, domain := range []string{"a", "b", "c"} {
			d.Instances = append(d.Instances, fleet.InstanceSpec{Service: service, FailureDomain: domain})
		}
	}
	out := t.TempDir()
	rep, err := Execute(t.Context(), Config{
		BinDir: bin, OutDir: out, Deployment: d, IntentYAML: testIntent,
		Seed: 1, Duration: 6 * time.Second, Callers: 8,
	}, Scenario{"faults", faults})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range rep.Violations {
		t.Error(v)
	}
	t.Logf("%d attempts, %d successful, %d executions, faults %v", rep.Attempts, rep.Successful, rep.Executions, rep.Faults)
	if t.Failed() {
		if logs, err := os.ReadDir(out); err == nil {
			t.Logf("%d process logs were in %s", len(logs), out)
		}
	}
}

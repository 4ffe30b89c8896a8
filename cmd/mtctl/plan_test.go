package main

import (
	"strings"
	"testing"
)

func TestPlanWithoutDemand(t *testing.T) {
	var b strings.Builder
	err := writePlan(&b, `{"changes":["rank urgent added"],"scenarios":[{"demand_factor":1},{"demand_factor":1.5},{"demand_factor":2}]}`)
	if err != nil {
		t.Fatal(err)
	}
	want := "\nChanges:\n  rank urgent added\n\nNo demand is known, so the plan cannot tell what each rank would get.\n"
	if b.String() != want {
		t.Errorf("got %q", b.String())
	}
}
